package hitchadmit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// served counts what became of one organisation's asks.
type served struct {
	asked, granted, queued, refused int
	// late counts refusals later than a tenth of the patience after the ask.
	late    int
	longest time.Duration
}

// surge runs one engine that works on 10 requests of 100 tokens, 1 s each. The
// school asks 5 times a second, within its half; the studio rate times a second.
// Each ask waits at most 4 s.
func surge(rate int, priority Priority, weights []Weight) (school, studio served) {
	const steps, patience = 600, 4 * time.Second
	o := &Owners{Limits: Limits{EngineFloor: 1000, EngineCapacity: 1000}}
	m := alone(1)
	m.Weights = weights
	o.SetMembers(at(-20), m, nil)
	o.Report(at(-20), LoadReport{Endpoint: engineID(0), AsOf: at(-20)}, nil)
	tickUntil(o, -19, 0)
	type work struct {
		id GrantID
		at time.Time
	}
	var running []work
	asked := make(map[GrantID]time.Time)
	of := func(id GrantID) *served {
		if id%2 == 0 {
			return &school
		}
		return &studio
	}
	decide := func(now time.Time, d Decision) {
		s, waited := of(d.ID), now.Sub(asked[d.ID])
		switch d.Verdict {
		case Granted:
			s.granted++
			s.longest = max(s.longest, waited)
			running = append(running, work{d.ID, now.Add(time.Second)})
		case Refused:
			s.refused++
			if waited > patience/10 {
				s.late++
			}
		case Queued:
			s.queued++
		}
	}
	now := at(0)
	var next [2]GrantID
	for step := range steps {
		now = now.Add(100 * time.Millisecond)
		var due []Notice
		for len(running) > 0 && !running[0].at.After(now) {
			due = o.Release(now, Release{ID: running[0].id, Endpoint: engineID(0)}, due)
			running = running[1:]
		}
		due = o.Tick(now, due)
		for _, n := range due {
			decide(now, n.Decision)
		}
		for i, org := range []hitchfleet.OrganisationID{"school", "studio"} {
			perSecond, p := 5, Interactive
			if i == 1 {
				perSecond, p = rate, priority
			}
			for range (step+1)*perSecond/10 - step*perSecond/10 {
				next[i]++
				id := 2*next[i] + GrantID(i)
				asked[id] = now
				of(id).asked++
				a := askFor(id, 0, 100)
				a.Organisation, a.Priority, a.SentAt, a.Deadline = org, p, now, now.Add(patience)
				d, due := o.Ask(now, a, nil)
				decide(now, d)
				for _, n := range due {
					decide(now, n.Decision)
				}
			}
		}
	}
	return school, studio
}

func TestSurgeLeavesTheOthersTheirShare(t *testing.T) {
	tests := map[string]struct {
		rate       int
		priority   Priority
		weights    []Weight
		minSchool  float64 // part of the school's asks that are granted
		minStudio  int     // grants
		maxLongest time.Duration
	}{
		"no surge":                 {5, Interactive, nil, 0.99, 295, time.Second},
		"ten-fold":                 {50, Interactive, nil, 0.95, 240, 2 * time.Second},
		"ten-fold of batch":        {50, Batch, nil, 0.95, 240, 2 * time.Second},
		"ten-fold, three to one":   {50, Interactive, []Weight{{"studio", 3}}, 0.45, 400, 4 * time.Second},
		"unused share is borrowed": {9, Interactive, nil, 0.95, 270, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			school, studio := surge(test.rate, test.priority, test.weights)
			t.Logf("school %+v studio %+v", school, studio)
			qt.Assert(t, float64(school.granted) >= test.minSchool*float64(school.asked), qt.IsTrue)
			qt.Assert(t, studio.granted >= test.minStudio, qt.IsTrue)
			qt.Assert(t, school.longest <= test.maxLongest, qt.IsTrue)
			qt.Assert(t, school.late+studio.late <= (school.asked+studio.asked)/50, qt.IsTrue)
		})
	}
}

