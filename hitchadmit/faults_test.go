package hitchadmit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// oldAndNewOwner returns a settled owner of n engines, and a router without a
// view, which takes the engines over in the test.
func oldAndNewOwner(n int) (oldOwner, newOwner *Controller) {
	limits := Limits{EngineFloor: 10_000}
	return warmController(n, limits), &Controller{Limits: limits}
}

// viewOfNewOwner returns the view of a router that has replaced router-0.
func viewOfNewOwner(n int) FleetView {
	fleet := singleRouterView(n)
	fleet.Self, fleet.LiveRouters = "router-1", routers(2)[1:]
	return fleet
}

// grantUntilRefused requests slots of cost 100 until one is refused, and
// returns the granted sum.
func grantUntilRefused(c *Controller, seconds float64, engine int, from GrantID) (granted int64) {
	for id := from; id < from+1000; id++ {
		d, _ := c.RequestSlot(at(seconds), slotRequest(id, engine, 100), nil)
		if d.Verdict != Granted {
			return granted
		}
		granted += 100
	}
	return granted
}

// During a change of owners two routers may grant at the same engine. Together they
// must stay within the bound, and the new owner must count what the old one granted.
func TestOwnerChangeDuringABurst(t *testing.T) {
	oldOwner, newOwner := oldAndNewOwner(2)
	grantedByOld := grantUntilRefused(oldOwner, 1, 0, 1)
	qt.Assert(t, grantedByOld, qt.Equals, int64(8000))
	newOwner.SetFleetView(at(1), viewOfNewOwner(2), nil)
	newOwner.ApplyLoadReport(at(1), LoadReport{Endpoint: engineID(0), AsOf: at(1), Requests: 80}, nil)
	newOwner.ApplyLoadReport(at(1), LoadReport{Endpoint: engineID(1), AsOf: at(1)}, nil)
	qt.Assert(t, grantUntilRefused(newOwner, 2, 0, 2000), qt.Equals, int64(0)) // the engine isn't known to be warm yet
	tickUntil(newOwner, 2, 5)
	grantedByNew := grantUntilRefused(newOwner, 5.5, 0, 3000)
	qt.Assert(t, grantedByOld+grantedByNew <= 10_000, qt.IsTrue, qt.Commentf("%d and %d", grantedByOld, grantedByNew))

	newOwner.HandleHeartbeat(at(6), Heartbeat{Requester: "router-2", Endpoint: engineID(0), GrantedByOthers: Usage{Cost: 8000, Requests: 80}}, nil)
	tickUntil(newOwner, 6, 12)
	qt.Assert(t, grantUntilRefused(newOwner, 12, 0, 4000), qt.Equals, int64(0))
	newOwner.HandleHeartbeat(at(12), Heartbeat{Requester: "router-2", Endpoint: engineID(0)}, nil)
	qt.Assert(t, grantUntilRefused(newOwner, 12, 0, 5000) > 7000, qt.IsTrue)
}

func TestTakeoverOfAWarmEndpointIsLimitedToTheTakeoverShare(t *testing.T) {
	oldOwner, newOwner := oldAndNewOwner(2)
	grantUntilRefused(oldOwner, 1, 0, 1)
	bothRouters := routers(2)
	fleet := singleRouterView(2)
	fleet.Self, fleet.LiveRouters, fleet.ListedRouters = "router-1", bothRouters, 2
	other := bothRouters[0]
	if owner, _ := Owner(engineID(0), "se-south", bothRouters); owner.ID == fleet.Self {
		t.Fatalf("%s is owned by router-1, want %s as its first owner", engineID(0), other.ID)
	}
	newOwner.SetFleetView(at(-20), fleet, nil)
	for s := -19.0; s <= 1; s++ {
		newOwner.ApplyDigest(at(s), Digest{From: other.ID, Loads: []EndpointLoad{{Endpoint: engineID(0), Load: 8000}}})
		newOwner.Tick(at(s), nil)
	}
	newOwner.SetFleetView(at(1), viewOfNewOwner(2), nil)
	qt.Assert(t, grantUntilRefused(newOwner, 1, 0, 2000), qt.Equals, int64(1000)) // TakeoverShare
}

