package hitchadmit

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetriesStayWithinEveryWindow covers an overload in which a service's retries use up
// the budget all the time: no window of its length may have more than the budget allows for
// the first attempts in it, or in those that begin up to its length before,
// wherever it begins.
func TestRetriesStayWithinEveryWindow(t *testing.T) {
	const (
		ratio, slack = 0.2, 2.0
		step         = 20 * time.Millisecond
		length       = 40 * time.Second
	)
	tests := map[string]struct {
		// attemptsAt returns the number of first attempts in a step.
		attemptsAt func(at time.Duration) int
	}{
		"even load":           {func(time.Duration) int { return 2 }},
		"load that grows":     {func(at time.Duration) int { return 1 + int(at/(10*time.Second)) }},
		"load that falls":     {func(at time.Duration) int { return 4 - int(at/(10*time.Second)) }},
		"bursts":              {func(at time.Duration) int { return 40 * max(0, 1-int(at%time.Second/step)) }},
		"load within a while": {func(at time.Duration) int { return 4 * int(at/(3*time.Second)%2) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := RetryBudget{Ratio: ratio}
				b.SetSlack(FleetSlack{Retries: slack})
				var attempts, retries []int // by step
				for at := time.Duration(0); at < length; at += step {
					now := time.Now()
					n := test.attemptsAt(at)
					for range n {
						b.RecordFirstAttempt(now)
					}
					taken := 0
					for b.TryRetry(now) {
						taken++
					}
					attempts, retries = append(attempts, n), append(retries, taken)
					time.Sleep(step)
				}
				steps := int(budgetWindow / step)
				for from := steps; from+steps <= len(retries); from++ {
					most := 0
					for start := from - steps; start <= from; start++ {
						most = max(most, total(attempts[start:start+steps]))
					}
					allowed := ratio*float64(most) + slack
					got := float64(total(retries[from : from+steps]))
					qt.Assert(t, got <= allowed, qt.IsTrue, qt.Commentf("%v retries from %s on, %v allowed", got, time.Duration(from)*step, allowed))
				}
				qt.Assert(t, total(retries) > 0, qt.IsTrue)
			})
		})
	}
}

func total(list []int) (n int) {
	for _, v := range list {
		n += v
	}
	return n
}
