package hitchadmit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// benchController returns the owner of n warm engines of six models, with slots
// granted to 210 organisations.
func benchController(n int) *Controller {
	c := &Controller{}
	fleet := singleRouterView(n)
	for i := range fleet.Endpoints {
		fleet.Endpoints[i].Route = hitchfleet.RouteID(fmt.Sprintf("model-%d", i%6))
	}
	c.SetFleetView(start, fleet, nil)
	for s := range 20 {
		now := at(float64(s))
		for i := range n {
			c.ApplyLoadReport(now, LoadReport{Endpoint: engineID(i), AsOf: now}, nil)
		}
		c.Tick(now, nil)
	}
	for i := range 20 * n {
		c.RequestSlot(at(20), benchRequest(GrantID(i), i%n), nil)
	}
	return c
}

func benchRequest(id GrantID, engine int) SlotRequest {
	req := slotRequest(id, engine, 500)
	req.Organisation = hitchfleet.OrganisationID(fmt.Sprintf("org-%d", id%210))
	req.SentAt, req.Deadline = at(20), at(30)
	return req
}

func BenchmarkRequestAndRelease(b *testing.B) {
	for _, n := range []int{13, 190, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := benchController(n)
			requests := make([]SlotRequest, 4*n)
			for i := range requests {
				requests[i] = benchRequest(GrantID(1<<20+i), i%n)
				c.RequestSlot(at(20), requests[i], nil)
				c.ReleaseSlot(at(20), Release{ID: requests[i].ID, Endpoint: requests[i].Endpoint}, nil)
			}
			deferred := make([]DeferredDecision, 0, 64)
			now := at(20)
			granted := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				req := &requests[i%len(requests)]
				now = now.Add(time.Microsecond)
				var d Decision
				if d, deferred = c.RequestSlot(now, *req, deferred[:0]); d.Verdict == Granted {
					granted++
				}
				deferred = c.ReleaseSlot(now, Release{ID: req.ID, Endpoint: req.Endpoint}, deferred[:0])
			}
			b.ReportMetric(float64(granted)/float64(b.N), "granted/op")
		})
	}
}

func BenchmarkRepeatedRequest(b *testing.B) {
	c := benchController(760)
	requests := make([]SlotRequest, 4*760)
	for i := range requests {
		requests[i] = benchRequest(GrantID(1<<20+i), i%760)
	}
	var deferred []DeferredDecision
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		// After the first round the slots are held already, so that this
		// measures repeated requests.
		_, deferred = c.RequestSlot(at(20), requests[i%len(requests)], deferred[:0])
	}
}

// BenchmarkMemory reports the memory that each endpoint takes.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{190, 380, 760} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := benchController(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/endpoint")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkSetFleetView measures SetFleetView in a region with 130 routers,
// with a change of the view and without one.
func BenchmarkSetFleetView(b *testing.B) {
	for _, n := range []int{190, 380, 760} {
		for name, change := range map[string]int{"changed": 1, "same": 0} {
			b.Run(fmt.Sprint(name, "-", n), func(b *testing.B) {
				fleet := singleRouterView(n)
				fleet.LiveRouters, fleet.ListedRouters = routers(130), 130
				c := &Controller{}
				c.SetFleetView(start, fleet, nil)
				for range b.N {
					fleet.ListedRouters += change
					c.SetFleetView(start, fleet, nil)
				}
			})
		}
	}
}

// BenchmarkTick measures Tick on a router that owns two of 760 endpoints.
func BenchmarkTick(b *testing.B) {
	c := benchController(2)
	fleet := singleRouterView(760)
	fleet.LiveRouters, fleet.ListedRouters = routers(390), 390
	c.SetFleetView(at(21), fleet, nil)
	b.ResetTimer()
	now := at(21)
	for range b.N {
		now = now.Add(100 * time.Millisecond)
		c.Tick(now, nil)
	}
}
