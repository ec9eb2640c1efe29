package hitchadmit

import "time"

// maxAdvance is the most that one event may advance the clock by default. It
// keeps a paused process, or a clock that was set forward, from expiring all
// grants at once.
const maxAdvance = 2 * time.Second

// monotonicClock derives a time that neither goes back nor jumps from the times
// that callers pass in. The zero value starts at the time of its first event.
type monotonicClock struct {
	lastEvent time.Time
	now       time.Time
}

// advance returns the monotonic time of an event at the caller's time now.
func (c *monotonicClock) advance(now time.Time) time.Time { return c.advanceAtMost(now, maxAdvance) }

// advanceAtMost is like advance, with limit in place of maxAdvance.
func (c *monotonicClock) advanceAtMost(now time.Time, limit time.Duration) time.Time {
	if c.lastEvent.IsZero() {
		c.lastEvent, c.now = now, now
		return now
	}
	step := min(max(now.Sub(c.lastEvent), 0), limit)
	c.lastEvent = now
	c.now = c.now.Add(step)
	return c.now
}

// advanceInOrder is like advanceAtMost for callers that may wait after they have read their clock. A
// time that is older than the last event by up to limit has no effect: with advanceAtMost, the step
// that follows it would count twice. One that is older still means that the clock was set back. A
// clock that was set back by less stands until it was made up for, so that this isn't for
// anything that has to expire in time.
func (c *monotonicClock) advanceInOrder(now time.Time, limit time.Duration) time.Time {
	if behind := c.lastEvent.Sub(now); behind > 0 && behind <= limit {
		return c.now
	}
	return c.advanceAtMost(now, limit)
}

// toMonotonic converts a time by the caller's clock, which was read for the
// last event, to a monotonic time.
func (c *monotonicClock) toMonotonic(t time.Time) time.Time {
	return c.now.Add(t.Sub(c.lastEvent))
}
