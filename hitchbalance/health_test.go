package hitchbalance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestOneRequestAtATimeProbesAnEjectedEngine sends several requests whose preferred
// engine has just come to the end of its ejection.
func TestOneRequestAtATimeProbesAnEjectedEngine(t *testing.T) {
	b := balancers(fleet(1, 2))[0]
	b.Finish(start, pick(t, b, start, prompt(77)), ResultOK)
	first := pick(t, b, start, prompt(77))
	b.Finish(start, first, ResultConnectionLost)
	probe := pick(t, b, at(500), prompt(77))
	qt.Assert(t, probe.Endpoint.ID, qt.Equals, first.Endpoint.ID)
	for ms := range 5 {
		qt.Assert(t, pick(t, b, at(501+ms), prompt(77)).Endpoint.ID, qt.Not(qt.Equals), first.Endpoint.ID)
	}
	b.ObserveFirstByte(at(510), probe)
	qt.Assert(t, pick(t, b, at(511), prompt(77)).Endpoint.ID, qt.Equals, first.Endpoint.ID)
}

// TestConcurrentFailuresCountAsOne simulates a crash of an engine with several
// requests in flight.
func TestConcurrentFailuresCountAsOne(t *testing.T) {
	b := balancers(fleet(1, 1))[0]
	var lost []Pick
	for range 5 {
		lost = append(lost, pick(t, b, start, prompt(77)))
	}
	for _, p := range lost {
		b.Finish(at(10), p, ResultConnectionLost)
	}
	e := b.byID[lost[0].Endpoint.ID]
	qt.Assert(t, e.health.ejectedUntil, qt.Equals, at(510))
	changes := b.TakeHealthChanges()
	qt.Assert(t, changes, qt.HasLen, 1)
	qt.Assert(t, changes[0].Endpoint, qt.Equals, e.ID)
	qt.Assert(t, b.TakeHealthChanges(), qt.HasLen, 0)
}

// TestNonRepeatableRequestsProbeLast checks that a request that may run only once goes
// to an endpoint after its ejection only if no other request probed it within
// probeTimeout.
func TestNonRepeatableRequestsProbeLast(t *testing.T) {
	b := balancers(fleet(1, 2))[0]
	b.Finish(start, pick(t, b, start, prompt(77)), ResultOK)
	first := pick(t, b, start, prompt(77))
	b.Finish(start, first, ResultConnectionLost)
	once := Request{Service: "llm", Prompt: prompt(77)}
	p, _ := b.Pick(at(600), once)
	qt.Assert(t, p.Endpoint.ID, qt.Not(qt.Equals), first.Endpoint.ID)
	p, _ = b.Pick(at(1500), once)
	qt.Assert(t, p.Endpoint.ID, qt.Equals, first.Endpoint.ID)
}

// TestUnreachableZoneIsAvoided simulates a network partition: one zone, a third of the
// engines, is unreachable for 5 s, at 40 requests per second. The only requests that
// may fail are those sent before the partition is detected, and one for each probe.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	const unreachable, timeout, interval = "zone-1", 400, 25
	b := balancers(fleet(1, 9))[0]
	type sent struct {
		Pick
		endsAt time.Time
	}
	var inFlight []sent
	lost := 0
	for ms := 0; ms < 5000; ms += interval {
		for len(inFlight) > 0 && !inFlight[0].endsAt.After(at(ms)) {
			b.Finish(inFlight[0].endsAt, inFlight[0].Pick, ResultNoResponse)
			inFlight = inFlight[1:]
		}
		p := pick(t, b, at(ms), prompt(hitchfleet.PartID(ms/interval%40+10)))
		if p.Endpoint.Zone == unreachable {
			lost++
			inFlight = append(inFlight, sent{p, at(ms + timeout)})
			continue
		}
		b.Finish(at(ms), p, ResultOK)
	}
	undetected := timeout / interval
	qt.Assert(t, lost <= undetected+5, qt.IsTrue, qt.Commentf("%d requests lost", lost))
}

// TestEngineWithOverdueResponseIsAvoided simulates an engine that hangs: no request has
// failed yet, but a response is overdue.
func TestEngineWithOverdueResponseIsAvoided(t *testing.T) {
	b := balancers(fleet(1, 2))[0]
	stuck := pick(t, b, start, prompt(77))
	b.ExpectResponseBy(stuck, at(300))
	qt.Assert(t, pick(t, b, at(300), prompt(77)).Endpoint.ID, qt.Equals, stuck.Endpoint.ID)
	qt.Assert(t, pick(t, b, at(301), prompt(77)).Endpoint.ID, qt.Not(qt.Equals), stuck.Endpoint.ID)
	b.ObserveFirstByte(at(400), stuck)
	qt.Assert(t, pick(t, b, at(401), prompt(77)).Endpoint.ID, qt.Equals, stuck.Endpoint.ID)
}

// TestRetryPrefersReachableZones checks that a request without a response from some
// zone is retried in the router's own zone first, then in the other zones that
// aren't known as unreachable to it.
func TestRetryPrefersReachableZones(t *testing.T) {
	tests := map[string]struct {
		self        hitchfleet.AvailabilityZone
		unreachable []hitchfleet.AvailabilityZone
		want        []hitchfleet.AvailabilityZone
	}{
		"other zone unreachable": {"zone-0", []hitchfleet.AvailabilityZone{"zone-1"}, []hitchfleet.AvailabilityZone{"zone-0"}},
		"own zone unreachable":   {"zone-0", []hitchfleet.AvailabilityZone{"zone-0"}, []hitchfleet.AvailabilityZone{"zone-1", "zone-2"}},
		"all unreachable":        {"zone-0", []hitchfleet.AvailabilityZone{"zone-0", "zone-1", "zone-2"}, []hitchfleet.AvailabilityZone{"zone-0", "zone-1", "zone-2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := balancers(fleet(1, 9))[0]
			for shared := range hitchfleet.PartID(20) {
				p, refusal := b.Pick(start, Request{Service: "llm", Prompt: prompt(shared + 10), Zone: test.self, UnreachableZones: test.unreachable})
				qt.Assert(t, refusal, qt.Equals, NotRefused)
				qt.Assert(t, test.want, qt.Contains, p.Endpoint.Zone)
			}
		})
	}
}
