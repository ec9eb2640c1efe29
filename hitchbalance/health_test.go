package hitchbalance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestOneRequestTestsAnEngine has many requests want an engine whose rest is over.
func TestOneRequestTestsAnEngine(t *testing.T) {
	b := balancers(fleet(1, 2))[0]
	b.Settle(start, pick(t, b, start, prompt(77)), ResultOK)
	first := pick(t, b, start, prompt(77))
	b.Settle(start, first, ResultLost)
	test := pick(t, b, at(500), prompt(77))
	qt.Assert(t, test.Endpoint.ID, qt.Equals, first.Endpoint.ID)
	for ms := range 5 {
		qt.Assert(t, pick(t, b, at(501+ms), prompt(77)).Endpoint.ID, qt.Not(qt.Equals), first.Endpoint.ID)
	}
	b.Answered(at(510), test)
	qt.Assert(t, pick(t, b, at(511), prompt(77)).Endpoint.ID, qt.Equals, first.Endpoint.ID)
}

// TestRequestsLostTogetherAreOneFailure replays a crash with requests in flight.
func TestRequestsLostTogetherAreOneFailure(t *testing.T) {
	b := balancers(fleet(1, 1))[0]
	var lost []Pick
	for range 5 {
		lost = append(lost, pick(t, b, start, prompt(77)))
	}
	for _, p := range lost {
		b.Settle(at(10), p, ResultLost)
	}
	e := b.byID[lost[0].Endpoint.ID]
	qt.Assert(t, e.health.restsUntil, qt.Equals, at(510))
	beliefs := b.Beliefs()
	qt.Assert(t, beliefs, qt.HasLen, 1)
	qt.Assert(t, beliefs[0].Endpoint, qt.Equals, e.ID)
	qt.Assert(t, b.Beliefs(), qt.HasLen, 0)
}

// TestWhatMayNotBeRepeatedTestsLast: it goes to an endpoint after its rest only
// when nothing else tested it.
func TestWhatMayNotBeRepeatedTestsLast(t *testing.T) {
	b := balancers(fleet(1, 2))[0]
	b.Settle(start, pick(t, b, start, prompt(77)), ResultOK)
	first := pick(t, b, start, prompt(77))
	b.Settle(start, first, ResultLost)
	once := Request{Service: "llm", Prompt: prompt(77)}
	p, _ := b.Pick(at(600), once)
	qt.Assert(t, p.Endpoint.ID, qt.Not(qt.Equals), first.Endpoint.ID)
	p, _ = b.Pick(at(1500), once)
	qt.Assert(t, p.Endpoint.ID, qt.Equals, first.Endpoint.ID)
}

// TestACutZoneIsLeft replays a cut: a third of the engines is out of reach for
// 5 s, at 40 requests a second. What is lost are the requests that were under way
// when the cut was found out, and one for each test.
func TestACutZoneIsLeft(t *testing.T) {
	const cut, silence, every = "zone-1", 400, 25
	b := balancers(fleet(1, 9))[0]
	type sent struct {
		Pick
		settles time.Time
	}
	var underWay []sent
	lost := 0
	for ms := 0; ms < 5000; ms += every {
		for len(underWay) > 0 && !underWay[0].settles.After(at(ms)) {
			b.Settle(underWay[0].settles, underWay[0].Pick, ResultSilent)
			underWay = underWay[1:]
		}
		p := pick(t, b, at(ms), prompt(uint64(ms/every%40+10)))
		if p.Endpoint.Zone == cut {
			lost++
			underWay = append(underWay, sent{p, at(ms + silence)})
			continue
		}
		b.Settle(at(ms), p, ResultOK)
	}
	atFirst := silence / every
	qt.Assert(t, lost <= atFirst+5, qt.IsTrue, qt.Commentf("%d requests lost", lost))
}

// TestAnEngineThatOwesAnAnswerIsAvoided replays an engine that gets stuck: nothing
// broke yet, but its answers are overdue.
func TestAnEngineThatOwesAnAnswerIsAvoided(t *testing.T) {
	b := balancers(fleet(1, 2))[0]
	stuck := pick(t, b, start, prompt(77))
	b.Expect(stuck, at(300))
	qt.Assert(t, pick(t, b, at(300), prompt(77)).Endpoint.ID, qt.Equals, stuck.Endpoint.ID)
	qt.Assert(t, pick(t, b, at(301), prompt(77)).Endpoint.ID, qt.Not(qt.Equals), stuck.Endpoint.ID)
	b.Answered(at(400), stuck)
	qt.Assert(t, pick(t, b, at(401), prompt(77)).Endpoint.ID, qt.Equals, stuck.Endpoint.ID)
}

// TestARetryAfterSilenceStaysNear: a request that found no way to another zone
// tries the router's own first, then those that it wasn't lost in.
func TestARetryAfterSilenceStaysNear(t *testing.T) {
	tests := map[string]struct {
		own  hitchfleet.AvailabilityZone
		lost []hitchfleet.AvailabilityZone
		want []hitchfleet.AvailabilityZone
	}{
		"the own zone":   {"zone-0", []hitchfleet.AvailabilityZone{"zone-1"}, []hitchfleet.AvailabilityZone{"zone-0"}},
		"another zone":   {"zone-0", []hitchfleet.AvailabilityZone{"zone-0"}, []hitchfleet.AvailabilityZone{"zone-1", "zone-2"}},
		"any if all are": {"zone-0", []hitchfleet.AvailabilityZone{"zone-0", "zone-1", "zone-2"}, []hitchfleet.AvailabilityZone{"zone-0", "zone-1", "zone-2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := balancers(fleet(1, 9))[0]
			for shared := range uint64(20) {
				p, refusal := b.Pick(start, Request{Service: "llm", Prompt: prompt(shared + 10), Zone: test.own, LostZones: test.lost})
				qt.Assert(t, refusal, qt.Equals, NotRefused)
				qt.Assert(t, test.want, qt.Contains, p.Endpoint.Zone)
			}
		})
	}
}
