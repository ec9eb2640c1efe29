package hitchingress

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// budgetFleet is a fleet whose endpoints reject each request wherever it is sent.
type budgetFleet struct {
	ratio, slack float64
	gateways     []*Gateway
	views        map[int]hitchview.View // by the number of instances listed
	// first and repeated are the arrivals of each step.
	first, repeated []int
}

func newBudgetFleet(instances int) *budgetFleet {
	f := &budgetFleet{ratio: 0.2, slack: 200, gateways: make([]*Gateway, instances), views: make(map[int]hitchview.View)}
	view := hitchview.View{}
	for n := range instances {
		view = view.Update(hitchview.InstanceMsg{Revision: hitchfleet.Revision(n + 1), Instance: hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("edge-", n))}})
		f.views[n+1] = view
	}
	return f
}

// start replaces an instance by one that has just started.
func (f *budgetFleet) start(n int) {
	f.gateways[n] = &Gateway{Balancer: &hitchbalance.Balancer{}, Log: hclog.NewNullLogger(), RetryRatio: f.ratio, RetrySlack: f.slack, StartedAt: time.Now()}
}

// list shows all instances a number of them.
func (f *budgetFleet) list(instances int) {
	for _, g := range f.gateways {
		g.SetView(time.Now(), f.views[instances])
	}
}

// step plays one request at each instance, which is sent again as often as it may be.
func (f *budgetFleet) step() {
	const maxNotRun = 3
	repeated := 0
	for _, g := range f.gateways {
		budget, now := &g.serviceState("s").retryBudget, time.Now()
		budget.RecordFirstAttempt(now)
		for n := 0; n < maxNotRun && budget.TryRetry(now); n++ {
			repeated++
		}
	}
	f.first, f.repeated = append(f.first, len(f.gateways)), append(f.repeated, repeated)
}

// assertBudget asserts that no window has more repeats than the fleet is allowed.
func (f *budgetFleet) assertBudget(t *testing.T, windowSteps int) {
	count := func(list []int, from int) (n int) {
		for _, v := range list[from : from+windowSteps] {
			n += v
		}
		return n
	}
	for from := windowSteps; from+windowSteps <= len(f.first); from++ {
		most := max(count(f.first, from), count(f.first, from-windowSteps/2), count(f.first, from-windowSteps))
		allowed, got := f.ratio*float64(most)+f.slack, float64(count(f.repeated, from))
		qt.Assert(t, got <= allowed, qt.IsTrue, qt.Commentf("%v repeats of %d requests from step %d on, %v allowed", got, most, from, allowed))
	}
}

// TestFleetThatRestartsKeepsRetryBudget guards against instances that each take a large share of
// the fleet's slack for retries, as they list few others or have just started (rule BUDGET).
func TestFleetThatRestartsKeepsRetryBudget(t *testing.T) {
	const (
		instances = 80
		step      = 100 * time.Millisecond
		window    = 10 * time.Second
		length    = 60 * time.Second
		faultAt   = 25 * time.Second
	)
	// growing returns the number of instances that are listed while they register again.
	growing := func(after time.Duration) int { return min(4+int(after/(50*time.Millisecond)), instances) }
	tests := map[string]struct {
		// restartEvery is the pause between restarts of all instances in a window from faultAt on.
		restartEvery time.Duration
		listed       func(after time.Duration) int
	}{
		"all restart, and register one after the other": {window, growing},
		"leases lapse":                {0, growing},
		"all restart again and again": {2 * time.Second, func(time.Duration) int { return instances }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newBudgetFleet(instances)
				for n := range instances {
					f.start(n)
				}
				f.list(instances)
				listed := instances
				for at := time.Duration(0); at < length; at += step {
					after := at - faultAt
					if test.restartEvery > 0 && after >= 0 && after < window && after%test.restartEvery == 0 {
						for n := range instances {
							f.start(n)
						}
						listed = 0
					}
					if size := test.listed(max(after, 0)); after >= 0 && size != listed {
						f.list(size)
						listed = size
					}
					f.step()
					time.Sleep(step)
				}
				f.assertBudget(t, int(window/step))
			})
		})
	}
}
