package hitchretry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const objective = time.Second

// cachedTimeout returns the timeout of a request whose prompt is cached.
func cachedTimeout(p *Patience) time.Duration {
	got, _ := p.Limit(objective, 0)
	return got
}

// TestStuckEndpointTimesOutWithinTheObjective simulates nine endpoints of which one
// hangs.
func TestStuckEndpointTimesOutWithinTheObjective(t *testing.T) {
	var p Patience
	for n := range 90 {
		waited := 120 * time.Millisecond
		if n%9 == 0 {
			waited = cachedTimeout(&p)
		}
		p.Observe(waited, 0)
		qt.Assert(t, cachedTimeout(&p) < 2*objective, qt.IsTrue, qt.Commentf("%s", cachedTimeout(&p)))
	}
	qt.Assert(t, cachedTimeout(&p) <= objective, qt.IsTrue)
}

// TestRequestsDontMoveWhenAllEndpointsAreSlow simulates a load at which all endpoints
// take 1.5 s to the first byte. With a fixed share of the objective as the timeout,
// each request would move from endpoint to endpoint.
func TestRequestsDontMoveWhenAllEndpointsAreSlow(t *testing.T) {
	const wait = 1500 * time.Millisecond
	var p Patience
	moved := 0
	for range 50 {
		timeout := cachedTimeout(&p)
		if timeout < wait {
			moved++
		}
		p.Observe(min(timeout, wait), 0)
	}
	qt.Assert(t, moved <= 10, qt.IsTrue, qt.Commentf("%d of 50 moved; with a fixed timeout, all would", moved))
	for range 50 {
		p.Observe(100*time.Millisecond, 0)
	}
	qt.Assert(t, cachedTimeout(&p) <= objective, qt.IsTrue)
}

// TestTimeoutAllowsForPrefillOfLongPrompts simulates the first requests after a start:
// nothing is cached, and the prefill of a long prompt takes nearly a second. Another
// endpoint would have to repeat it.
func TestTimeoutAllowsForPrefillOfLongPrompts(t *testing.T) {
	var p Patience
	_, ok := p.Limit(objective, 24_000)
	qt.Assert(t, ok, qt.IsFalse)
	p.Observe(100*time.Millisecond, 2_500)
	for _, tokens := range []int{6_000, 12_000, 24_000} {
		got, ok := p.Limit(objective, tokens)
		qt.Assert(t, ok, qt.IsTrue)
		prefillTime := time.Duration(tokens) * 40 * time.Microsecond
		qt.Assert(t, got > prefillTime+100*time.Millisecond, qt.IsTrue, qt.Commentf("%s for %d tokens", got, tokens))
		p.Observe(prefillTime, tokens)
	}
	qt.Assert(t, cachedTimeout(&p) <= objective, qt.IsTrue)
}

func TestResponseIsOverdueBeyondTheMeanWait(t *testing.T) {
	var p Patience
	_, ok := p.Expected(0)
	qt.Assert(t, ok, qt.IsFalse)
	for range 50 {
		p.Observe(100*time.Millisecond, 0)
	}
	withoutPrefill, ok := p.Expected(0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, withoutPrefill > 500*time.Millisecond && withoutPrefill < time.Second, qt.IsTrue)
	_, ok = p.Expected(8000)
	qt.Assert(t, ok, qt.IsFalse)
	p.Observe(400*time.Millisecond, 8000)
	withPrefill, ok := p.Expected(8000)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, withPrefill, qt.Equals, withoutPrefill+800*time.Millisecond)
}

// TestPrefillRateDoesNotDropUnderLoad checks that the estimated prefill rate of an
// endpoint doesn't depend on how many requests wait there.
func TestPrefillRateDoesNotDropUnderLoad(t *testing.T) {
	var p Patience
	qt.Assert(t, p.Tokens(time.Second), qt.Equals, 0)
	p.Observe(250*time.Millisecond, 8000)
	idle := p.Tokens(250 * time.Millisecond)
	qt.Assert(t, idle > 7000 && idle <= 8100, qt.IsTrue, qt.Commentf("%d", idle))
	for range 20 {
		p.Observe(5*time.Second, 8000)
	}
	qt.Assert(t, p.Tokens(250*time.Millisecond) > idle*9/10, qt.IsTrue)
}
