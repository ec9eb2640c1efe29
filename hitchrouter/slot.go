package hitchrouter

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// slot is the right to send one request to an endpoint.
type slot struct {
	endpoint   hitchfleet.Endpoint
	id         hitchadmit.GrantID
	deadline   time.Time
	dispatched time.Time
	// firstByte is when the answer began, or zero.
	firstByte time.Time
	// remembered is set once the chat's home knows of the endpoint.
	remembered bool
}

// answered notes when the answer began.
func (s *slot) answered(now time.Time) {
	if s.firstByte.IsZero() {
		s.firstByte = now
	}
}

// acquire finds an endpoint with room for a request. A refusal is final.
func (rt *Router) acquire(ctx context.Context, j *job) (*slot, *hitchoutcome.Refusal) {
	p := rt.placement()
	j.full = nil
	candidates := rt.candidates(ctx, j, p)
	for {
		search := slotSearch{router: rt, job: j, placement: p, candidates: candidates}
		s, refusal := search.run(ctx)
		if refusal == nil || j.version == "" || j.isVersionFixed || ctx.Err() != nil {
			return s, refusal
		}
		// Another version's engines may have room.
		j.full = append(j.full, j.version)
		if candidates = rt.candidates(ctx, j, p); len(candidates) == 0 {
			return nil, refusal
		}
	}
}

// slotSearch is the search of one request for a slot.
type slotSearch struct {
	router     *Router
	job        *job
	placement  *placement
	candidates []hitchfleet.EndpointID
	asked      []hitchfleet.EndpointID
	hops       uint8
	// retryAt is the earliest time to come back that an owner named.
	retryAt time.Time
	reason  hitchoutcome.Reason
}

// maxAsks bounds the owners that one search asks.
const maxAsks = 6

func (s *slotSearch) run(ctx context.Context) (*slot, *hitchoutcome.Refusal) {
	for len(s.asked) < maxAsks {
		id, ok := s.next()
		if !ok {
			break
		}
		endpoint, ok := s.placement.endpoints[id]
		if !ok {
			continue
		}
		d := s.router.ask(ctx, s.job, endpoint, s.placement.owners[id], s.hops)
		if d.Verdict == hitchadmit.Granted {
			return &slot{endpoint: endpoint, id: d.ID, deadline: d.Deadline, dispatched: s.router.now()}, nil
		}
		s.refused(d)
	}
	return nil, s.refusal()
}

// next returns the endpoint to ask for next, each one once.
func (s *slotSearch) next() (hitchfleet.EndpointID, bool) {
	for len(s.candidates) > 0 {
		id := s.candidates[0]
		s.candidates = s.candidates[1:]
		if !s.job.hasFailed(id) && !contains(s.asked, id) && s.placement.isVersion(s.job, id) {
			s.asked = append(s.asked, id)
			return id, true
		}
	}
	return "", false
}

// refused notes a refusal. The endpoint that its owner names instead comes next.
func (s *slotSearch) refused(d hitchadmit.Decision) {
	if s.reason == "" || d.Reason != hitchoutcome.ReasonStale {
		s.reason = d.Reason
	}
	if !d.RetryAt.IsZero() && (s.retryAt.IsZero() || d.RetryAt.Before(s.retryAt)) {
		s.retryAt = d.RetryAt
	}
	if d.Alternative != "" {
		s.hops++
		s.candidates = append([]hitchfleet.EndpointID{d.Alternative}, s.candidates...)
	}
}

func (s *slotSearch) refusal() *hitchoutcome.Refusal {
	now := s.router.now()
	if s.reason == "" {
		s.reason = hitchoutcome.ReasonNoEndpoint
	}
	if s.reason == hitchoutcome.ReasonStale {
		s.reason = hitchoutcome.ReasonOverloaded
	}
	if !s.retryAt.After(now) {
		s.retryAt = now.Add(retryLater)
	}
	return hitchoutcome.RefuseUnsent(s.reason, s.retryAt, "no endpoint of route %s has room", s.job.route.ID)
}