func TestHandoverEndsTheTakeover(t *testing.T) {
	oldOwner, newOwner := oldAndNewOwner(2)
	qt.Assert(t, grantUntilRefused(oldOwner, 1, 0, 1), qt.Equals, int64(8000))
	all, _ := oldOwner.HandOverEndpoints(at(1), nil)
	handovers := slices.DeleteFunc(all, func(h Handover) bool { return h.Endpoint != engineID(0) })
	qt.Assert(t, handovers, qt.HasLen, 1)
	d, _ := oldOwner.RequestSlot(at(1), slotRequest(900, 0, 100), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)

	qt.Assert(t, newOwner.AcceptHandover(at(1), handovers[0]), qt.IsFalse)
	newOwner.SetFleetView(at(1), viewOfNewOwner(2), nil)
	newOwner.ApplyLoadReport(at(1), LoadReport{Endpoint: engineID(0), AsOf: at(1), Requests: 80, Load: 8000}, nil)
	newOwner.ApplyLoadReport(at(1), LoadReport{Endpoint: engineID(1), AsOf: at(1)}, nil)
	qt.Assert(t, newOwner.AcceptHandover(at(1), handovers[0]), qt.IsTrue)
	qt.Assert(t, grantUntilRefused(newOwner, 1, 0, 2000), qt.Equals, int64(0))
	newOwner.HandleHeartbeat(at(2), Heartbeat{Requester: "router-2", Endpoint: engineID(0), GrantedByOthers: Usage{Cost: 1000, Requests: 10}}, nil)
	tickUntil(newOwner, 2, 7)
	qt.Assert(t, grantUntilRefused(newOwner, 7, 0, 3000), qt.Equals, int64(7000))
}

func TestOwnerWithoutMajorityUsesTheTakeoverShare(t *testing.T) {
	c := warmController(2, Limits{EngineFloor: 10_000})
	fleet := singleRouterView(2)
	fleet.ListedRouters = 3
	c.SetFleetView(at(1), fleet, nil)
	tickUntil(c, 2, 20)
	qt.Assert(t, grantUntilRefused(c, 21, 0, 1), qt.Equals, int64(1000))
}

