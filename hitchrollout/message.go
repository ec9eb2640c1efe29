package hitchrollout

import "citronhitch.example/citronhitch/hitchfleet"

// InForce says which record an instance follows.
type InForce struct {
	_             struct{} `cbor:",toarray"`
	OrderRevision hitchfleet.Revision
	Step          int
	Phase         Phase
	// IsFull is set if all first attempts and retries go to the new version.
	IsFull bool
}

// Counts are what an instance has counted for a service since the order. They are part of its
// report to the hubs, and a later report has all that an earlier one had.
type Counts struct {
	_       struct{} `cbor:",toarray"`
	Service hitchfleet.ServiceID
	// InForce is what the instance follows. Counts of another order are not added.
	InForce InForce
	// Sequence increases with each report of an incarnation.
	Sequence uint32
	// Arrived is the number of first attempts, and Exposed that of attempts at the new version.
	Arrived, Exposed uint32
	// InFlightOld is the number of requests in flight at old endpoints, streams included.
	InFlightOld uint32
	// Durations are those of whole responses of the old versions.
	Durations Histogram
	Routes    []RouteCounts
}

// RouteCounts are the counts of a route.
type RouteCounts struct {
	_     struct{} `cbor:",toarray"`
	Route hitchfleet.RouteID
	// Old are the counts of all endpoints of the old versions.
	Old RunCounts
	// New are the counts of endpoints of the new version. Those for which there was no room are
	// together under run 0.
	New []RunCounts
}

// RunCounts are the counts of a run of an endpoint on a route.
type RunCounts struct {
	_   struct{} `cbor:",toarray"`
	Run hitchfleet.RunID
	// Responses counts all that have ended, Failures those of them that failed.
	Responses, Failures uint32
	// Times are the normalised times, by Class.
	Times [classes]Histogram
	// Waiting are the times so far of attempts without an event, by Class. Unlike the other
	// counts they are not cumulative.
	Waiting [classes]Histogram
}

// StopMsg tells an instance to reduce what it sends to the new version, without waiting for the
// store. It never increases that.
type StopMsg struct {
	_             struct{} `cbor:",toarray"`
	Service       hitchfleet.ServiceID
	OrderRevision hitchfleet.Revision
	// Step is that of the record to which the stop applies. A record with a higher step ends it.
	Step int
	// Phase is Canary for the canary's share, or Reverted for nothing.
	Phase Phase
}
