// Package hitchrollout decides how the traffic of a service moves to a new version of its
// endpoints: which first attempts go there, what counts as evidence, and when the version is
// kept or rolled back. It has no socket, store or clock of its own: callers pass in orders,
// records, messages and the time.
//
// Every instance has a Gate and a Counter for each service with an order. The primary hub adds
// the counts of all instances to a Tally, and its Controller proposes the next Record, which the
// caller writes to the store conditionally on the revision of the one before.
//
//	group := gate.Choose(now)
//	// ... pick among the endpoints for which gate.Allows(now, endpoint, group) ...
//	counter.Observe(now, hitchrollout.Sample{Route: route, Run: endpoint.Run(), Group: group})
//
//	tally.Add(now, from, incarnation, counts)
//	if step := controller.Decide(now, order, record, &tally, fleet); step.IsChange {
//		// ... write step.Record ...
//	}
package hitchrollout

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	Service hitchfleet.ServiceID
	// Version is the version to move to.
	Version string
	// Revision is the revision of the store at which the order was written. A repeated order
	// is another order.
	Revision hitchfleet.Revision
	// OrderedAt is when the order was written, and LimitAt its time limit, by the clock of the
	// instance that holds this value.
	OrderedAt, LimitAt time.Time
}

// equal reports whether the orders are the same.
func (o Order) equal(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Revision == other.Revision
}

// Bounds are the limits on what a bad version may receive.
type Bounds struct {
	// ExposeShare is the share of the service's requests between the order and its time limit.
	ExposeShare float64
	// ExposeSlack is the number of requests in addition to that.
	ExposeSlack int
}

// DefaultBounds returns the bounds of deployments whose settings have none.
func DefaultBounds() Bounds { return Bounds{ExposeShare: 0.1, ExposeSlack: 50} }

// orDefault returns the bounds, with the default for each that is missing.
func (b Bounds) orDefault() Bounds {
	if b.ExposeShare <= 0 {
		b.ExposeShare = DefaultBounds().ExposeShare
	}
	if b.ExposeSlack <= 0 {
		b.ExposeSlack = DefaultBounds().ExposeSlack
	}
	return b
}
