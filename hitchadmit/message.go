package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// GrantID names one slot. The asker chooses it; it is unique in the fleet (see
// Holder.NextID), so that a repeated Ask finds its first grant.
type GrantID uint64

// Priority orders asks that wait for the same endpoint.
type Priority uint8

// The priorities, the most urgent first.
const (
	Interactive Priority = iota
	Batch
	priorities
)

// Ask asks an endpoint's owner for a slot.
type Ask struct {
	_            struct{} `cbor:",toarray"`
	ID           GrantID
	Endpoint     hitchfleet.EndpointID
	Organisation hitchfleet.OrganisationID
	Asker        hitchfleet.InstanceID
	Priority     Priority
	// Cost is the work asked for: tokens on an engine, requests on a service.
	Cost int64
	// SentAt and Deadline are by the asker's clock. The owner uses only the time
	// between them, so that clocks may differ. The zero Deadline is a request
	// that doesn't wait.
	SentAt, Deadline time.Time
	// Foreign is what the asker holds at the endpoint by grants of other owners.
	Foreign Holding
	// Hops counts the owners that refused the request with an Alternative. At
	// MaxHops the owner queues the ask rather than naming another endpoint.
	Hops uint8
}

// Holding is an amount of granted work.
type Holding struct {
	_        struct{} `cbor:",toarray"`
	Cost     int64
	Requests int64
}

// Verdict is what an owner decided on an ask.
type Verdict uint8

// The verdicts.
const (
	Refused Verdict = iota
	Granted
	Queued
)

// Decision answers an Ask. A refusal is final and NotRun: the ask holds no slot.
type Decision struct {
	_       struct{} `cbor:",toarray"`
	ID      GrantID
	Verdict Verdict
	// Deadline is when a grant ends unless a Heartbeat renews it, or by when a
	// queued ask has its answer.
	Deadline time.Time
	// Reason, RetryAt and Alternative are set on refusals. RetryAt is when the
	// same ask may pass; Alternative is an endpoint that has room, if any is known.
	Reason      hitchoutcome.Reason
	RetryAt     time.Time
	Alternative hitchfleet.EndpointID
}

// Notice is a decision that falls due later, for an ask that was queued.
type Notice struct {
	Asker    hitchfleet.InstanceID
	Endpoint hitchfleet.EndpointID
	Decision Decision
}

// Release gives a slot back, or takes back a queued ask.
type Release struct {
	_        struct{} `cbor:",toarray"`
	ID       GrantID
	Endpoint hitchfleet.EndpointID
}

// Heartbeat renews what an asker holds at one endpoint. An asker sends it every
// HeartbeatEvery, and at once to a new owner. Grants that are not named lapse.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Asker    hitchfleet.InstanceID
	Endpoint hitchfleet.EndpointID
	// Grants are the slots that this owner granted.
	Grants []GrantID
	// Foreign is what other owners granted.
	Foreign Holding
}

// FirstToken tells an owner how long an endpoint took to start its answer. For
// a service it is the first byte.
type FirstToken struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     hitchfleet.EndpointID
	DispatchedAt time.Time
	At           time.Time
}

// LoadReport is what an endpoint says of itself. It lags behind by now - AsOf.
type LoadReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	AsOf     time.Time
	// StartedAt is when the endpoint's process started, or the zero time.
	StartedAt time.Time
	// Load is the work in hand, in the units of Ask.Cost; Requests counts it.
	Load     int64
	Requests int64
	Cold     bool
	// Slots is how many requests the endpoint runs at once, or 0 if it doesn't say.
	// More would wait in its own queue, which knows no shares.
	Slots int64
}

// EndpointLoad is what an owner knows of one of its endpoints.
type EndpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	// Load is all known work in hand; Granted is the part that this owner granted.
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

// Handover passes an endpoint from an owner that leaves to its successor. The
// sender grants nothing more there, so that the receiver needn't wait.
type Handover struct {
	_        struct{} `cbor:",toarray"`
	From     hitchfleet.InstanceID
	Endpoint hitchfleet.EndpointID
	// Granted is what the sender's grants still hold.
	Granted Holding
	Cold    bool
}

// Members is a router's view of the fleet.
type Members struct {
	Self hitchfleet.InstanceID
	// Live are the routers that answer probes, Self included.
	Live []hitchfleet.Instance
	// Listed counts the routers of Self's region on the platform's list. An owner
	// that sees at most half of them as live grants as during a takeover.
	Listed int
	// Until is when the view is too old to grant on. It must pass before the
	// others count this router as lost for StaleBeforeTakeover.
	Until     time.Time
	Endpoints []hitchfleet.Endpoint
	ZonesOut  []hitchfleet.AvailabilityZone
	Weights   []Weight
}

// Weight is an organisation's share against the others. It defaults to 1.
type Weight struct {
	Organisation hitchfleet.OrganisationID
	Weight       float64
}
