package hitchorder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// states returns the desired and the observed states of the engines.
func (m *model) states() ([]Desired, []Observed) {
	endpoints := lo.Map(m.engines, func(e *modelEngine, _ int) hitchfleet.Endpoint { return e.endpoint })
	observed := lo.Map(m.engines, func(e *modelEngine, _ int) Observed { return e.seen })
	return MinimizeLoads(ComputeDesired(m.cfg, endpoints), observed), observed
}

// converged reports whether all engines have their desired state, so that the number
// of engines of each version follows its weight.
func (m *model) converged() bool {
	desired, observed := m.states()
	byID := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	return lo.EveryBy(desired, func(d Desired) bool { return d.Matches(byID[d.Endpoint.ID]) })
}

// state formats the desired and the observed states for failure messages.
func (m *model) state() string {
	desired, observed := m.states()
	return fmt.Sprintf("desired %v, observed %v", desired, observed)
}

func (m *model) setWeights(v1, v2 int, v3 ...int) {
	r := m.route(hitchconfig.ModelVersion{Name: "v1", Weight: v1}, hitchconfig.ModelVersion{Name: "v2", Weight: v2})
	for _, weight := range v3 {
		r = r.WithVersion(hitchconfig.ModelVersion{Name: "v3", Weight: weight})
	}
	m.cfg = m.cfg.WithRoute(r)
}

func TestRollOutKeepsRouteInService(t *testing.T) {
	m := newModel(t, 2, 8)
	m.advance(20)
	m.setWeights(95, 5)
	m.advance(60)
	qt.Assert(t, m.converged(), qt.IsTrue)
	m.setWeights(0, 1)
	m.advance(300)
	qt.Assert(t, m.converged(), qt.IsTrue)
	qt.Assert(t, m.loads, qt.HasLen, 8)
	for i := range m.loads[1:] {
		qt.Assert(t, m.loads[i+1].Sub(m.loads[i]) >= 10*time.Second, qt.IsTrue)
	}
	m.setWeights(1, 0)
	m.advance(300)
	qt.Assert(t, m.converged(), qt.IsTrue)
	qt.Assert(t, m.holderNumbers, qt.DeepEquals, []uint64{1})
}

func TestLastReadyVersionIsNotUnloaded(t *testing.T) {
	m := newModel(t, 1, 4)
	m.advance(20)
	m.weightStoreBusyUntil = m.now.Add(15 * time.Minute) // v2 can't be loaded
	m.setWeights(0, 1)
	m.advance(600)
	serving := 0
	for _, e := range m.engines {
		if _, ready := e.seen.versionState("v1"); ready {
			serving++
		}
	}
	qt.Assert(t, serving, qt.Equals, 3)
	m.setWeights(1, 0)
	m.advance(240)
	qt.Assert(t, m.loads, qt.HasLen, 0, qt.Commentf("no loads before the retry time of the weight store"))
	m.advance(120)
	qt.Assert(t, m.converged(), qt.IsTrue)
}

func TestNextOrder(t *testing.T) {
	tests := map[string]struct {
		holds, wants []string // by engine; ~ is still being loaded, "" wasn't observed
		want         string   // the orders of the first call
	}{
		"nothing to change":                     {[]string{"v1", "v1"}, []string{"v1", "v1"}, ""},
		"canary":                                {[]string{"v1", "v1", "v1"}, []string{"v1", "v1", "v2"}, "UnloadVersion v1 on engine-2"},
		"second canary in place of the first":   {[]string{"v1", "v1", "v2"}, []string{"v1", "v1", "v3"}, "UnloadVersion v2 on engine-2"},
		"one engine until v2 is ready anywhere": {[]string{"v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1"}, []string{"v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2"}, "UnloadVersion v1 on engine-0"},
		"two of eight once v2 is ready":         {[]string{"v2", "v1", "v1", "v1", "v1", "v1", "v1", "v1"}, []string{"v2", "v2", "v2", "v2", "v2", "v2", "v2", "v2"}, "UnloadVersion v1 on engine-1, UnloadVersion v1 on engine-2"},
		"last ready version of the route":       {[]string{"v1"}, []string{"v2"}, ""},
		"last copies, none of them desired":     {[]string{"v1", "v2"}, []string{"v3", "v3"}, "UnloadVersion v1 on engine-0"},
		"last copy of a desired version":        {[]string{"v1", "~v1", "v2", "v2", "v2", "v2", "v2", "v2"}, []string{"v2", "v1", "v2", "v2", "v2", "v2", "v2", "v2"}, ""},
		"half of the engines stay ready":        {[]string{"v2", "v1", "", ""}, []string{"v2", "v2", "v2", "v2"}, ""},
		"engines keep versions that they hold":  {[]string{"v2", "v1"}, []string{"v1", "v2"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var desired []Desired
			var observed []Observed
			for i, version := range test.wants {
				id := hitchfleet.EndpointID(fmt.Sprint("engine-", i))
				desired = append(desired, Desired{Endpoint: hitchfleet.Endpoint{ID: id}, Version: version, InService: true})
				if test.holds[i] != "" {
					observed = append(observed, Observed{Endpoint: id, Versions: []HeldVersion{loaded(test.holds[i])}, AsOf: start})
				}
			}
			_, orders := Reconciler{}.Reconcile(Grant{Number: 1, Until: start.Add(time.Minute)}, desired, observed, start)
			got := lo.Map(orders, func(o Order, _ int) string { return fmt.Sprintf("%s %s on %s", o.Kind, o.Name, o.Endpoint) })
			qt.Assert(t, strings.Join(got, ", "), qt.Equals, test.want)
		})
	}
}

