package hitchdispatch

import (
	"math"
	"time"
)

// counter is a count that fades: what was added counts for less the older it is.
type counter struct {
	value float64
	at    time.Time
}

// valueAt returns the count, of which 1/e is left after fade.
func (c *counter) valueAt(now time.Time, fade time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * fading(now.Sub(c.at), fade)
}

// add adds to the count.
func (c *counter) add(now time.Time, n float64, fade time.Duration) {
	c.value, c.at = c.valueAt(now, fade)+n, now
}

// fading returns what is left after a time.
func fading(age, fade time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(fade))
}
