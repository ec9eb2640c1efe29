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

// OutlierDetector detects endpoints that fail more requests than they serve. Such
// an endpoint is hit-only for HitOnlyDuration: it receives only chats whose prefix
// it has cached, as with the failure ratio of the Squid FAQ. The zero value is
// ready to use. Its methods are safe for concurrent use.
//
//	outliers.Record(now, endpoint, err != nil)
//	target = target.WithHitOnly(outliers.IsHitOnly(now, target.Endpoint.ID))
type OutlierDetector struct {
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
func (d *OutlierDetector) Record(now time.Time, endpoint hitchfleet.EndpointID, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byID == nil {
		d.byID = make(map[hitchfleet.EndpointID]*requestCounts)
	}
	c := d.byID[endpoint]
	if c == nil {
		c = &requestCounts{}
		d.byID[endpoint] = c
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
func (d *OutlierDetector) IsHitOnly(now time.Time, endpoint hitchfleet.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.byID[endpoint]
	return c != nil && now.Before(c.hitOnlyUntil)
}

// Remove deletes the counts of an endpoint that was removed.
func (d *OutlierDetector) Remove(endpoint hitchfleet.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byID, endpoint)
}
