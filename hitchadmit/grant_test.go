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

func singleRouterView(n int) FleetView {
	return FleetView{Self: "router-0", LiveRouters: routers(1), ListedRouters: 1, ValidUntil: at(1e6), Endpoints: engines(n)}
}

// warmController returns the settled owner of n warm endpoints.
func warmController(n int, l Limits) *Controller {
	c := &Controller{Limits: l}
	c.SetFleetView(at(-20), singleRouterView(n), nil)
	for s := 0; s <= 20; s++ {
		c.Tick(at(float64(s)-20), nil)
		for i := range n {
			c.ApplyLoadReport(at(float64(s)-20), LoadReport{Endpoint: engineID(i), AsOf: at(float64(s) - 20)}, nil)
		}
	}
	return c
}

// tickUntil calls Tick at every second in [from, to].
func tickUntil(c *Controller, from, to float64) (deferred []DeferredDecision) {
	for s := from; s <= to; s++ {
		deferred = c.Tick(at(s), deferred)
	}
	return deferred
}

func slotRequest(id GrantID, engine int, cost int64) SlotRequest {
	return SlotRequest{ID: id, Endpoint: engineID(engine), Organisation: "aquarium", Requester: "router-0", Cost: cost, Hops: MaxHops}
}

func (req SlotRequest) withDeadline(sent, deadline float64) SlotRequest {
	req.SentAt, req.Deadline = at(sent), at(deadline)
	return req
}

func TestGrantsAreBoundedByTheMeanLoad(t *testing.T) {
	c := warmController(4, Limits{EngineFloor: 1000})
	granted := int64(0)
	for id := GrantID(1); id < 100; id++ {
		if d, _ := c.RequestSlot(at(1), slotRequest(id, 0, 100), nil); d.Verdict == Granted {
			granted += 100
		}
	}
	qt.Assert(t, granted, qt.Equals, int64(800)) // SettledShare of the floor
}

func TestAlternativeHasRoom(t *testing.T) {
	c := warmController(4, Limits{EngineFloor: 1000})
	c.RequestSlot(at(1), slotRequest(1, 0, 800), nil)
	req := slotRequest(2, 0, 100)
	req.Hops = 0
	d, _ := c.RequestSlot(at(1), req, nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
	qt.Assert(t, d.Alternative, qt.Not(qt.Equals), hitchfleet.EndpointID(""))
	req.Endpoint = d.Alternative
	d, _ = c.RequestSlot(at(1), req, nil)
	qt.Assert(t, d.Verdict, qt.Equals, Granted)
}

func TestSlotRequestIsRefusedImmediately(t *testing.T) {
	tests := map[string]struct {
		changeView func(*FleetView)
		at         float64
		deadline   float64
		want       hitchoutcome.Reason
	}{
		"wait passes the deadline": {func(*FleetView) {}, 1, 2, hitchoutcome.ReasonOverloaded},
		"zone out":                 {func(fleet *FleetView) { fleet.ZonesOut = []hitchfleet.AvailabilityZone{zone(0)} }, 1, 60, hitchoutcome.ReasonNoEndpoint},
		"endpoint leaves":          {func(fleet *FleetView) { fleet.Endpoints[0].Leaving = true }, 1, 60, hitchoutcome.ReasonNoEndpoint},
		"endpoint off the list":    {func(fleet *FleetView) { fleet.Endpoints = fleet.Endpoints[1:] }, 1, 60, hitchoutcome.ReasonNoEndpoint},
		"view is stale":            {func(fleet *FleetView) { fleet.ValidUntil = at(1) }, 1.5, 60, hitchoutcome.ReasonStale},
		"router leaves":            {func(fleet *FleetView) { fleet.LiveRouters[0].Leaving = true }, 1, 60, hitchoutcome.ReasonStale},
		"clock set back":           {func(*FleetView) {}, -3600, 60, hitchoutcome.ReasonStale},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := warmController(3, Limits{EngineFloor: 1000})
			c.RequestSlot(at(0), slotRequest(1, 0, 800), nil)
			fleet := singleRouterView(3)
			test.changeView(&fleet)
			c.SetFleetView(at(0.5), fleet, nil)
			d, _ := c.RequestSlot(at(test.at), slotRequest(2, 0, 800).withDeadline(test.at, test.deadline), nil)
			qt.Assert(t, d.Verdict, qt.Equals, Refused)
			qt.Assert(t, d.Reason, qt.Equals, test.want)
			qt.Assert(t, d.RetryAt.After(at(test.at)), qt.IsTrue)
		})
	}
}

