package hitchretry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const objective = time.Second

// limit returns how long a request waits whose prompt is cached.
func limit(p *Patience) time.Duration {
	got, _ := p.Limit(objective, 0)
	return got
}

// TestAStuckEndpointIsLeftInTime replays one endpoint of nine that hangs.
func TestAStuckEndpointIsLeftInTime(t *testing.T) {
	var p Patience
	for n := range 90 {
		waited := 120 * time.Millisecond
		if n%9 == 0 {
			waited = limit(&p)
		}
		p.Observe(waited, 0)
		qt.Assert(t, limit(&p) < 2*objective, qt.IsTrue, qt.Commentf("%s", limit(&p)))
	}
	qt.Assert(t, limit(&p) <= objective, qt.IsTrue)
}

// TestRequestsStayWhereTheyAreWhenAllEndpointsAreSlow replays a load at which
// first bytes come after 1.5 s everywhere: with a fixed share of the objective each
// request would move again and again.
func TestRequestsStayWhereTheyAreWhenAllEndpointsAreSlow(t *testing.T) {
	const wait = 1500 * time.Millisecond
	var p Patience
	moved := 0
	for range 50 {
		most := limit(&p)
		if most < wait {
			moved++
		}
		p.Observe(min(most, wait), 0)
	}
	qt.Assert(t, moved <= 10, qt.IsTrue, qt.Commentf("%d of 50 moved; all of them with a fixed limit", moved))
	for range 50 {
		p.Observe(100*time.Millisecond, 0)
	}
	qt.Assert(t, limit(&p) <= objective, qt.IsTrue)
}

// TestALongPromptIsGivenTheTimeToBeRead replays the first requests after a start:
// nothing is cached, and a long prompt takes nearly a second to read. Elsewhere it
// would have to be read again.
func TestALongPromptIsGivenTheTimeToBeRead(t *testing.T) {
	var p Patience
	_, ok := p.Limit(objective, 24_000)
	qt.Assert(t, ok, qt.IsFalse)
	p.Observe(100*time.Millisecond, 2_500)
	for _, tokens := range []int{6_000, 12_000, 24_000} {
		got, ok := p.Limit(objective, tokens)
		qt.Assert(t, ok, qt.IsTrue)
		read := time.Duration(tokens) * 40 * time.Microsecond
		qt.Assert(t, got > read+100*time.Millisecond, qt.IsTrue, qt.Commentf("%s for %d tokens", got, tokens))
		p.Observe(read, tokens)
	}
	qt.Assert(t, limit(&p) <= objective, qt.IsTrue)
}

func TestAnAnswerIsOverdueBeyondTheUsualWait(t *testing.T) {
	var p Patience
	_, ok := p.Expected(0)
	qt.Assert(t, ok, qt.IsFalse)
	for range 50 {
		p.Observe(100*time.Millisecond, 0)
	}
	short, ok := p.Expected(0)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, short > 500*time.Millisecond && short < time.Second, qt.IsTrue)
	_, ok = p.Expected(8000)
	qt.Assert(t, ok, qt.IsFalse)
	p.Observe(400*time.Millisecond, 8000)
	long, ok := p.Expected(8000)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, long, qt.Equals, short+800*time.Millisecond)
}

// TestTokensDontShrinkUnderLoad: how fast an endpoint reads doesn't depend on how
// much waits there.
func TestTokensDontShrinkUnderLoad(t *testing.T) {
	var p Patience
	qt.Assert(t, p.Tokens(time.Second), qt.Equals, 0)
	p.Observe(250*time.Millisecond, 8000)
	alone := p.Tokens(250 * time.Millisecond)
	qt.Assert(t, alone > 7000 && alone <= 8100, qt.IsTrue, qt.Commentf("%d", alone))
	for range 20 {
		p.Observe(5*time.Second, 8000)
	}
	qt.Assert(t, p.Tokens(250*time.Millisecond) > alone*9/10, qt.IsTrue)
}
