package hitchadmit

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func routers(n int) []hitchfleet.Instance {
	all := make([]hitchfleet.Instance, n)
	for i := range all {
		all[i] = hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprintf("router-%d", i)), Region: "se-south", Zone: zone(i)}
	}
	return all
}

func zone(i int) hitchfleet.AvailabilityZone {
	return hitchfleet.AvailabilityZone("zone-" + string(rune('a'+i%3)))
}

func engines(n int) []hitchfleet.Endpoint {
	all := make([]hitchfleet.Endpoint, n)
	for i := range all {
		all[i] = hitchfleet.Endpoint{ID: engineID(i), Region: "se-south", Zone: zone(i), Route: "guide-llm"}
	}
	return all
}

func engineID(i int) hitchfleet.EndpointID {
	return hitchfleet.EndpointID(fmt.Sprintf("guide-llm-%d", i))
}

func alone(n int) Members {
	return Members{Self: "router-0", Live: routers(1), Listed: 1, Until: at(1e6), Endpoints: engines(n)}
}

// warmOwners returns the owner of n endpoints, all of them warm and settled.
func warmOwners(n int, l Limits) *Owners {
	o := &Owners{Limits: l}
	o.SetMembers(at(-20), alone(n), nil)
	for s := 0; s <= 20; s++ {
		o.Tick(at(float64(s)-20), nil)
		for i := range n {
			o.Report(at(float64(s)-20), LoadReport{Endpoint: engineID(i), AsOf: at(float64(s) - 20)}, nil)
		}
	}
	return o
}

// tickUntil ticks every second of [from, to].
func tickUntil(o *Owners, from, to float64) (due []Notice) {
	for s := from; s <= to; s++ {
		due = o.Tick(at(s), due)
	}
	return due
}

func askFor(id GrantID, engine int, cost int64) Ask {
	return Ask{ID: id, Endpoint: engineID(engine), Organisation: "aquarium", Asker: "router-0", Cost: cost, Hops: MaxHops}
}

func (a Ask) waitUntil(sent, deadline float64) Ask {
	a.SentAt, a.Deadline = at(sent), at(deadline)
	return a
}

func TestAskIsBoundedByTheMean(t *testing.T) {
	o := warmOwners(4, Limits{EngineFloor: 1000})
	granted := int64(0)
	for id := GrantID(1); id < 100; id++ {
		if d, _ := o.Ask(at(1), askFor(id, 0, 100), nil); d.Verdict == Granted {
			granted += 100
		}
	}
	qt.Assert(t, granted, qt.Equals, int64(800)) // SettledShare of the floor
}

func TestAlternativeHasRoom(t *testing.T) {
	o := warmOwners(4, Limits{EngineFloor: 1000})
	o.Ask(at(1), askFor(1, 0, 800), nil)
	a := askFor(2, 0, 100)
	a.Hops = 0
	d, _ := o.Ask(at(1), a, nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
	qt.Assert(t, d.Alternative, qt.Not(qt.Equals), hitchfleet.EndpointID(""))
	a.Endpoint = d.Alternative
	d, _ = o.Ask(at(1), a, nil)
	qt.Assert(t, d.Verdict, qt.Equals, Granted)
}

func TestAskIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		members  func(*Members)
		at       float64
		deadline float64
		want     hitchoutcome.Reason
	}{
		"wait passes the deadline": {func(*Members) {}, 1, 2, hitchoutcome.ReasonOverloaded},
		"zone out":                 {func(m *Members) { m.ZonesOut = []hitchfleet.AvailabilityZone{zone(0)} }, 1, 60, hitchoutcome.ReasonNoEndpoint},
		"endpoint leaves":          {func(m *Members) { m.Endpoints[0].Leaving = true }, 1, 60, hitchoutcome.ReasonNoEndpoint},
		"endpoint off the list":    {func(m *Members) { m.Endpoints = m.Endpoints[1:] }, 1, 60, hitchoutcome.ReasonNoEndpoint},
		"view is stale":            {func(m *Members) { m.Until = at(1) }, 1.5, 60, hitchoutcome.ReasonStale},
		"router leaves":            {func(m *Members) { m.Live[0].Leaving = true }, 1, 60, hitchoutcome.ReasonStale},
		"clock set back":           {func(*Members) {}, -3600, 60, hitchoutcome.ReasonStale},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := warmOwners(3, Limits{EngineFloor: 1000})
			o.Ask(at(0), askFor(1, 0, 800), nil)
			m := alone(3)
			test.members(&m)
			o.SetMembers(at(0.5), m, nil)
			d, _ := o.Ask(at(test.at), askFor(2, 0, 800).waitUntil(test.at, test.deadline), nil)
			qt.Assert(t, d.Verdict, qt.Equals, Refused)
			qt.Assert(t, d.Reason, qt.Equals, test.want)
			qt.Assert(t, d.RetryAt.After(at(test.at)), qt.IsTrue)
		})
	}
}

