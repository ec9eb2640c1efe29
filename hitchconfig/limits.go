package hitchconfig

import "cmp"

// Limits bounds what the fleet accepts and keeps. A field that is 0 has its
// default; WithDefaults fills them in.
type Limits struct {
	// LoadBoundPercent is the most load on an endpoint, as a percentage of the
	// mean load of its route.
	LoadBoundPercent int
	// ColdRequests is the most requests at once on an endpoint in cold start.
	ColdRequests int
	// QueueLength is the most requests that wait for one endpoint.
	QueueLength int
	// BodyBytes is the most bytes of a request's body.
	BodyBytes int
	// OutcomeRetentionSeconds is how long the outcome of a booking is kept.
	OutcomeRetentionSeconds int
	// CutOffMilliseconds is how long a router without store and peers goes on.
	CutOffMilliseconds int
	// UnmarkedSeconds is how long a router with peers goes on without a fresh
	// mark. 0 sets no limit: a store outage alone stops nothing.
	UnmarkedSeconds int
	// PlanSeconds is how long a plan may be confirmed.
	PlanSeconds int
	// LoadsPerMinute bounds the loads from the weight store.
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
