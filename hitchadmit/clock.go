package hitchadmit

import "time"

// maxStep is the most time that one event may let pass. A paused process, or a
// clock that was set forward, must not end all grants at once.
const maxStep = 2 * time.Second

// clock turns the times of events into a time that neither goes back nor jumps.
// The zero value starts with its first event.
type clock struct {
	last    time.Time
	current time.Time
}

// advance takes the time of an event and returns the steady time.
func (c *clock) advance(now time.Time) time.Time { return c.advanceAtMost(now, maxStep) }

// advanceAtMost is advance with another bound of what one event lets pass.
func (c *clock) advanceAtMost(now time.Time, most time.Duration) time.Time {
	if c.last.IsZero() {
		c.last, c.current = now, now
		return now
	}
	step := min(max(now.Sub(c.last), 0), most)
	c.last = now
	c.current = c.current.Add(step)
	return c.current
}

// inside turns a time by the clock of the last event into a steady one.
func (c *clock) inside(t time.Time) time.Time {
	return c.current.Add(t.Sub(c.last))
}