func TestQueueServesInFairOrder(t *testing.T) {
	var q queue
	school, studio := &tenant{weight: 1}, &tenant{weight: 2}
	push := func(id GrantID, p Priority, tn *tenant) {
		q.push(&Ask{ID: id, Priority: p, Cost: 100}, start, start, tn)
	}
	for id := GrantID(1); id <= 20; id++ {
		push(id, Interactive, school)
		push(100+id, Interactive, studio)
		push(200+id, Batch, studio)
	}
	var order []GrantID
	for range 24 {
		i := q.next()
		q.served(&q.entries[i])
		w := q.remove(i)
		order = append(order, w.ask.ID/100)
	}
	counts := func(class GrantID) int {
		return len(slices.DeleteFunc(slices.Clone(order), func(id GrantID) bool { return id != class }))
	}
	qt.Assert(t, []int{counts(0), counts(1), counts(2)}, qt.DeepEquals, []int{7, 14, 3})
}

func TestFullQueuePushesOutTheLongestTenant(t *testing.T) {
	o := warmOwners(1, Limits{EngineFloor: 100, EngineCapacity: 1000, QueueLimit: 10})
	fill(o, 1, 0, 1)
	ask := func(id GrantID, org hitchfleet.OrganisationID) (Decision, []Notice) {
		a := askFor(id, 0, 100).waitUntil(1, 3600)
		a.Organisation = org
		return o.Ask(at(1), a, nil)
	}
	for id := GrantID(100); id < 110; id++ {
		d, _ := ask(id, "studio")
		qt.Assert(t, d.Verdict, qt.Equals, Queued)
	}
	d, due := ask(200, "school")
	qt.Assert(t, d.Verdict, qt.Equals, Queued)
	qt.Assert(t, due, qt.HasLen, 1)
	qt.Assert(t, due[0].Decision.ID, qt.Equals, GrantID(109))
	qt.Assert(t, due[0].Decision.Reason, qt.Equals, hitchoutcome.ReasonShareExceeded)
	d, due = ask(110, "studio")
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
	qt.Assert(t, due, qt.HasLen, 0)
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	allowed := 0
	for i := range 1000 {
		b.First(at(float64(i) / 200))
		if b.Retry(at(float64(i) / 200)) {
			allowed++
		}
	}
	qt.Assert(t, allowed >= 95 && allowed <= 100, qt.IsTrue, qt.Commentf("%d", allowed))
	qt.Assert(t, b.Retry(at(60)), qt.IsTrue)
}

func TestPacketTakesAboutAHundredBytes(t *testing.T) {
	a := askFor(1<<63, 7, 1800).waitUntil(1, 60)
	d := Decision{ID: a.ID, Verdict: Refused, Reason: hitchoutcome.ReasonOverloaded, RetryAt: at(3), Alternative: engineID(3)}
	tests := map[string]struct {
		packet Packet
		most   int
	}{
		"ask":       {Packet{Ask: &a}, 110},
		"decision":  {Packet{Decision: &d}, 70},
		"release":   {Packet{Release: &Release{ID: a.ID, Endpoint: a.Endpoint}}, 40},
		"heartbeat": {Packet{Heartbeats: []Heartbeat{{Asker: a.Asker, Endpoint: a.Endpoint, Grants: []GrantID{a.ID, 2}}}}, 60},
		"handover":  {Packet{Handover: &Handover{From: a.Asker, Endpoint: a.Endpoint, Granted: Holding{Cost: 5, Requests: 1}}}, 50},
		"report":    {Packet{LoadReport: &LoadReport{Endpoint: a.Endpoint, AsOf: at(1), Load: 1 << 20}}, 60},
		"digest":    {Packet{Digest: &Digest{From: a.Asker, Loads: []EndpointLoad{{Endpoint: a.Endpoint, Load: 1 << 20}}}}, 60},
		"digest of two": {Packet{Digest: &Digest{From: a.Asker, Loads: []EndpointLoad{
			{Endpoint: a.Endpoint, Load: 1 << 20, Granted: 1 << 20}, {Endpoint: a.Endpoint, Load: 1 << 20, Granted: 1 << 20},
		}}}, 80},
		"first": {Packet{FirstToken: &FirstToken{Endpoint: a.Endpoint, DispatchedAt: at(1), At: at(2)}}, 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := test.packet.Encode()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(data) <= test.most, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
			t.Logf("%d bytes", len(data))
			got, err := DecodePacket(data)
			qt.Assert(t, err, qt.IsNil)
			again, err := got.Encode()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again, qt.DeepEquals, data)
		})
	}
	_, err := DecodePacket([]byte{0x88, 0x01})
	qt.Assert(t, err, qt.ErrorMatches, "hitchadmit: decoding a packet: .*")
}
