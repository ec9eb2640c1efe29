package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// GrantID identifies one slot. The requester chooses it, unique in the fleet
// (see HeldSlots.NewGrantID), so that a repeated request returns its first
// grant.
type GrantID uint64

// Priority orders requests that are queued for the same endpoint.
type Priority uint8

// The priorities, most urgent first.
const (
	Interactive Priority = iota
	Batch
	priorityCount
)

// SlotRequest requests a slot from an endpoint's owner.
type SlotRequest struct {
	_            struct{} `cbor:",toarray"`
	ID           GrantID
	Endpoint     hitchfleet.EndpointID
	Organisation hitchfleet.OrganisationID
	Requester    hitchfleet.InstanceID
	Priority     Priority
	// Cost is the amount of work: tokens on an engine, requests on a service.
	Cost int64
	// SentAt and Deadline are by the requester's clock. The owner uses only the
	// time between them, so that clocks may differ. A request with the zero
	// Deadline is never queued.
	SentAt, Deadline time.Time
	// GrantedByOthers is what the requester holds at the endpoint by grants of
	// other owners.
	GrantedByOthers Usage
	// Hops counts the owners that refused the request with an Alternative. At
	// MaxHops the owner queues or refuses the request without redirecting it.
	Hops uint8
}

// Usage is an amount of granted work.
type Usage struct {
	_        struct{} `cbor:",toarray"`
	Cost     int64
	Requests int64
}

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts.
const (
	Refused Verdict = iota
	Granted
	Queued
)

// Decision answers a slot request. A refusal is final: the request has not run
// and holds no slot.
type Decision struct {
	_       struct{} `cbor:",toarray"`
	ID      GrantID
	Verdict Verdict
	// Deadline is when a grant ends unless a Heartbeat renews it, or the time
	// before which a queued request is decided.
	Deadline time.Time
	// Reason, RetryAt and Alternative are set on refusals. RetryAt is the time
	// at which the same request may succeed; Alternative is an endpoint that
	// can take it, if one is known.
	Reason      hitchoutcome.Reason
	RetryAt     time.Time
	Alternative hitchfleet.EndpointID
}

// DeferredDecision is a decision on a request that was queued before.
type DeferredDecision struct {
	Requester hitchfleet.InstanceID
	Endpoint  hitchfleet.EndpointID
	Decision  Decision
}

// Release returns a slot, or withdraws a queued request.
type Release struct {
	_        struct{} `cbor:",toarray"`
	ID       GrantID
	Endpoint hitchfleet.EndpointID
}

// Heartbeat renews the grants that a requester holds at one endpoint. A
// requester sends it every HeartbeatInterval, and immediately to a new owner.
// Grants that it doesn't list expire at their deadline.
type Heartbeat struct {
	_         struct{} `cbor:",toarray"`
	Requester hitchfleet.InstanceID
	Endpoint  hitchfleet.EndpointID
	// Grants are the slots that the receiving owner granted.
	Grants []GrantID
	// GrantedByOthers is what other owners granted.
	GrantedByOthers Usage
}

// FirstTokenSample reports to an owner how long an endpoint took to start its
// response. For a service, FirstTokenAt is the time of the first byte.
type FirstTokenSample struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     hitchfleet.EndpointID
	DispatchedAt time.Time
	FirstTokenAt time.Time
}

// LoadReport is an endpoint's report of its own state at the time AsOf.
type LoadReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	AsOf     time.Time
	// StartedAt is when the endpoint's process started, or the zero time if
	// unknown.
	StartedAt time.Time
	// Load is the work that is running or queued, in the units of
	// SlotRequest.Cost; Requests is its number of requests.
	Load     int64
	Requests int64
	Cold     bool
	// MaxConcurrent is how many requests the endpoint runs at once, or 0 if
	// unknown. More requests would wait in the endpoint's own queue, which
	// doesn't apply fair shares.
	MaxConcurrent int64
}

// EndpointLoad is the load of one endpoint as its owner knows it.
type EndpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	// Load is all known work; Granted is the part that this owner granted.
	Load    int64
	Granted int64
	Cold    bool
}

// Digest carries the loads of one owner's endpoints to the other routers.
type Digest struct {
	_     struct{} `cbor:",toarray"`
	From  hitchfleet.InstanceID
	Loads []EndpointLoad
}

// Handover transfers an endpoint from an owner that leaves to the next one. The
// sender grants nothing more there, so that the receiver needn't wait for
// TakeoverWindow.
type Handover struct {
	_        struct{} `cbor:",toarray"`
	From     hitchfleet.InstanceID
	Endpoint hitchfleet.EndpointID
	// Granted is the endpoint's usage as the sender knows it.
	Granted Usage
	Cold    bool
}

// FleetView is a router's view of the fleet.
type FleetView struct {
	Self hitchfleet.InstanceID
	// LiveRouters are the routers that answer probes, Self included.
	LiveRouters []hitchfleet.Instance
	// ListedRouters is the number of routers of Self's region on the platform's
	// list. An owner that sees at most half of them as live grants only as much
	// as during a takeover.
	ListedRouters int
	// ValidUntil is when the view becomes too old to grant on. It must lie
	// TakeoverMargin or more before the time at which the other routers
	// consider this one lost.
	ValidUntil time.Time
	Endpoints  []hitchfleet.Endpoint
	ZonesOut   []hitchfleet.AvailabilityZone
	Weights    []Weight
}

// Weight is the weight of an organisation's fair share. It defaults to 1.
type Weight struct {
	Organisation hitchfleet.OrganisationID
	Weight       float64
}
