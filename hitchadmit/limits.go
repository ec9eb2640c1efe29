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
	DefaultQueueLimit      = 64        // asks for each endpoint
)

// MinBoundFactor is the least factor at which a settled owner, which uses
// SettledShare of the bound, can still place the mean load everywhere.
const MinBoundFactor = 1.3

// The times of grants and ownership.
const (
	// HeartbeatEvery is how often askers renew what they hold.
	HeartbeatEvery = 2 * time.Second
	// GrantLife is how long a grant lasts without a renewal.
	GrantLife = 10 * time.Second
	// TakeoverWindow is how long a new owner uses TakeoverShare of the bound only.
	// It covers the time for which routers disagree about the members.
	TakeoverWindow = 5 * time.Second
	// StaleBeforeTakeover is by how much Members.Until comes before the time at
	// which the others replace a router that they can't reach.
	StaleBeforeTakeover = time.Second
	// DigestLife is how long the loads of a digest count at least, and MaxDigestLife
	// at most where digests come seldom.
	DigestLife    = 5 * time.Second
	MaxDigestLife = time.Minute
	// ReportLife is how long a load report counts.
	ReportLife = 5 * time.Second
)

// The parts of the bound that one owner's grants may fill. One settled owner and
// two that are taking over fill it together.
const (
	SettledShare  = 0.8
	TakeoverShare = 0.1
)

// MaxHops is how many owners may send an ask on to another endpoint.
const MaxHops = 2

// Limits bound the work at each endpoint. Zero fields mean the defaults.
type Limits struct {
	// BoundFactor is the multiple of the mean load that no endpoint passes.
	BoundFactor float64
	// EngineFloor and ServiceFloor are the loads below which the mean doesn't
	// bind, as the mean of little work says nothing.
	EngineFloor, ServiceFloor int64
	// EngineCapacity and ServiceCapacity are the loads at which asks wait even
	// though the mean is as high.
	EngineCapacity, ServiceCapacity int64
	// ColdLimit is how many requests an endpoint in cold start bears at a time.
	ColdLimit int64
	// QueueLimit is how many asks may wait for one endpoint.
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

// Bound is the most work that one of n serving endpoints may hold once cost is
// added to a route that holds total:
//
//	max(floor, ceil(factor * (total + cost) / n))
func Bound(factor float64, floor, total, cost, n int64) int64 {
	if n <= 0 {
		return floor
	}
	return max(floor, int64(math.Ceil(factor*float64(total+cost)/float64(n))))
}
