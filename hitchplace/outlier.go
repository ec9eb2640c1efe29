package hitchplace

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// failureRatio is the ratio of failed to successful requests above which an
	// endpoint becomes hit-only.
	failureRatio = 1.0
	// failureWindow is the length of the window in which requests are counted.
	failureWindow = 10 * time.Second
	// minFailures is the minimum number of failures in a window, so that a single
	// failure doesn't make an endpoint hit-only.
	minFailures = 3
	// HitOnlyDuration is how long an endpoint stays hit-only.
	HitOnlyDuration = 30 * time.Second
)

// Failures detects endpoints that fail more requests than they serve. Such an
// endpoint is hit-only for HitOnlyDuration: it receives only chats whose prefix it
// has cached, as with the failure ratio of the Squid FAQ. The zero value is ready
// to use. Its methods are safe for concurrent use.
//
//	failures.Record(now, endpoint, err != nil)
//	target = target.WithHitOnly(failures.IsHitOnly(now, target.Endpoint.ID))
type Failures struct {
	mu   sync.Mutex
	byID map[hitchfleet.EndpointID]*requestCounts
}

type requestCounts struct {
	windowEnd    time.Time
	failed       int
	succeeded    int
	hitOnlyUntil time.Time
}

// Record counts a request that has ended.
func (f *Failures) Record(now time.Time, endpoint hitchfleet.EndpointID, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = make(map[hitchfleet.EndpointID]*requestCounts)
	}
	c := f.byID[endpoint]
	if c == nil {
		c = &requestCounts{}
		f.byID[endpoint] = c
	}
	if !now.Before(c.windowEnd) {
		*c = requestCounts{windowEnd: now.Add(failureWindow), hitOnlyUntil: c.hitOnlyUntil}
	}
	if !failed {
		c.succeeded++
		return
	}
	c.failed++
	if c.failed >= minFailures && float64(c.failed) > failureRatio*float64(c.succeeded) {
		c.hitOnlyUntil = now.Add(HitOnlyDuration)
	}
}

// IsHitOnly reports whether an endpoint must get no new chats.
func (f *Failures) IsHitOnly(now time.Time, endpoint hitchfleet.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.byID[endpoint]
	return c != nil && now.Before(c.hitOnlyUntil)
}

// Forget deletes the counts of an endpoint that was removed.
func (f *Failures) Forget(endpoint hitchfleet.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, endpoint)
}