func loaded(s string) HeldVersion {
	name, loading := strings.CutPrefix(s, "~")
	return HeldVersion{Name: name, Ready: !loading}
}

func TestPendingOrderCountsAsCarriedOut(t *testing.T) {
	var desired []Desired
	var observed []Observed
	for i, version := range []string{"v2", "v1", "v1", "v1"} {
		id := hitchfleet.EndpointID(fmt.Sprint("engine-", i))
		desired = append(desired, Desired{Endpoint: hitchfleet.Endpoint{ID: id}, Version: "v2", InService: true})
		observed = append(observed, Observed{Endpoint: id, Versions: []HeldVersion{{version, true}}, AsOf: start})
	}
	g := Grant{Number: 1, Until: start.Add(time.Minute)}
	r, orders := Reconciler{}.Reconcile(g, desired, observed, start)
	qt.Assert(t, orders, qt.HasLen, 1)
	for i := range observed {
		observed[i].AsOf = start.Add(time.Second)
	}
	r, orders = r.Reconcile(g, desired, observed, start.Add(time.Second))
	qt.Assert(t, orders, qt.HasLen, 0)
	observed[1].AsOf = start.Add(repeatInterval)
	_, orders = r.Reconcile(g, desired, observed, start.Add(repeatInterval))
	qt.Assert(t, orders, qt.HasLen, 1, qt.Commentf("an order without effect is sent again"))
}

func TestPausedHolderWithExpiredLease(t *testing.T) {
	m := newModel(t, 2, 4)
	m.advance(20)
	old := m.routers[0]
	if old.holder.Phase() != Holding {
		old = m.routers[1]
	}
	number := old.holder.Grant(m.now).Number
	order := Order{Number: number, Endpoint: "engine-0", Kind: UnloadVersion, Name: "v1", ChecksFencing: true, Deadline: m.now.Add(time.Hour)}
	qt.Assert(t, old.holder.MaySend(order, m.now), qt.IsTrue)
	old.paused = true
	m.advance(40)
	qt.Assert(t, old.holder.MaySend(order, m.now), qt.IsFalse)
	qt.Assert(t, m.fence.Number, qt.Equals, number+1)
	qt.Assert(t, m.deliver(order).Kind, qt.Equals, OrderFenced)
	stray := order
	stray.Endpoint = "engine-1" // doesn't check fencing numbers
	qt.Assert(t, m.deliver(stray).Kind, qt.Equals, OrderAccepted)
	qt.Assert(t, m.converged(), qt.IsFalse)
	old.paused = false
	m.advance(60)
	qt.Assert(t, m.converged(), qt.IsTrue)
	qt.Assert(t, old.holder.Phase() == Holding, qt.IsFalse)
}

func TestNewHolderWaitsForOrdersInFlight(t *testing.T) {
	m := newModel(t, 1, 2)
	r := m.routers[0]
	for r.holder.Phase() != Holding {
		m.advance(1)
	}
	claimed := m.now
	o := Order{Number: 1, Deadline: m.now.Add(time.Hour)}
	qt.Assert(t, r.holder.MaySend(o, claimed.Add(OrderTimeout-1)), qt.IsFalse)
	o.ChecksFencing = true
	qt.Assert(t, r.holder.MaySend(o, claimed), qt.IsTrue)
	qt.Assert(t, r.holder.MaySend(o, claimed.Add(-1)), qt.IsFalse, qt.Commentf("the clock was stepped back"))
	qt.Assert(t, r.holder.Grant(claimed).PreviousOrdersDoneAt, qt.Equals, claimed.Add(OrderTimeout))
}

