package hitchview

import (
	"sync"
	"time"
)

// contact is what an instance knows of its path to the store. The zero value
// has never heard of it. Its methods are safe for several goroutines.
type contact struct {
	mu          sync.Mutex
	heardAt     time.Time
	failedSince time.Time
	// regainedAt is the end of the last outage.
	regainedAt time.Time
}

// Times after an outage of the store.
const (
	// lapseGrace is how long an entry is kept that lapsed in the outage. The
	// heartbeat of its endpoint writes it again if it lives.
	lapseGrace = 2200 * time.Millisecond
	// lapseNews is how long after an outage its lapsed entries are heard of. An
	// entry that vanishes later was removed.
	lapseNews = 500 * time.Millisecond
)

// heard notes an answer. It returns the length of the outage that it ends.
func (c *contact) heard(now time.Time) (outage time.Duration, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failedSince.IsZero() {
		outage, ended = now.Sub(c.failedSince), true
		if outage > outageAfter {
			c.regainedAt = now
		}
	}
	c.heardAt, c.failedSince = now, time.Time{}
	return outage, ended
}

// failed notes a failed call. It returns true for the first one.
func (c *contact) failed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failedSince.IsZero() {
		return false
	}
	c.failedSince = now
	return true
}

// last returns when the store answered last.
func (c *contact) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heardAt
}

// isLost tells whether the last call failed, or the last answer is too old.
func (c *contact) isLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failedSince.IsZero() || now.Sub(c.heardAt) > outageAfter+probeEvery
}

// keepLapsed returns until when entries that vanish now are kept, or the zero
// time if they are gone at once.
func (c *contact) keepLapsed(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.regainedAt.IsZero() || now.Sub(c.regainedAt) > lapseNews {
		return time.Time{}
	}
	return c.regainedAt.Add(lapseGrace)
}