// A router whose process was paused may have been replaced, so it must not grant on
// its old view.
func TestPausedOwnerGrantsNothing(t *testing.T) {
	c := warmController(1, Limits{})
	qt.Assert(t, c.RenewFleetView(at(1), at(3)), qt.IsTrue)
	d, _ := c.RequestSlot(at(60), slotRequest(1, 0, 100), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
	qt.Assert(t, c.RenewFleetView(at(60), at(90)), qt.IsFalse)
}

func TestViewExpiresEvenIfTheClockIsSetBack(t *testing.T) {
	c := warmController(1, Limits{})
	fleet := singleRouterView(1)
	fleet.ValidUntil = at(4)
	c.SetFleetView(at(0), fleet, nil)
	for s := 0.0; s < 3; s += 0.5 {
		c.Tick(at(s), nil)
	}
	// From here on the caller's clock is 2.5 s behind, but the view must still
	// expire 4 s after it was set.
	for s := 0.5; s <= 1.5; s += 0.5 {
		d, _ := c.RequestSlot(at(s), slotRequest(GrantID(10*s), 0, 100), nil)
		qt.Assert(t, d.Verdict, qt.Equals, Granted)
		c.Tick(at(s), nil)
	}
	c.Tick(at(2), nil)
	d, _ := c.RequestSlot(at(2), slotRequest(100, 0, 100), nil)
	qt.Assert(t, d.Reason, qt.Equals, hitchoutcome.ReasonStale)
}

// An engine that leaves the list and comes back must not get a full bound of new
// work while its earlier requests still run.
func TestFlappingEndpointKeepsItsLoad(t *testing.T) {
	c := warmController(2, Limits{EngineFloor: 10_000})
	qt.Assert(t, grantUntilRefused(c, 1, 0, 1), qt.Equals, int64(8000))
	for s := 2.0; s < 6; s += 2 {
		unlisted := singleRouterView(2)
		unlisted.Endpoints = unlisted.Endpoints[1:]
		c.SetFleetView(at(s), unlisted, nil)
		qt.Assert(t, grantUntilRefused(c, s, 0, 2000), qt.Equals, int64(0))
		c.SetFleetView(at(s+1), singleRouterView(2), nil)
		qt.Assert(t, grantUntilRefused(c, s+1, 0, 3000), qt.Equals, int64(0))
	}
}

func TestColdStartWithoutNotice(t *testing.T) {
	report := func(s float64, requests int64) LoadReport {
		return LoadReport{Endpoint: engineID(0), AsOf: at(s), StartedAt: at(-1000), Requests: requests}
	}
	tests := map[string]func(c *Controller){
		"slow first tokens": func(c *Controller) {
			for range slowFirstTokenCount {
				c.RecordFirstToken(at(3), FirstTokenSample{Endpoint: engineID(0), DispatchedAt: at(-2), FirstTokenAt: at(3)}, nil)
			}
		},
		"restarted": func(c *Controller) {
			r := report(3, 0)
			r.StartedAt = at(2)
			c.ApplyLoadReport(at(3), r, nil)
		},
		"requests in hand are gone": func(c *Controller) { c.ApplyLoadReport(at(3), report(3, 0), nil) },
		"declared": func(c *Controller) {
			r := report(3, 20)
			r.Cold = true
			c.ApplyLoadReport(at(3), r, nil)
		},
	}
	for name, makeCold := range tests {
		t.Run(name, func(t *testing.T) {
			c := warmController(3, Limits{EngineFloor: 100_000})
			for range 20 {
				c.RecordFirstToken(at(0), FirstTokenSample{Endpoint: engineID(0), DispatchedAt: at(0), FirstTokenAt: at(0.4)}, nil)
			}
			for id := GrantID(1); id <= 20; id++ {
				c.RequestSlot(at(1), slotRequest(id, 0, 100), nil)
			}
			c.ApplyLoadReport(at(2), report(2, 20), nil)
			makeCold(c)
			qt.Assert(t, grantUntilRefused(c, 3, 0, 100), qt.Equals, int64(0))
			for id := GrantID(1); id <= 20; id++ {
				c.ReleaseSlot(at(3), Release{ID: id, Endpoint: engineID(0)}, nil)
			}
			qt.Assert(t, grantUntilRefused(c, 3, 0, 200), qt.Equals, int64(100*DefaultColdLimit))

			// Fast first tokens and a report that isn't cold start the ramp-up.
			for range fastFirstTokenCount {
				c.RecordFirstToken(at(4), FirstTokenSample{Endpoint: engineID(0), DispatchedAt: at(3.6), FirstTokenAt: at(4)}, nil)
			}
			r := report(4, DefaultColdLimit)
			r.StartedAt = time.Time{}
			c.ApplyLoadReport(at(4), r, nil)
			var sum int64 = 200
			for s := 4; s < 8; s++ {
				c.Tick(at(float64(s)), nil)
				sum += grantUntilRefused(c, float64(s), 0, GrantID(1000*s))
				qt.Assert(t, sum, qt.Equals, int64(200<<(s-4)))
			}
		})
	}
}

func TestZoneOutRefusesQueuedRequests(t *testing.T) {
	c := warmController(3, Limits{EngineFloor: 1000})
	c.RequestSlot(at(1), slotRequest(1, 0, 800), nil)
	d, _ := c.RequestSlot(at(1), slotRequest(2, 0, 800).withDeadline(1, 60), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Queued)
	fleet := singleRouterView(3)
	fleet.ZonesOut = []hitchfleet.AvailabilityZone{zone(0)}
	deferred := c.SetFleetView(at(2), fleet, nil)
	qt.Assert(t, deferred, qt.HasLen, 1)
	qt.Assert(t, deferred[0].Decision.Verdict, qt.Equals, Refused)
}

func TestInfrequentDigestsStayValidLonger(t *testing.T) {
	tests := map[string]struct {
		interval, validFor float64
	}{
		"each second":     {1, 5},
		"each 10 seconds": {10, 30},
		"each minute":     {60, 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c Controller
			fleet := viewOfNewOwner(1)
			fleet.Self = "router-0"
			c.SetFleetView(at(0), fleet, nil)
			d := Digest{From: "router-1", Loads: []EndpointLoad{{Endpoint: engineID(0), Load: 700}}}
			c.ApplyDigest(at(0), d)
			tickUntil(&c, 1, test.interval)
			c.ApplyDigest(at(test.interval), d)
			pool := c.shard(engineID(0)).endpoints[engineID(0)].pool
			for s := 1.0; s <= test.validFor; s++ {
				c.Tick(at(test.interval+s), nil)
				qt.Assert(t, pool.totalLoad.Load(), qt.Equals, int64(700))
			}
			c.Tick(at(test.interval+test.validFor+1), nil)
			qt.Assert(t, pool.totalLoad.Load(), qt.Equals, int64(0))
		})
	}
}