func TestHolderStopsBeforeLeaseExpires(t *testing.T) {
	tests := map[string]struct {
		run  func(m *model)
		want Phase
	}{
		"store briefly unavailable":  {func(m *model) { m.storeUnavailable = true; m.advance(6); m.storeUnavailable = false; m.advance(3) }, Holding},
		"store unavailable":          {func(m *model) { m.storeUnavailable = true; m.advance(30) }, ReadingHolder},
		"clock stepped back":         {func(m *model) { m.now = m.now.Add(-time.Minute); m.tick(m.routers[0]) }, Idle},
		"clock stepped forward":      {func(m *model) { m.now = m.now.Add(time.Minute); m.tick(m.routers[0]) }, Idle},
		"engine has a higher number": {func(m *model) { m.update(m.routers[0], Message{Kind: Fenced, Number: 9}) }, Idle},
		"engine has the same number": {func(m *model) { m.update(m.routers[0], Message{Kind: Fenced, Number: 1}) }, Holding},
		"no longer a candidate":      {func(m *model) { m.update(m.routers[0], Message{Kind: CandidateChanged}) }, Idle},
		"lease expired":              {func(m *model) { m.update(m.routers[0], Message{Kind: LeaseExpired}) }, Idle},
		"late renewal result": {func(m *model) {
			m.now = m.now.Add(14 * time.Second)
			m.update(m.routers[0], Message{Kind: LeaseRenewed, Deadline: m.now.Add(leaseTTL)})
		}, Idle},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(t, 1, 2)
			m.advance(5)
			qt.Assert(t, m.routers[0].holder.Phase(), qt.Equals, Holding)
			test.run(m)
			got := m.routers[0].holder.Phase()
			qt.Assert(t, got == test.want || (test.want == ReadingHolder && got == Idle), qt.IsTrue, qt.Commentf("%d", got))
		})
	}
}

// TestOrdersRandom pauses holders, also between the check and the sending of an
// order, lets leases expire, makes the store unavailable, and changes weights. In
// the end all engines, with and without a check of fencing numbers, must have their
// desired state.
func TestOrdersRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3, rapid.IntRange(2, 8).Draw(t, "engines"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m.randomStep(t)
		}
		m.storeUnavailable = false
		for _, r := range m.routers {
			m.endPause(r)
		}
		m.advance(600)
		m.require(m.converged(), "not converged: %s", m.state())
	})
}

func (m *model) randomStep(t *rapid.T) {
	r := m.routers[rapid.IntRange(0, 2).Draw(t, "router")]
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0, 1:
		m.advance(rapid.IntRange(1, 40).Draw(t, "seconds"))
	case 2:
		v1, v2 := rapid.IntRange(0, 3).Draw(t, "v1"), rapid.IntRange(0, 3).Draw(t, "v2")
		m.setWeights(v1, v2, rapid.IntRange(lo.Ternary(v1+v2 == 0, 1, 0), 1).Draw(t, "v3"))
	case 3:
		m.storeUnavailable = !m.storeUnavailable
	case 4:
		if r.paused {
			m.endPause(r)
			return
		}
		r.paused = true
		if rapid.Bool().Draw(t, "mid-order") {
			m.tick(r) // its orders are sent when the pause ends
		}
	case 5:
		m.weightStoreBusyUntil = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "busy")) * time.Second)
	}
}

// endPause ends a pause, and sends the orders that were checked before it.
func (m *model) endPause(r *modelRouter) {
	r.paused = false
	m.sendOrders(r)
}

func Example() {
	now := time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)
	cfg := hitchconfig.Configuration{}.WithRoute(hitchconfig.Route{
		ID: "guide-llm", Kind: hitchconfig.EngineRoute, Versions: []hitchconfig.ModelVersion{{Name: "v2", Weight: 1}},
	})
	desired := ComputeDesired(cfg, []hitchfleet.Endpoint{{ID: "engine-1", Route: "guide-llm"}})
	observed := []Observed{{Endpoint: "engine-1", AsOf: now}}
	grant := Grant{Number: 7, Until: now.Add(time.Minute)}
	r, orders := Reconciler{}.Reconcile(grant, desired, observed, now)
	fmt.Println(orders, ColdEndpoints(desired, observed))
	observed[0].AsOf = now.Add(10 * time.Second)
	_, orders = r.Reconcile(grant, desired, observed, now.Add(10*time.Second))
	fmt.Println(orders)
	// Output:
	// [] [engine-1]
	// [LoadVersion v2 on engine-1 (number 7)]
}
