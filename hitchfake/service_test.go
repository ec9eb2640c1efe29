package hitchfake

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestServiceFaults(t *testing.T) {
	tests := map[string]struct {
		fault       Fault
		hasResponse bool
		status      int
		runs        int
	}{
		"none":         {Fault{Kind: FaultSlow, Millis: 500}, true, 200, 1},
		"late":         {Fault{Kind: FaultDelayResponse, Millis: 500}, true, 200, 1},
		"refuse":       {Fault{Kind: FaultRefuse}, true, 503, 0},
		"silent":       {Fault{Kind: FaultHang}, false, 0, 0},
		"silent after": {Fault{Kind: FaultHang, AfterRun: true}, false, 0, 1},
		"cut":          {Fault{Kind: FaultDisconnect}, false, 0, 0},
		"cut after":    {Fault{Kind: FaultDisconnect, AfterRun: true}, false, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var service Service
				server := newTestServer(t, service.Handler())
				service.Faults.Set(test.fault)
				got := server.send("POST", "/bookings", "tank tour", IdempotencyHeader, "k1", AttemptHeader, "a1")
				qt.Assert(t, got.err == nil, qt.Equals, test.hasResponse)
				qt.Assert(t, got.status, qt.Equals, test.status)
				runs := service.Runs()
				qt.Assert(t, runs, qt.HasLen, test.runs)
				service.Faults.Set()
				var outcome RunOutcome
				server.decode(server.send("GET", "/outcomes/k1", nil), &outcome)
				qt.Assert(t, outcome.Ran, qt.Equals, test.runs > 0)
				if test.status == 200 {
					var run Run
					server.decode(got, &run)
					qt.Assert(t, run.Digest, qt.Equals, Digest([]byte(`"tank tour"`)))
					qt.Assert(t, got.header.Get(AttemptHeader), qt.Equals, "a1")
				}
			})
		})
	}
}

// The service runs every non-idempotent request, repeated or not. Lookups aren't
// counted as runs.
func TestServiceRunsRepeatedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var service Service
		server := newTestServer(t, service.Handler())
		var first, second, swapped Run
		server.decode(server.send("POST", "/pay", 1, IdempotencyHeader, "k1", AttemptHeader, "a1"), &first)
		server.decode(server.send("POST", "/pay", 1, IdempotencyHeader, "k1", AttemptHeader, "a2"), &second)
		qt.Assert(t, second.Number, qt.Equals, 2)
		qt.Assert(t, second.Digest, qt.Equals, first.Digest)
		service.Faults.Set(Fault{Kind: FaultSwapResponse})
		got := server.send("POST", "/pay", 2, IdempotencyHeader, "k2", AttemptHeader, "a3")
		server.decode(got, &swapped)
		qt.Assert(t, swapped.Key, qt.Equals, "k1")
		qt.Assert(t, got.header.Get(AttemptHeader), qt.Equals, "a2")
		service.Faults.Set()
		var lookup Lookup
		server.decode(server.send("GET", "/slots?day=2", nil), &lookup)
		qt.Assert(t, lookup.Value, qt.Equals, LookupValue("/slots?day=2"))
		qt.Assert(t, service.Runs(), qt.HasLen, 3)
	})
}

func TestColdServiceCrashesOverLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := Service{ColdLimit: 2, WorkMillis: 1000, MaxRunning: 1}
		server := newTestServer(t, service.Handler())
		service.Faults.Set(Fault{Kind: FaultCold, Announced: true})
		var all sync.WaitGroup
		for i := range 3 {
			all.Go(func() {
				got := server.send("POST", "/work", i)
				qt.Check(t, got.err != nil, qt.Equals, i == 2, qt.Commentf("request %d", i))
			})
			synctest.Wait()
			if i == 1 {
				var load Load
				server.decode(server.send("GET", "/load", nil), &load)
				qt.Check(t, fmt.Sprint(load.Running, load.Waiting, load.Cold), qt.Equals, "1 1 true")
			}
		}
		qt.Assert(t, server.send("GET", "/load", nil).err, qt.IsNotNil)
		all.Wait()
		time.Sleep(defaultDownMillis * time.Millisecond)
		qt.Assert(t, service.Crashes(), qt.Equals, 1)
		qt.Assert(t, service.Runs(), qt.HasLen, 2)
		qt.Assert(t, server.send("POST", "/work", 9).status, qt.Equals, 200)
	})
}