func TestSlotsBoundRequestsNotTheirSize(t *testing.T) {
	const slots = 8
	o := warmOwners(1, Limits{EngineFloor: 1_000_000, EngineCapacity: 1_000_000})
	o.Report(at(0), LoadReport{Endpoint: engineID(0), AsOf: at(0), Slots: slots}, nil)
	costs := []int64{10, 8000, 20, 5000, 300, 9000, 1, 7000}
	for i, cost := range costs {
		a := askFor(GrantID(i+1), 0, cost)
		a.Organisation = hitchfleet.OrganisationID(fmt.Sprint(i))
		d, _ := o.Ask(at(0), a, nil)
		qt.Assert(t, d.Verdict, qt.Equals, Granted, qt.Commentf("ask %d", i))
	}
	d, _ := o.Ask(at(0), askFor(100, 0, 1), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
}

func TestLostReleaseEndsAtTheReportAfterTheDeadline(t *testing.T) {
	o := warmOwners(1, Limits{EngineFloor: 1000, EngineCapacity: 1000})
	o.Ask(at(0), askFor(1, 0, 1000), nil)
	for s := 1.0; s < 5; s++ {
		o.Heartbeat(at(s), Heartbeat{Asker: "router-0", Endpoint: engineID(0), Grants: []GrantID{1}}, nil)
	}
	d, _ := o.Ask(at(5), askFor(2, 0, 1000).waitUntil(5, 50), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Queued)
	qt.Assert(t, tickUntil(o, 6, 15), qt.HasLen, 0)
	due := o.Report(at(15.5), LoadReport{Endpoint: engineID(0), AsOf: at(15.4)}, nil)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].Decision.ID, qt.Equals, GrantID(2))
	qt.Assert(t, due[0].Decision.Verdict, qt.Equals, Granted)
}

func TestRepeatedAskAndReleaseCountOnce(t *testing.T) {
	o := warmOwners(1, Limits{})
	for range 3 {
		d, _ := o.Ask(at(0), askFor(1, 0, 700), nil)
		qt.Assert(t, d.Verdict, qt.Equals, Granted)
	}
	qt.Assert(t, o.Digest(at(0)).Loads[0].Granted, qt.Equals, int64(700))
	o.Ask(at(0), askFor(2, 0, 300), nil)
	for range 3 {
		o.Release(at(1), Release{ID: 1, Endpoint: engineID(0)}, nil)
	}
	qt.Assert(t, o.Digest(at(1)).Loads[0].Granted, qt.Equals, int64(300))
}

func TestClockStepKeepsGrants(t *testing.T) {
	tests := map[string]float64{"forward": 3600, "backward": -3600}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			o := warmOwners(1, Limits{})
			o.Ask(at(0), askFor(1, 0, 700), nil)
			o.Tick(at(step), nil)
			qt.Assert(t, o.Digest(at(step)).Loads[0].Granted, qt.Equals, int64(700))
			tickUntil(o, step, step+GrantLife.Seconds()+1)
			qt.Assert(t, o.Digest(at(step)).Loads[0].Granted, qt.Equals, int64(0))
			tickUntil(o, step+GrantLife.Seconds()+1, step+GrantLife.Seconds()+ReportLife.Seconds()+2)
			qt.Assert(t, o.Digest(at(step)).Loads[0].Load, qt.Equals, int64(0))
		})
	}
}

func TestReportIsCorrectedByLaterGrants(t *testing.T) {
	o := warmOwners(1, Limits{})
	o.Ask(at(1), askFor(1, 0, 500), nil)
	o.Ask(at(3), askFor(2, 0, 300), nil)
	o.Report(at(3.5), LoadReport{Endpoint: engineID(0), AsOf: at(2), Load: 900, Requests: 2}, nil)
	qt.Assert(t, o.Digest(at(3.5)).Loads[0].Load, qt.Equals, int64(500+300+400))
}

func TestOwnersFromSeveralGoroutines(t *testing.T) {
	const workers, rounds = 8, 500
	o := warmOwners(6, Limits{})
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			var due []Notice
			for i := range rounds {
				id := GrantID(w*rounds + i + 1)
				_, due = o.Ask(at(1), askFor(id, i%6, 100).waitUntil(1, 30), due[:0])
				due = o.Release(at(1), Release{ID: id, Endpoint: engineID(i % 6)}, due[:0])
				switch i % 50 {
				case 7:
					due = o.Tick(at(1), due[:0])
				case 17:
					due = o.SetMembers(at(1), alone(6), due[:0])
				case 27:
					o.Learn(at(1), Digest{From: "router-9", Loads: o.Digest(at(1)).Loads})
				}
			}
		})
	}
	wg.Wait()
	for _, l := range o.Digest(at(1)).Loads {
		qt.Assert(t, l.Granted, qt.Equals, int64(0))
	}
	for key, p := range o.pools {
		qt.Assert(t, p.open.Load(), qt.Equals, int64(6), qt.Commentf("%v", key))
	}
}

func TestSettledAfterTheTakeoverAndAReport(t *testing.T) {
	var o Owners
	qt.Assert(t, o.Settled(at(0)), qt.IsFalse)
	o.SetMembers(at(0), alone(1), nil)
	qt.Assert(t, o.Settled(at(0)), qt.IsFalse)
	for s := 0.0; s < TakeoverWindow.Seconds(); s++ {
		o.Tick(at(s), nil)
	}
	later := at(TakeoverWindow.Seconds())
	qt.Assert(t, o.Settled(later), qt.IsFalse)
	o.Report(later, LoadReport{Endpoint: engineID(0), AsOf: later}, nil)
	qt.Assert(t, o.Settled(later), qt.IsTrue)
}
