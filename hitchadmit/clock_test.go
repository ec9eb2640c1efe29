package hitchadmit

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnorderedTimesDontSpeedUpClock covers callers that read the clock and then wait, so that their
// times arrive after later ones.
func TestUnorderedTimesDontSpeedUpClock(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	for name, maxDelay := range map[string]time.Duration{"short waits": 50 * time.Millisecond, "long waits": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(45, 1))
			var c monotonicClock
			c.advanceInOrder(start, maxAdvance)
			now := start
			for range 1000 {
				now = now.Add(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
				got := c.advanceInOrder(now.Add(-time.Duration(random.Int64N(int64(maxDelay)))), maxAdvance)
				qt.Assert(t, got.After(now), qt.IsFalse, qt.Commentf("the clock is ahead by %s after %s", got.Sub(now), now.Sub(start)))
			}
			qt.Assert(t, now.Sub(c.now) <= maxDelay, qt.IsTrue, qt.Commentf("the clock is behind by %s", now.Sub(c.now)))
		})
	}
}

// TestClockSetBackGoesOn covers a time of day that is set back for good.
func TestClockSetBackGoesOn(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	for name, by := range map[string]time.Duration{"a second": time.Second, "an hour": time.Hour} {
		t.Run(name, func(t *testing.T) {
			var c monotonicClock
			c.advanceInOrder(start, maxAdvance)
			for at := time.Duration(0); at <= 10*time.Second; at += 100 * time.Millisecond {
				c.advanceInOrder(start.Add(at-by), maxAdvance)
			}
			passed := c.now.Sub(start)
			qt.Assert(t, passed <= 10*time.Second, qt.IsTrue)
			qt.Assert(t, passed >= 10*time.Second-maxAdvance, qt.IsTrue, qt.Commentf("%s of 10 s passed", passed))
		})
	}
}

// TestRequestsThatWaitedKeepRetryBudget guards against retries that leave the window too soon, as
// first attempts are recorded with the time at which their requests came (rule BUDGET).
func TestRequestsThatWaitedKeepRetryBudget(t *testing.T) {
	const (
		slack    = 20.0
		interval = 50 * time.Millisecond
		waited   = 600 * time.Millisecond
	)
	var b RetryBudget
	b.Ratio = fleetRatio
	b.SetSlack(FleetSlack{Retries: slack})
	now := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	var first, retries []time.Time
	for end := now.Add(40 * time.Second); now.Before(end); now = now.Add(interval) {
		b.RecordFirstAttempt(now.Add(-waited))
		first = append(first, now)
		for b.TryRetry(now) {
			retries = append(retries, now)
		}
	}
	for from := first[0]; from.Before(now.Add(-budgetWindow)); from = from.Add(interval) {
		got := countIn(retries, from, budgetWindow)
		bound := fleetRatio*float64(countIn(first, from, budgetWindow)) + slack
		qt.Assert(t, float64(got) <= bound, qt.IsTrue, qt.Commentf("%d retries, %v allowed", got, bound))
	}
}
