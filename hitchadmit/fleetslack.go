package hitchadmit

import (
	"slices"
	"time"
)

// RetryWindow is the longest time for which a RetryBudget counts a retry.
const RetryWindow = budgetWindow + bucketLength

// fleetSizeTTL is how long a size of the fleet counts after a smaller one was seen. An instance may list
// few others while leases have lapsed, or while it has only begun to read the store.
const fleetSizeTTL = time.Minute

// startShare is the share of its part that an instance has in the first window after its start.
const startShare = 0.25

// FleetSlack is a number of retries that the instances of a fleet may make in each window in addition to the
// ratio, and this instance's part of it. It is an immutable value. The zero value allows none.
//
//	slack := hitchadmit.FleetSlack{Retries: 200, FullFrom: startedAt.Add(hitchadmit.RetryWindow)}
//	slack = slack.WithInstances(now, 80)
//	budget.SetSlack(slack)
type FleetSlack struct {
	// Retries is the number for the whole fleet.
	Retries float64
	// FullFrom is from when on this instance has its whole part. One that has just started may take the
	// place of one that has used the same part within the window, and has startShare of it.
	FullFrom time.Time

	// sizes are the numbers of instances that count, in descending order. The last one is that of now.
	sizes []fleetSize
}

// fleetSize is a number of instances, which counts until a time; the zero time means that it is that of now.
type fleetSize struct {
	instances int
	until     time.Time
}

// WithInstances returns the slack for a fleet in which a number of instances is listed now.
func (s FleetSlack) WithInstances(now time.Time, instances int) FleetSlack {
	isOver := func(size fleetSize) bool {
		return size.instances <= instances || !size.until.IsZero() && !now.Before(size.until)
	}
	s.sizes = slices.DeleteFunc(slices.Clone(s.sizes), isOver)
	if n := len(s.sizes); n > 0 && s.sizes[n-1].until.IsZero() {
		s.sizes[n-1].until = now.Add(fleetSizeTTL)
	}
	s.sizes = append(s.sizes, fleetSize{instances: instances})
	return s
}

// Instances returns the number of instances that share the slack, at least one.
func (s FleetSlack) Instances(now time.Time) int {
	for _, size := range s.sizes {
		if size.until.IsZero() || now.Before(size.until) {
			return max(size.instances, 1)
		}
	}
	return 1
}

// Share returns this instance's part, in retries for each window.
func (s FleetSlack) Share(now time.Time) float64 {
	part := s.Retries / float64(s.Instances(now))
	if now.Before(s.FullFrom) {
		return startShare * part
	}
	return part
}
