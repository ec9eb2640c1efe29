package hitchconfig

import "cmp"

// Limits holds limits on requests, queues, retention and timeouts. A field that is 0
// means its default, which WithDefaults fills in.
type Limits struct {
	// LoadBoundPercent is the maximum load of an endpoint, as a percentage of the
	// mean load of its route.
	LoadBoundPercent int
	// ColdRequests is the maximum number of concurrent requests on an endpoint in
	// cold start.
	ColdRequests int
	// QueueLength is the maximum number of requests queued for one endpoint.
	QueueLength int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
	// OutcomeRetentionSeconds is meant for the retention of the outcomes of bookings.
	// It has no effect: hitchclaim keeps them for a fixed time.
	OutcomeRetentionSeconds int
	// CutOffMilliseconds is how long a router keeps serving without contact to the
	// store or a peer.
	CutOffMilliseconds int
	// UnmarkedSeconds is how long a router with contact to peers keeps serving
	// without a recent FreshnessMark. 0 means no limit: a store outage alone then
	// stops no router.
	UnmarkedSeconds int
	// PlanSeconds is the time after which a plan expires.
	PlanSeconds int
	// LoadsPerMinute limits the rate of model loads from the weight store.
	LoadsPerMinute int
}

// WithDefaults returns a copy in which each field that is 0 has its default.
func (l Limits) WithDefaults() Limits {
	l.LoadBoundPercent = cmp.Or(l.LoadBoundPercent, 200)
	l.ColdRequests = cmp.Or(l.ColdRequests, 2)
	l.QueueLength = cmp.Or(l.QueueLength, 64)
	l.BodyBytes = cmp.Or(l.BodyBytes, 4<<20)
	l.OutcomeRetentionSeconds = cmp.Or(l.OutcomeRetentionSeconds, 24*60*60)
	l.CutOffMilliseconds = cmp.Or(l.CutOffMilliseconds, 4000)
	l.PlanSeconds = cmp.Or(l.PlanSeconds, 15*60)
	l.LoadsPerMinute = cmp.Or(l.LoadsPerMinute, 6)
	return l
}
