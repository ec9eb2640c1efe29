package hitchadmit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fleetBudget is the retry budgets of all instances for one service, and the bound
// that they must keep together.
type fleetBudget struct {
	budgets []RetryBudget
	slack   float64
	retries []time.Time
	first   []time.Time
}

const (
	fleetRatio = 0.2
	// slackShare is the share of the slack that instances divide among them.
	slackShare = 0.8
)

func newFleetBudget(instances int, slack float64) *fleetBudget {
	f := &fleetBudget{budgets: make([]RetryBudget, instances), slack: slack}
	for i := range f.budgets {
		f.budgets[i].Ratio = fleetRatio
		f.budgets[i].SetSlack(FleetSlack{Retries: slackShare * slack / float64(instances)})
	}
	return f
}

// request plays a request at an instance that fails and would be retried. It reports
// whether it is.
func (f *fleetBudget) request(now time.Time, instance int) bool {
	b := &f.budgets[instance]
	b.RecordFirstAttempt(now)
	f.first = append(f.first, now)
	if !b.TryRetry(now) {
		return false
	}
	f.retries = append(f.retries, now)
	return true
}

// countIn returns the number of times in a window that starts at a time.
func countIn(times []time.Time, from time.Time, window time.Duration) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// TestInstancesKeepFleetRetryBound covers a service that fails all requests at all
// instances: in no window may the retries of all instances exceed the bound, whether
// the fleet is small or large, and with little traffic or much.
func TestInstancesKeepFleetRetryBound(t *testing.T) {
	tests := map[string]struct {
		instances int
		slack     float64
		interval  time.Duration // between two requests of the whole fleet
	}{
		"8 instances":                       {8, 56, 20 * time.Millisecond},
		"195 instances":                     {195, 430, 6 * time.Millisecond},
		"195 instances, little traffic":     {195, 430, 50 * time.Millisecond},
		"390 instances and a small slack":   {390, 100, 10 * time.Millisecond},
		"390 instances, a surge in traffic": {390, 430, time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleetBudget(test.instances, test.slack)
			start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
			const period = 30 * time.Second
			for n := range int(period / test.interval) {
				f.request(start.Add(time.Duration(n)*test.interval), n%test.instances)
			}
			for from := time.Duration(0); from < period; from += 250 * time.Millisecond {
				retries := countIn(f.retries, start.Add(from), budgetWindow)
				requests := countIn(f.first, start.Add(from), budgetWindow)
				bound := fleetRatio*float64(requests) + test.slack
				qt.Assert(t, float64(retries) <= bound, qt.IsTrue, qt.Commentf("from %v: %d retries of %d requests, at most %.0f", from, retries, requests, bound))
			}
		})
	}
}

// TestErrorsLeaveRetriesToLostRequests covers a service that responds to a seventh of
// the requests with an error wherever they run, while some of its endpoints are
// replaced: the requests that the replaced ones refuse must still be retried.
func TestErrorsLeaveRetriesToLostRequests(t *testing.T) {
	var b RetryBudget
	b.Ratio = fleetRatio
	b.SetSlack(FleetSlack{Retries: 1.8})
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	refused, retried := 0, 0
	for n := range 90 {
		now = now.Add(300 * time.Millisecond)
		b.RecordFirstAttempt(now)
		if n%7 == 0 {
			b.TryOptionalRetry(now)
		}
		if n%10 == 5 {
			refused++
			if b.TryRetry(now) {
				retried++
			}
		}
	}
	qt.Assert(t, retried, qt.Equals, refused)
}
