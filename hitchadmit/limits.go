package hitchadmit

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The defaults of Limits.
const (
	DefaultBoundFactor     = 2.0
	DefaultEngineFloor     = 64 << 10  // tokens
	DefaultEngineCapacity  = 512 << 10 // tokens
	DefaultServiceFloor    = 16        // requests
	DefaultServiceCapacity = 256       // requests
	DefaultColdLimit       = 2         // requests
	DefaultQueueLimit      = 64        // slot requests for each endpoint
)

// MinBoundFactor is the smallest factor with which a settled owner, which uses
// SettledShare of the bound, can still place the mean load at every endpoint.
const MinBoundFactor = 1.3

// The durations of grants and ownership.
const (
	// HeartbeatInterval is how often requesters renew the grants that they
	// hold.
	HeartbeatInterval = 2 * time.Second
	// GrantTTL is how long a grant is valid without a renewal.
	GrantTTL = 10 * time.Second
	// TakeoverWindow is how long a new owner may use only TakeoverShare of the
	// bound. It covers the time during which routers disagree about the
	// members.
	TakeoverWindow = 5 * time.Second
	// TakeoverMargin is how long FleetView.ValidUntil must lie before the time
	// at which the other routers replace a router that they can't reach.
	TakeoverMargin = time.Second
	// DigestTTL is how long the loads of a digest are valid at least, and
	// MaxDigestTTL at most, where digests arrive seldom.
	DigestTTL    = 5 * time.Second
	MaxDigestTTL = time.Minute
	// ReportTTL is how long a load report is valid.
	ReportTTL = 5 * time.Second
)

// The fractions of the bound that the grants of one owner may fill. The grants
// of one settled owner and of two routers in a takeover fill it together.
const (
	SettledShare  = 0.8
	TakeoverShare = 0.1
)

// MaxHops is how many owners may redirect a slot request to another endpoint.
const MaxHops = 2

// Limits limit the work at each endpoint. Zero fields mean the defaults.
type Limits struct {
	// BoundFactor is the multiple of the mean load that no endpoint exceeds.
	BoundFactor float64
	// EngineFloor and ServiceFloor are the smallest load bounds. Below them the
	// multiple of the mean doesn't apply, since the mean of little work is no
	// useful limit.
	EngineFloor, ServiceFloor int64
	// EngineCapacity and ServiceCapacity are the loads at which requests are
	// queued even if the bound by the mean is higher.
	EngineCapacity, ServiceCapacity int64
	// ColdLimit is how many requests an endpoint in a cold start may run at a
	// time.
	ColdLimit int64
	// QueueLimit is how many requests may be queued for one endpoint.
	QueueLimit int
}

func orDefault[T int | int64 | float64](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

func (l Limits) withDefaults() Limits {
	l.BoundFactor = max(orDefault(l.BoundFactor, DefaultBoundFactor), MinBoundFactor)
	l.EngineFloor = orDefault(l.EngineFloor, DefaultEngineFloor)
	l.ServiceFloor = orDefault(l.ServiceFloor, DefaultServiceFloor)
	l.EngineCapacity = orDefault(l.EngineCapacity, DefaultEngineCapacity)
	l.ServiceCapacity = orDefault(l.ServiceCapacity, DefaultServiceCapacity)
	l.ColdLimit = orDefault(l.ColdLimit, DefaultColdLimit)
	l.QueueLimit = orDefault(l.QueueLimit, DefaultQueueLimit)
	return l
}

func (l *Limits) floor(kind hitchfleet.EndpointKind) int64 {
	if kind == hitchfleet.KindService {
		return l.ServiceFloor
	}
	return l.EngineFloor
}

func (l *Limits) capacity(kind hitchfleet.EndpointKind) int64 {
	if kind == hitchfleet.KindService {
		return l.ServiceCapacity
	}
	return l.EngineCapacity
}

// LoadBound returns the most work that one of n serving endpoints may hold once
// cost is added to a route with the given total:
//
//	max(floor, ceil(factor * (total + cost) / n))
func LoadBound(factor float64, floor, total, cost, n int64) int64 {
	if n <= 0 {
		return floor
	}
	return max(floor, int64(math.Ceil(factor*float64(total+cost)/float64(n))))
}