// ask asks an endpoint's owner for a slot, and waits if it is queued there.
func (rt *Router) ask(ctx context.Context, j *job, e hitchfleet.Endpoint, owner hitchfleet.Instance, hops uint8) hitchadmit.Decision {
	now := rt.now()
	a := hitchadmit.SlotRequest{
		ID:              rt.holder.NewGrantID(),
		Endpoint:        e.ID,
		Organisation:    j.organisation,
		Requester:       rt.Self.ID,
		Priority:        j.priority(),
		Cost:            j.costAt(e.ID),
		SentAt:          now,
		Deadline:        j.queueDeadline(now),
		GrantedByOthers: rt.holder.GrantedByOthers(e.ID, owner),
		Hops:            hops,
	}
	answer := make(chan hitchadmit.Decision, 1)
	rt.waiting.put(uint64(a.ID), answer)
	d := rt.sendAsk(ctx, a, owner)
	if d.Verdict == hitchadmit.Queued {
		d = rt.awaitGrant(ctx, a, answer)
	}
	rt.waiting.take(uint64(a.ID))
	if d.Verdict != hitchadmit.Granted || !d.IsValid(rt.now()) {
		rt.abandon(a, owner, d)
		d.Verdict = hitchadmit.Refused
		return d
	}
	rt.holder.Add(a, owner)
	return d
}

// sendAsk brings an ask to its owner. Without an answer it counts as refused; a
// grant that was made all the same is given back by abandon.
func (rt *Router) sendAsk(ctx context.Context, a hitchadmit.SlotRequest, owner hitchfleet.Instance) hitchadmit.Decision {
	refused := hitchadmit.Decision{ID: a.ID, Reason: hitchoutcome.ReasonStale}
	p := hitchadmit.Packet{SlotRequest: &a}
	if owner.ID == rt.Self.ID {
		return *rt.admit(rt.Self, p).Decision
	}
	body, err := p.Encode()
	if err != nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	reply, err := rt.Peers.call(ctx, owner.ID, 0, KindAdmit, body)
	if err != nil {
		rt.log().Debug("owner not reached", "Owner", string(owner.ID), "Endpoint", string(a.Endpoint), "Error", err)
		return refused
	}
	answer, err := hitchadmit.DecodePacket(reply)
	if err != nil || answer.Decision == nil {
		return refused
	}
	return *answer.Decision
}

// awaitGrant waits for the decision on a queued ask.
func (rt *Router) awaitGrant(ctx context.Context, a hitchadmit.SlotRequest, answer <-chan hitchadmit.Decision) hitchadmit.Decision {
	timer := time.NewTimer(a.Deadline.Sub(rt.now()))
	defer timer.Stop()
	select {
	case d := <-answer:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	return hitchadmit.Decision{ID: a.ID, Reason: hitchoutcome.ReasonOverloaded}
}

// abandon gives back what an owner may have granted to an ask that isn't used.
func (rt *Router) abandon(a hitchadmit.SlotRequest, owner hitchfleet.Instance, d hitchadmit.Decision) {
	decided := d.Verdict == hitchadmit.Refused && (d.Alternative != "" || !d.RetryAt.IsZero())
	if decided {
		return
	}
	rt.tellAdmit(owner.ID, hitchadmit.Packet{Release: &hitchadmit.Release{ID: a.ID, Endpoint: a.Endpoint}})
}

// release gives a slot back, and tells its owner how long the first byte took.
func (rt *Router) release(s *slot) {
	r, owner, ok := rt.holder.Remove(s.id, s.endpoint.ID)
	if !ok {
		return
	}
	p := hitchadmit.Packet{Release: &r}
	if !s.firstByte.IsZero() {
		p.FirstToken = &hitchadmit.FirstTokenSample{Endpoint: s.endpoint.ID, DispatchedAt: s.dispatched, FirstTokenAt: s.firstByte}
	}
	rt.tellAdmit(owner, p)
}

// costAt returns the work of a request at an endpoint. The prefix that the chat's
// home knows to be cached there needs no prefill.
func (j *job) costAt(id hitchfleet.EndpointID) int64 {
	if id != j.entry.Endpoint {
		return j.cost
	}
	return max(j.cost-j.entry.Tokens, j.answerCost)
}

// queueShare is the part of a request's time that it may spend in a queue.
const queueShare = 2

// queueDeadline is when a request must have its slot, so that time is left for
// the work itself.
func (j *job) queueDeadline(now time.Time) time.Time {
	if j.deadline.IsZero() {
		return now.Add(defaultQueueWait)
	}
	return now.Add(j.deadline.Sub(now) / queueShare)
}

// defaultQueueWait is how long a request without a deadline may be queued.
const defaultQueueWait = 5 * time.Second

func (j *job) priority() hitchadmit.Priority {
	if j.batch {
		return hitchadmit.Batch
	}
	return hitchadmit.Interactive
}
