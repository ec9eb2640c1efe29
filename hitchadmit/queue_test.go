package hitchadmit

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// surgeResult counts the outcomes of one organisation's requests.
type surgeResult struct {
	requested, granted, queued, refused int
	// refusedLate counts refusals later than a tenth of the maximum queue time
	// after the request.
	refusedLate int
	longestWait time.Duration
}

// runSurge simulates one engine that runs 10 requests of 100 tokens at a time,
// 1 s each. The school sends 5 requests a second, which is within its half; the
// studio sends rate requests a second. Each request is queued for at most 4 s.
func runSurge(rate int, priority Priority, weights []Weight) (school, studio surgeResult) {
	const steps, maxQueueTime = 600, 4 * time.Second
	c := &Controller{Limits: Limits{EngineFloor: 1000, EngineCapacity: 1000}}
	fleet := singleRouterView(1)
	fleet.Weights = weights
	c.SetFleetView(at(-20), fleet, nil)
	c.ApplyLoadReport(at(-20), LoadReport{Endpoint: engineID(0), AsOf: at(-20)}, nil)
	tickUntil(c, -19, 0)
	type activeRequest struct {
		id     GrantID
		endsAt time.Time
	}
	var running []activeRequest
	requestedAt := make(map[GrantID]time.Time)
	resultOf := func(id GrantID) *surgeResult {
		if id%2 == 0 {
			return &school
		}
		return &studio
	}
	record := func(now time.Time, d Decision) {
		result, waited := resultOf(d.ID), now.Sub(requestedAt[d.ID])
		switch d.Verdict {
		case Granted:
			result.granted++
			result.longestWait = max(result.longestWait, waited)
			running = append(running, activeRequest{d.ID, now.Add(time.Second)})
		case Refused:
			result.refused++
			if waited > maxQueueTime/10 {
				result.refusedLate++
			}
		case Queued:
			result.queued++
		}
	}
	now := at(0)
	var next [2]GrantID
	for step := range steps {
		now = now.Add(100 * time.Millisecond)
		var deferred []DeferredDecision
		for len(running) > 0 && !running[0].endsAt.After(now) {
			deferred = c.ReleaseSlot(now, Release{ID: running[0].id, Endpoint: engineID(0)}, deferred)
			running = running[1:]
		}
		deferred = c.Tick(now, deferred)
		for _, d := range deferred {
			record(now, d.Decision)
		}
		for i, org := range []hitchfleet.OrganisationID{"school", "studio"} {
			perSecond, p := 5, Interactive
			if i == 1 {
				perSecond, p = rate, priority
			}
			for range (step+1)*perSecond/10 - step*perSecond/10 {
				next[i]++
				id := 2*next[i] + GrantID(i)
				requestedAt[id] = now
				resultOf(id).requested++
				req := slotRequest(id, 0, 100)
				req.Organisation, req.Priority, req.SentAt, req.Deadline = org, p, now, now.Add(maxQueueTime)
				d, deferred := c.RequestSlot(now, req, nil)
				record(now, d)
				for _, d := range deferred {
					record(now, d.Decision)
				}
			}
		}
	}
	return school, studio
}

func TestSurgeLeavesOtherOrganisationsTheirShare(t *testing.T) {
	tests := map[string]struct {
		rate      int
		priority  Priority
		weights   []Weight
		minSchool float64 // fraction of the school's requests that are granted
		minStudio int     // number of grants
		maxWait   time.Duration
	}{
		"no surge":                 {5, Interactive, nil, 0.99, 295, time.Second},
		"ten-fold":                 {50, Interactive, nil, 0.95, 240, 2 * time.Second},
		"ten-fold of batch":        {50, Batch, nil, 0.95, 240, 2 * time.Second},
		"ten-fold, three to one":   {50, Interactive, []Weight{{"studio", 3}}, 0.45, 400, 4 * time.Second},
		"unused share is borrowed": {9, Interactive, nil, 0.95, 270, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			school, studio := runSurge(test.rate, test.priority, test.weights)
			t.Logf("school %+v studio %+v", school, studio)
			qt.Assert(t, float64(school.granted) >= test.minSchool*float64(school.requested), qt.IsTrue)
			qt.Assert(t, studio.granted >= test.minStudio, qt.IsTrue)
			qt.Assert(t, school.longestWait <= test.maxWait, qt.IsTrue)
			qt.Assert(t, school.refusedLate+studio.refusedLate <= (school.requested+studio.requested)/50, qt.IsTrue)
		})
	}
}

