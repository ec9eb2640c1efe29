package hitchadmit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// pair returns two routers, of which each in its own view owns the engines, and
// that both see all three routers of the list or only themselves and one more.
func pair(n int) (was, is *Owners) {
	l := Limits{EngineFloor: 10_000}
	return warmOwners(n, l), &Owners{Limits: l}
}

// successor is the view of a router that has replaced router-0.
func successor(n int) Members {
	m := alone(n)
	m.Self, m.Live = "router-1", routers(2)[1:]
	return m
}

// fill asks for slots of 100 each until one is refused, and returns their sum.
func fill(o *Owners, seconds float64, engine int, from GrantID) (granted int64) {
	for id := from; id < from+1000; id++ {
		d, _ := o.Ask(at(seconds), askFor(id, engine, 100), nil)
		if d.Verdict != Granted {
			return granted
		}
		granted += 100
	}
	return granted
}

func TestOwnerChangeDuringABurst(t *testing.T) {
	was, is := pair(2)
	first := fill(was, 1, 0, 1)
	qt.Assert(t, first, qt.Equals, int64(8000))
	is.SetMembers(at(1), successor(2), nil)
	is.Report(at(1), LoadReport{Endpoint: engineID(0), AsOf: at(1), Requests: 80}, nil)
	is.Report(at(1), LoadReport{Endpoint: engineID(1), AsOf: at(1)}, nil)
	qt.Assert(t, fill(is, 2, 0, 2000), qt.Equals, int64(0)) // not known to be warm
	tickUntil(is, 2, 5)
	second := fill(is, 5.5, 0, 3000)
	qt.Assert(t, first+second <= 10_000, qt.IsTrue, qt.Commentf("%d and %d", first, second))

	is.Heartbeat(at(6), Heartbeat{Asker: "router-2", Endpoint: engineID(0), Foreign: Holding{Cost: 8000, Requests: 80}}, nil)
	tickUntil(is, 6, 12)
	qt.Assert(t, fill(is, 12, 0, 4000), qt.Equals, int64(0))
	is.Heartbeat(at(12), Heartbeat{Asker: "router-2", Endpoint: engineID(0)}, nil)
	qt.Assert(t, fill(is, 12, 0, 5000) > 7000, qt.IsTrue)
}

func TestTakeoverOfAWarmEndpointGrantsItsShare(t *testing.T) {
	was, is := pair(2)
	fill(was, 1, 0, 1)
	two := routers(2)
	m := alone(2)
	m.Self, m.Live, m.Listed = "router-1", two, 2
	other := two[0]
	if owner, _ := Owner(engineID(0), "se-south", two); owner.ID == m.Self {
		t.Fatalf("%s must belong to %s at first", engineID(0), other.ID)
	}
	is.SetMembers(at(-20), m, nil)
	for s := -19.0; s <= 1; s++ {
		is.Learn(at(s), Digest{From: other.ID, Loads: []EndpointLoad{{Endpoint: engineID(0), Load: 8000}}})
		is.Tick(at(s), nil)
	}
	is.SetMembers(at(1), successor(2), nil)
	qt.Assert(t, fill(is, 1, 0, 2000), qt.Equals, int64(1000)) // TakeoverShare
}

func TestHandoverEndsTheTakeover(t *testing.T) {
	was, is := pair(2)
	qt.Assert(t, fill(was, 1, 0, 1), qt.Equals, int64(8000))
	all, _ := was.Leave(at(1), nil)
	handovers := slices.DeleteFunc(all, func(h Handover) bool { return h.Endpoint != engineID(0) })
	qt.Assert(t, handovers, qt.HasLen, 1)
	d, _ := was.Ask(at(1), askFor(900, 0, 100), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)

	qt.Assert(t, is.Accept(at(1), handovers[0]), qt.IsFalse)
	is.SetMembers(at(1), successor(2), nil)
	is.Report(at(1), LoadReport{Endpoint: engineID(0), AsOf: at(1), Requests: 80, Load: 8000}, nil)
	is.Report(at(1), LoadReport{Endpoint: engineID(1), AsOf: at(1)}, nil)
	qt.Assert(t, is.Accept(at(1), handovers[0]), qt.IsTrue)
	qt.Assert(t, fill(is, 1, 0, 2000), qt.Equals, int64(0))
	is.Heartbeat(at(2), Heartbeat{Asker: "router-2", Endpoint: engineID(0), Foreign: Holding{Cost: 1000, Requests: 10}}, nil)
	tickUntil(is, 2, 7)
	qt.Assert(t, fill(is, 7, 0, 3000), qt.Equals, int64(7000))
}

func TestOwnerWithoutMajorityUsesTheTakeoverShare(t *testing.T) {
	o := warmOwners(2, Limits{EngineFloor: 10_000})
	m := alone(2)
	m.Listed = 3
	o.SetMembers(at(1), m, nil)
	tickUntil(o, 2, 20)
	qt.Assert(t, fill(o, 21, 0, 1), qt.Equals, int64(1000))
}

