package hitchretry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const objective = time.Second

// cachedTimeout returns the timeout of a request whose prompt is cached.
func cachedTimeout(e *LatencyEstimator) time.Duration {
	got, _ := e.Timeout(objective, 0)
	return got
}

// TestStuckEndpointTimesOutWithinTheObjective simulates nine endpoints of which one
// hangs.
func TestStuckEndpointTimesOutWithinTheObjective(t *testing.T) {
	var e LatencyEstimator
	for n := range 90 {
		waited := 120 * time.Millisecond
		if n%9 == 0 {
			waited = cachedTimeout(&e)
		}
		e.Observe(waited, 0)
		qt.Assert(t, cachedTimeout(&e) < 2*objective, qt.IsTrue, qt.Commentf("%s", cachedTimeout(&e)))
	}
	qt.Assert(t, cachedTimeout(&e) <= objective, qt.IsTrue)
}

// TestRequestsDontMoveWhenAllEndpointsAreSlow simulates a load at which all endpoints
// take 1.5 s to the first byte. With a fixed share of the objective as the timeout,
// each request would move from endpoint to endpoint.
func TestRequestsDontMoveWhenAllEndpointsAreSlow(t *testing.T) {
	const wait = 1500 * time.Millisecond
	var e LatencyEstimator
	moved := 0
	for range 50 {
		timeout := cachedTimeout(&e)
		if timeout < wait {
			moved++
		}
		e.Observe(min(timeout, wait), 0)
	}
	qt.Assert(t, moved <= 10, qt.IsTrue, qt.Commentf("%d of 50 moved; with a fixed timeout, all would", moved))
	for range 50 {
		e.Observe(100*time.Millisecond, 0)
	}
	qt.Assert(t, cachedTimeout(&e) <= objective, qt.IsTrue)
}

// TestTimeoutAllowsForPrefillOfLongPrompts simulates the first requests after a start:
// nothing is cached, and the prefill of a long prompt takes nearly a second. Another
// endpoint would have to repeat it.
func TestTimeoutAllowsForPrefillOfLongPrompts(t *testing.T) {
	var e LatencyEstimator
	_, ok := e.Timeout(objective, 24_000)
	qt.Assert(t, ok, qt.IsFalse)
	e.Observe(100*time.Millisecond, 2_500)
	for _, tokens := range []int{6_000, 12_000, 24_000} {
		got, ok := e.Timeout(objective, tokens)
		qt.Assert(t, ok, qt.IsTrue)
		prefillTime := time.Duration(tokens) * 40 * time.Microsecond
		qt.Assert(t, got > prefillTime+100*time.Millisecond, qt.IsTrue, qt.Commentf("%s for %d tokens", got, tokens))
		e.Observe(prefillTime, tokens)
	}
	qt.Assert(t, cachedTimeout(&e) <= objective, qt.IsTrue)
}

func TestResponseIsOverdueBeyondTheMeanWait(t *testing.T) {
	var e LatencyEstimator
	_, ok := e.OverdueAfter(0)
	qt.Assert(t, ok, qt.IsFalse)
	for range 50 {
		e.Observe(100*time.Millisecond, 0)
	}
	withoutPrefill, ok := e.OverdueAfter(0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, withoutPrefill > 500*time.Millisecond && withoutPrefill < time.Second, qt.IsTrue)
	_, ok = e.OverdueAfter(8000)
	qt.Assert(t, ok, qt.IsFalse)
	e.Observe(400*time.Millisecond, 8000)
	withPrefill, ok := e.OverdueAfter(8000)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, withPrefill, qt.Equals, withoutPrefill+800*time.Millisecond)
}

// TestPrefillRateDoesNotDropUnderLoad checks that the estimated prefill rate of an
// endpoint doesn't depend on how many requests wait there.
func TestPrefillRateDoesNotDropUnderLoad(t *testing.T) {
	var e LatencyEstimator
	qt.Assert(t, e.PrefillTokens(time.Second), qt.Equals, 0)
	e.Observe(250*time.Millisecond, 8000)
	idle := e.PrefillTokens(250 * time.Millisecond)
	qt.Assert(t, idle > 7000 && idle <= 8100, qt.IsTrue, qt.Commentf("%d", idle))
	for range 20 {
		e.Observe(5*time.Second, 8000)
	}
	qt.Assert(t, e.PrefillTokens(250*time.Millisecond) > idle*9/10, qt.IsTrue)
}