func TestMaxConcurrentBoundsRequestsRegardlessOfCost(t *testing.T) {
	const maxConcurrent = 8
	c := warmController(1, Limits{EngineFloor: 1_000_000, EngineCapacity: 1_000_000})
	c.ApplyLoadReport(at(0), LoadReport{Endpoint: engineID(0), AsOf: at(0), MaxConcurrent: maxConcurrent}, nil)
	costs := []int64{10, 8000, 20, 5000, 300, 9000, 1, 7000}
	for i, cost := range costs {
		req := slotRequest(GrantID(i+1), 0, cost)
		req.Organisation = hitchfleet.OrganisationID(fmt.Sprint(i))
		d, _ := c.RequestSlot(at(0), req, nil)
		qt.Assert(t, d.Verdict, qt.Equals, Granted, qt.Commentf("request %d", i))
	}
	d, _ := c.RequestSlot(at(0), slotRequest(100, 0, 1), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
}

// A slot whose Release is lost must become free again: its grant expires without
// heartbeats, and the next load report shows that the work is done.
func TestLostReleaseIsClearedByTheReportAfterTheDeadline(t *testing.T) {
	c := warmController(1, Limits{EngineFloor: 1000, EngineCapacity: 1000})
	c.RequestSlot(at(0), slotRequest(1, 0, 1000), nil)
	for s := 1.0; s < 5; s++ {
		c.HandleHeartbeat(at(s), Heartbeat{Requester: "router-0", Endpoint: engineID(0), Grants: []GrantID{1}}, nil)
	}
	d, _ := c.RequestSlot(at(5), slotRequest(2, 0, 1000).withDeadline(5, 50), nil)
	qt.Assert(t, d.Verdict, qt.Equals, Queued)
	qt.Assert(t, tickUntil(c, 6, 15), qt.HasLen, 0)
	deferred := c.ApplyLoadReport(at(15.5), LoadReport{Endpoint: engineID(0), AsOf: at(15.4)}, nil)
	qt.Assert(t, deferred, qt.HasLen, 1)
	qt.Assert(t, deferred[0].Decision.ID, qt.Equals, GrantID(2))
	qt.Assert(t, deferred[0].Decision.Verdict, qt.Equals, Granted)
}

func TestRepeatedRequestAndReleaseCountOnce(t *testing.T) {
	c := warmController(1, Limits{})
	for range 3 {
		d, _ := c.RequestSlot(at(0), slotRequest(1, 0, 700), nil)
		qt.Assert(t, d.Verdict, qt.Equals, Granted)
	}
	qt.Assert(t, c.Digest(at(0)).Loads[0].Granted, qt.Equals, int64(700))
	c.RequestSlot(at(0), slotRequest(2, 0, 300), nil)
	for range 3 {
		c.ReleaseSlot(at(1), Release{ID: 1, Endpoint: engineID(0)}, nil)
	}
	qt.Assert(t, c.Digest(at(1)).Loads[0].Granted, qt.Equals, int64(300))
}

func TestClockStepKeepsGrants(t *testing.T) {
	tests := map[string]float64{"forward": 3600, "backward": -3600}
	for name, step := range tests {
		t.Run(name, func(t *testing.T) {
			c := warmController(1, Limits{})
			c.RequestSlot(at(0), slotRequest(1, 0, 700), nil)
			c.Tick(at(step), nil)
			qt.Assert(t, c.Digest(at(step)).Loads[0].Granted, qt.Equals, int64(700))
			tickUntil(c, step, step+GrantTTL.Seconds()+1)
			qt.Assert(t, c.Digest(at(step)).Loads[0].Granted, qt.Equals, int64(0))
			tickUntil(c, step+GrantTTL.Seconds()+1, step+GrantTTL.Seconds()+ReportTTL.Seconds()+2)
			qt.Assert(t, c.Digest(at(step)).Loads[0].Load, qt.Equals, int64(0))
		})
	}
}

func TestReportIsCorrectedByLaterGrants(t *testing.T) {
	c := warmController(1, Limits{})
	c.RequestSlot(at(1), slotRequest(1, 0, 500), nil)
	c.RequestSlot(at(3), slotRequest(2, 0, 300), nil)
	c.ApplyLoadReport(at(3.5), LoadReport{Endpoint: engineID(0), AsOf: at(2), Load: 900, Requests: 2}, nil)
	qt.Assert(t, c.Digest(at(3.5)).Loads[0].Load, qt.Equals, int64(500+300+400))
}

func TestConcurrentUse(t *testing.T) {
	const workers, rounds = 8, 500
	c := warmController(6, Limits{})
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			var deferred []DeferredDecision
			for i := range rounds {
				id := GrantID(w*rounds + i + 1)
				_, deferred = c.RequestSlot(at(1), slotRequest(id, i%6, 100).withDeadline(1, 30), deferred[:0])
				deferred = c.ReleaseSlot(at(1), Release{ID: id, Endpoint: engineID(i % 6)}, deferred[:0])
				switch i % 50 {
				case 7:
					deferred = c.Tick(at(1), deferred[:0])
				case 17:
					deferred = c.SetFleetView(at(1), singleRouterView(6), deferred[:0])
				case 27:
					c.ApplyDigest(at(1), Digest{From: "router-9", Loads: c.Digest(at(1)).Loads})
				}
			}
		})
	}
	wg.Wait()
	for _, l := range c.Digest(at(1)).Loads {
		qt.Assert(t, l.Granted, qt.Equals, int64(0))
	}
	for key, p := range c.pools {
		qt.Assert(t, p.available.Load(), qt.Equals, int64(6), qt.Commentf("%v", key))
	}
}

func TestOwnerIsSettledAfterTheTakeoverAndAReport(t *testing.T) {
	var c Controller
	qt.Assert(t, c.IsSettled(at(0)), qt.IsFalse)
	c.SetFleetView(at(0), singleRouterView(1), nil)
	qt.Assert(t, c.IsSettled(at(0)), qt.IsFalse)
	for s := 0.0; s < TakeoverWindow.Seconds(); s++ {
		c.Tick(at(s), nil)
	}
	later := at(TakeoverWindow.Seconds())
	qt.Assert(t, c.IsSettled(later), qt.IsFalse)
	c.ApplyLoadReport(later, LoadReport{Endpoint: engineID(0), AsOf: later}, nil)
	qt.Assert(t, c.IsSettled(later), qt.IsTrue)
}