func TestQueueServesInFairOrder(t *testing.T) {
	var q queue
	school, studio := &tenant{weight: 1}, &tenant{weight: 2}
	push := func(id GrantID, p Priority, tn *tenant) {
		q.push(&SlotRequest{ID: id, Priority: p, Cost: 100}, start, start, tn)
	}
	for id := GrantID(1); id <= 20; id++ {
		push(id, Interactive, school)
		push(100+id, Interactive, studio)
		push(200+id, Batch, studio)
	}
	var order []GrantID
	for range 24 {
		i := q.nextIndex()
		q.recordGrant(&q.entries[i])
		entry := q.remove(i)
		order = append(order, entry.request.ID/100)
	}
	counts := func(class GrantID) int {
		return len(slices.DeleteFunc(slices.Clone(order), func(id GrantID) bool { return id != class }))
	}
	qt.Assert(t, []int{counts(0), counts(1), counts(2)}, qt.DeepEquals, []int{7, 14, 3})
}

func TestFullQueueEvictsFromTheTenantWithTheLargestShare(t *testing.T) {
	c := warmController(1, Limits{EngineFloor: 100, EngineCapacity: 1000, QueueLimit: 10})
	grantUntilRefused(c, 1, 0, 1)
	request := func(id GrantID, org hitchfleet.OrganisationID) (Decision, []DeferredDecision) {
		req := slotRequest(id, 0, 100).withDeadline(1, 3600)
		req.Organisation = org
		return c.RequestSlot(at(1), req, nil)
	}
	for id := GrantID(100); id < 110; id++ {
		d, _ := request(id, "studio")
		qt.Assert(t, d.Verdict, qt.Equals, Queued)
	}
	d, deferred := request(200, "school")
	qt.Assert(t, d.Verdict, qt.Equals, Queued)
	qt.Assert(t, deferred, qt.HasLen, 1)
	qt.Assert(t, deferred[0].Decision.ID, qt.Equals, GrantID(109))
	qt.Assert(t, deferred[0].Decision.Reason, qt.Equals, hitchoutcome.ReasonShareExceeded)
	d, deferred = request(110, "studio")
	qt.Assert(t, d.Verdict, qt.Equals, Refused)
	qt.Assert(t, deferred, qt.HasLen, 0)
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b RetryBudget
	allowed := 0
	for i := range 1000 {
		b.RecordFirstAttempt(at(float64(i) / 200))
		if b.TryRetry(at(float64(i) / 200)) {
			allowed++
		}
	}
	qt.Assert(t, allowed >= 95 && allowed <= 100, qt.IsTrue, qt.Commentf("%d", allowed))
	qt.Assert(t, b.TryRetry(at(60)), qt.IsTrue)
}

func TestPacketSizes(t *testing.T) {
	req := slotRequest(1<<63, 7, 1800).withDeadline(1, 60)
	d := Decision{ID: req.ID, Verdict: Refused, Reason: hitchoutcome.ReasonOverloaded, RetryAt: at(3), Alternative: engineID(3)}
	tests := map[string]struct {
		packet   Packet
		maxBytes int
	}{
		"slot request": {Packet{SlotRequest: &req}, 110},
		"decision":     {Packet{Decision: &d}, 70},
		"release":      {Packet{Release: &Release{ID: req.ID, Endpoint: req.Endpoint}}, 40},
		"heartbeat":    {Packet{Heartbeats: []Heartbeat{{Requester: req.Requester, Endpoint: req.Endpoint, Grants: []GrantID{req.ID, 2}}}}, 60},
		"handover":     {Packet{Handover: &Handover{From: req.Requester, Endpoint: req.Endpoint, Granted: Usage{Cost: 5, Requests: 1}}}, 50},
		"report":       {Packet{LoadReport: &LoadReport{Endpoint: req.Endpoint, AsOf: at(1), Load: 1 << 20}}, 60},
		"digest":       {Packet{Digest: &Digest{From: req.Requester, Loads: []EndpointLoad{{Endpoint: req.Endpoint, Load: 1 << 20}}}}, 60},
		"digest of two": {Packet{Digest: &Digest{From: req.Requester, Loads: []EndpointLoad{
			{Endpoint: req.Endpoint, Load: 1 << 20, Granted: 1 << 20}, {Endpoint: req.Endpoint, Load: 1 << 20, Granted: 1 << 20},
		}}}, 80},
		"first": {Packet{FirstToken: &FirstTokenSample{Endpoint: req.Endpoint, DispatchedAt: at(1), FirstTokenAt: at(2)}}, 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := test.packet.Encode()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(data) <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
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
