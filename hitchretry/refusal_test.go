package hitchretry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallersReturnAfterOutage plays callers who arrive all along an outage, as of a
// store that is unavailable while all instances start, and who return once. More of
// them must be served than with a fixed delay, and as many if the outage is short.
func TestCallersReturnAfterOutage(t *testing.T) {
	const (
		callerTime = 6 * time.Second
		maxShare   = 3 // callers wait for at most this part of their time
	)
	served := func(outage time.Duration, delay func(time.Duration) time.Duration) (n int) {
		for at := time.Duration(0); at < outage; at += 10 * time.Millisecond {
			if at+min(delay(at), callerTime/maxShare) >= outage {
				n++
			}
		}
		return n
	}
	fixed := func(time.Duration) time.Duration { return minReturnDelay }
	tests := map[string]struct {
		outage time.Duration
		gain   int // callers served in addition
	}{
		"start without an outage": {300 * time.Millisecond, 0},
		"slow start":              {600 * time.Millisecond, 10},
		"store down for 3 s":      {3 * time.Second, 150},
		"store down for 8 s":      {8 * time.Second, 150},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before, after := served(test.outage, fixed), served(test.outage, ReturnDelay)
			qt.Assert(t, after-before >= test.gain, qt.IsTrue, qt.Commentf("%d served, %d with a fixed delay", after, before))
		})
	}
}

func TestReturnDelayIsBounded(t *testing.T) {
	qt.Assert(t, ReturnDelay(0), qt.Equals, minReturnDelay)
	qt.Assert(t, ReturnDelay(time.Second), qt.Equals, 2*time.Second)
	qt.Assert(t, ReturnDelay(time.Hour), qt.Equals, maxReturnDelay)
}
