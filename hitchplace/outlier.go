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
	// failureWindow is the time over which requests are counted.
	failureWindow = 10 * time.Second
	// minFailures must be seen in a window, so that one failure decides nothing.
	minFailures = 3
	// HitOnlyLife is how long an endpoint stays hit-only.
	HitOnlyLife = 30 * time.Second
)

// Failures finds endpoints that fail more requests than they serve. Such an
// endpoint is hit-only for a while: only chats whose prefix it has cached go
// there, as with the failure ratio of Squid's FAQ. The zero value is ready. Its
// methods are safe for several goroutines.
//
//	failures.Record(now, endpoint, err != nil)
//	target = target.WithHitOnly(failures.IsHitOnly(now, target.Endpoint.ID))
type Failures struct {
	mu   sync.Mutex
	byID map[hitchfleet.EndpointID]*failureCount
}

type failureCount struct {
	windowEnd time.Time
	failed    int
	succeeded int
	hitOnly   time.Time // until when
}

// Record counts the end of one request.
func (f *Failures) Record(now time.Time, endpoint hitchfleet.EndpointID, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = make(map[hitchfleet.EndpointID]*failureCount)
	}
	c := f.byID[endpoint]
	if c == nil {
		c = &failureCount{}
		f.byID[endpoint] = c
	}
	if !now.Before(c.windowEnd) {
		*c = failureCount{windowEnd: now.Add(failureWindow), hitOnly: c.hitOnly}
	}
	if !failed {
		c.succeeded++
		return
	}
	c.failed++
	if c.failed >= minFailures && float64(c.failed) > failureRatio*float64(c.succeeded) {
		c.hitOnly = now.Add(HitOnlyLife)
	}
}

// IsHitOnly tells whether an endpoint takes no new chats.
func (f *Failures) IsHitOnly(now time.Time, endpoint hitchfleet.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.byID[endpoint]
	return c != nil && now.Before(c.hitOnly)
}

// Forget drops what is known of an endpoint that is gone.
func (f *Failures) Forget(endpoint hitchfleet.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, endpoint)
}