func TestPausedOwnerGrantsNothing(t *testing.T) {
	o := warmOwners(1, Limits{})
	qt.Assert(t, o.Renew(at(1), at(3)), qt.IsTrue)
	d, _ := o.Ask(at(60), askFor(1, 0, 100), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
	qt.Assert(t, o.Renew(at(60), at(90)), qt.IsFalse)
}

func TestViewAgesThoughTheClockIsSetBack(t *testing.T) {
	o := warmOwners(1, Limits{})
	m := alone(1)
	m.Until = at(4)
	o.SetMembers(at(0), m, nil)
	for s := 0.0; s < 3; s += 0.5 {
		o.Tick(at(s), nil)
	}
	// From here the clock is 2.5 s behind: Until comes after 4 s all the same.
	for s := 0.5; s <= 1.5; s += 0.5 {
		d, _ := o.Ask(at(s), askFor(GrantID(10*s), 0, 100), nil)
		qt.Assert(t, d.Verdict, qt.Equals, Granted)
		o.Tick(at(s), nil)
	}
	o.Tick(at(2), nil)
	d, _ := o.Ask(at(2), askFor(100, 0, 100), nil)
	qt.Assert(t, d.Reason, qt.Equals, hitchoutcome.ReasonStale)
}

func TestFlappingEndpointKeepsItsLoad(t *testing.T) {
	o := warmOwners(2, Limits{EngineFloor: 10_000})
	qt.Assert(t, fill(o, 1, 0, 1), qt.Equals, int64(8000))
	for s := 2.0; s < 6; s += 2 {
		gone := alone(2)
		gone.Endpoints = gone.Endpoints[1:]
		o.SetMembers(at(s), gone, nil)
		qt.Assert(t, fill(o, s, 0, 2000), qt.Equals, int64(0))
		o.SetMembers(at(s+1), alone(2), nil)
		qt.Assert(t, fill(o, s+1, 0, 3000), qt.Equals, int64(0))
	}
}

func TestColdStartWithoutNotice(t *testing.T) {
	report := func(s float64, requests int64) LoadReport {
		return LoadReport{Endpoint: engineID(0), AsOf: at(s), StartedAt: at(-1000), Requests: requests}
	}
	tests := map[string]func(o *Owners){
		"slow first tokens": func(o *Owners) {
			for range coldSlowCount {
				o.FirstToken(at(3), FirstToken{Endpoint: engineID(0), DispatchedAt: at(-2), At: at(3)}, nil)
			}
		},
		"restarted": func(o *Owners) {
			r := report(3, 0)
			r.StartedAt = at(2)
			o.Report(at(3), r, nil)
		},
		"requests in hand are gone": func(o *Owners) { o.Report(at(3), report(3, 0), nil) },
		"declared": func(o *Owners) {
			r := report(3, 20)
			r.Cold = true
			o.Report(at(3), r, nil)
		},
	}
	for name, turnCold := range tests {
		t.Run(name, func(t *testing.T) {
			o := warmOwners(3, Limits{EngineFloor: 100_000})
			for range 20 {
				o.FirstToken(at(0), FirstToken{Endpoint: engineID(0), DispatchedAt: at(0), At: at(0.4)}, nil)
			}
			for id := GrantID(1); id <= 20; id++ {
				o.Ask(at(1), askFor(id, 0, 100), nil)
			}
			o.Report(at(2), report(2, 20), nil)
			turnCold(o)
			qt.Assert(t, fill(o, 3, 0, 100), qt.Equals, int64(0))
			for id := GrantID(1); id <= 20; id++ {
				o.Release(at(3), Release{ID: id, Endpoint: engineID(0)}, nil)
			}
			qt.Assert(t, fill(o, 3, 0, 200), qt.Equals, int64(100*DefaultColdLimit))

			// Fast first tokens and a report that isn't cold start the ramp.
			for range warmFastCount {
				o.FirstToken(at(4), FirstToken{Endpoint: engineID(0), DispatchedAt: at(3.6), At: at(4)}, nil)
			}
			r := report(4, DefaultColdLimit)
			r.StartedAt = time.Time{}
			o.Report(at(4), r, nil)
			var sum int64 = 200
			for s := 4; s < 8; s++ {
				o.Tick(at(float64(s)), nil)
				sum += fill(o, float64(s), 0, GrantID(1000*s))
				qt.Assert(t, sum, qt.Equals, int64(200<<(s-4)))
			}
		})
	}
}

func TestZoneOutRefusesQueuedAsks(t *testing.T) {
	o := warmOwners(3, Limits{EngineFloor: 1000})
	o.Ask(at(1), askFor(1, 0, 800), nil)
	d, _ := o.Ask(at(1), askFor(2, 0, 800).waitUntil(1, 60), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Queued)
	m := alone(3)
	m.ZonesOut = []hitchfleet.AvailabilityZone{zone(0)}
	due := o.SetMembers(at(2), m, nil)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].Decision.Verdict, qt.Equals, Refused)
}

func TestDigestsThatComeSeldomCountLonger(t *testing.T) {
	tests := map[string]struct {
		every, lastsFor float64
	}{
		"each second":     {1, 5},
		"each 10 seconds": {10, 30},
		"each minute":     {60, 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var o Owners
			m := successor(1)
			m.Self = "router-0"
			o.SetMembers(at(0), m, nil)
			d := Digest{From: "router-1", Loads: []EndpointLoad{{Endpoint: engineID(0), Load: 700}}}
			o.Learn(at(0), d)
			tickUntil(&o, 1, test.every)
			o.Learn(at(test.every), d)
			pool := o.shard(engineID(0)).endpoints[engineID(0)].pool
			for s := 1.0; s <= test.lastsFor; s++ {
				o.Tick(at(test.every+s), nil)
				qt.Assert(t, pool.total.Load(), qt.Equals, int64(700))
			}
			o.Tick(at(test.every+test.lastsFor+1), nil)
			qt.Assert(t, pool.total.Load(), qt.Equals, int64(0))
		})
	}
}
