package hitchrouter

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// slot is a granted permission to send one request to an endpoint.
type slot struct {
	endpoint     hitchfleet.Endpoint
	id           hitchadmit.GrantID
	deadline     time.Time
	dispatchedAt time.Time
	// firstByteAt is when the response began, or zero.
	firstByteAt time.Time
	// isRecorded is set once the endpoint was reported to the chat's home router.
	isRecorded bool
}

// recordFirstByte records when the response began. Later calls change nothing.
func (s *slot) recordFirstByte(now time.Time) {
	if s.firstByteAt.IsZero() {
		s.firstByteAt = now
	}
}

// acquireSlot finds an endpoint with a free slot for a request. If the engines of the
// chosen model version have none, it tries the other versions of the route. A refusal
// is final.
func (rt *Router) acquireSlot(ctx context.Context, req *proxyRequest) (*slot, *hitchoutcome.Refusal) {
	p := rt.placement()
	req.fullVersions = nil
	candidates := rt.candidates(ctx, req, p)
	for {
		search := slotSearch{router: rt, req: req, placement: p, candidates: candidates}
		s, refusal := search.run(ctx)
		if refusal == nil || req.version == "" || req.isVersionFixed || ctx.Err() != nil {
			return s, refusal
		}
		// The engines of another version may have a free slot.
		req.fullVersions = append(req.fullVersions, req.version)
		if candidates = rt.candidates(ctx, req, p); len(candidates) == 0 {
			return nil, refusal
		}
	}
}

// slotSearch is the search of one request for a slot.
type slotSearch struct {
	router     *Router
	req        *proxyRequest
	placement  *placement
	candidates []hitchfleet.EndpointID
	tried      []hitchfleet.EndpointID
	hops       uint8
	// retryAt is the earliest retry time that an owner returned.
	retryAt time.Time
	reason  hitchoutcome.Reason
}

// maxSlotRequests is the maximum number of slot requests in one search.
const maxSlotRequests = 6

func (s *slotSearch) run(ctx context.Context) (*slot, *hitchoutcome.Refusal) {
	for len(s.tried) < maxSlotRequests {
		id, ok := s.nextCandidate()
		if !ok {
			break
		}
		endpoint, ok := s.placement.endpoints[id]
		if !ok {
			continue
		}
		d := s.router.requestSlot(ctx, s.req, endpoint, s.placement.owners[id], s.hops)
		if d.Verdict == hitchadmit.Granted {
			return &slot{endpoint: endpoint, id: d.ID, deadline: d.Deadline, dispatchedAt: s.router.now()}, nil
		}
		s.recordRefusal(d)
	}
	return nil, s.refusal()
}

// nextCandidate returns the next endpoint to request a slot at. It returns each
// endpoint once, and skips those where an attempt failed or that serve another model
// version.
func (s *slotSearch) nextCandidate() (hitchfleet.EndpointID, bool) {
	for len(s.candidates) > 0 {
		id := s.candidates[0]
		s.candidates = s.candidates[1:]
		if !s.req.hasFailed(id) && !contains(s.tried, id) && s.placement.matchesVersion(s.req, id) {
			s.tried = append(s.tried, id)
			return id, true
		}
	}
	return "", false
}

// recordRefusal records an owner's refusal. If the owner proposes an alternative
// endpoint, that endpoint is tried next.
func (s *slotSearch) recordRefusal(d hitchadmit.Decision) {
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
		s.retryAt = now.Add(defaultRetryDelay)
	}
	return hitchoutcome.RefuseNotRun(s.reason, s.retryAt, "no endpoint of route %s has room", s.req.route.ID)
}

// requestSlot requests a slot from the owner of an endpoint, and waits for the
// decision if the request is queued there.
func (rt *Router) requestSlot(ctx context.Context, req *proxyRequest, e hitchfleet.Endpoint, owner hitchfleet.Instance, hops uint8) hitchadmit.Decision {
	now := rt.now()
	slotRequest := hitchadmit.SlotRequest{
		ID:              rt.heldSlots.NewGrantID(),
		Endpoint:        e.ID,
		Organisation:    req.organisation,
		Requester:       rt.Self.ID,
		Priority:        req.priority(),
		Cost:            req.costAt(e.ID),
		SentAt:          now,
		Deadline:        req.queueDeadline(now),
		GrantedByOthers: rt.heldSlots.GrantedByOthers(e.ID, owner),
		Hops:            hops,
	}
	decisions := make(chan hitchadmit.Decision, 1)
	rt.pendingDecisions.put(uint64(slotRequest.ID), decisions)
	d := rt.sendSlotRequest(ctx, slotRequest, e, owner)
	if d.Verdict == hitchadmit.Queued {
		d = rt.awaitDecision(ctx, slotRequest, decisions)
	}
	rt.pendingDecisions.take(uint64(slotRequest.ID))
	if d.Verdict != hitchadmit.Granted || !d.IsValid(rt.now()) {
		rt.cancelSlotRequest(slotRequest, owner, d)
		d.Verdict = hitchadmit.Refused
		return d
	}
	rt.heldSlots.Add(slotRequest, owner)
	return d
}

// sendSlotRequest sends a slot request to the owner of the endpoint. Without a
// response the request counts as refused; cancelSlotRequest then releases the slot in
// case the owner granted it.
func (rt *Router) sendSlotRequest(ctx context.Context, slotRequest hitchadmit.SlotRequest, e hitchfleet.Endpoint, owner hitchfleet.Instance) hitchadmit.Decision {
	refused := hitchadmit.Decision{ID: slotRequest.ID, Reason: hitchoutcome.ReasonStale}
	p := hitchadmit.Packet{SlotRequest: &slotRequest}
	if notice := rt.quotaNotice(e); notice.IsLimited {
		p.Quota = notice
	}
	if owner.ID == rt.Self.ID {
		return *rt.handleAdmissionPacket(rt.Self, p).Decision
	}
	body, err := p.Encode()
	if err != nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	responseBody, err := rt.Peers.call(ctx, owner.ID, 0, KindAdmit, body)
	if err != nil {
		rt.log().Debug("slot request to the owner of an endpoint failed", "Owner", string(owner.ID), "Endpoint", string(slotRequest.Endpoint), "Error", err)
		return refused
	}
	response, err := hitchadmit.DecodePacket(responseBody)
	if err != nil || response.Decision == nil {
		return refused
	}
	return *response.Decision
}

// awaitDecision waits for the decision on a queued slot request.
func (rt *Router) awaitDecision(ctx context.Context, slotRequest hitchadmit.SlotRequest, decisions <-chan hitchadmit.Decision) hitchadmit.Decision {
	timer := time.NewTimer(slotRequest.Deadline.Sub(rt.now()))
	defer timer.Stop()
	select {
	case d := <-decisions:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	return hitchadmit.Decision{ID: slotRequest.ID, Reason: hitchoutcome.ReasonOverloaded}
}

// cancelSlotRequest releases a slot that the owner may have granted or queued, unless
// the owner refused it. Only a refusal with an alternative or a retry time is taken to
// be the owner's; one without may stand for a missing response.
func (rt *Router) cancelSlotRequest(slotRequest hitchadmit.SlotRequest, owner hitchfleet.Instance, d hitchadmit.Decision) {
	isDecided := d.Verdict == hitchadmit.Refused && (d.Alternative != "" || !d.RetryAt.IsZero())
	if isDecided {
		return
	}
	rt.sendAdmissionPacket(owner.ID, hitchadmit.Packet{Release: &hitchadmit.Release{ID: slotRequest.ID, Endpoint: slotRequest.Endpoint}})
}

// releaseSlot returns a slot to the owner of the endpoint, and reports the time to the
// first byte.
func (rt *Router) releaseSlot(s *slot) {
	r, owner, ok := rt.heldSlots.Remove(s.id, s.endpoint.ID)
	if !ok {
		return
	}
	p := hitchadmit.Packet{Release: &r}
	if !s.firstByteAt.IsZero() {
		p.FirstToken = &hitchadmit.FirstTokenSample{Endpoint: s.endpoint.ID, DispatchedAt: s.dispatchedAt, FirstTokenAt: s.firstByteAt}
	}
	rt.sendAdmissionPacket(owner, p)
}

// costAt returns the cost of a request at an endpoint. It leaves out the tokens of the
// prefix that the endpoint has cached by lastServed, as they need no prefill.
func (req *proxyRequest) costAt(id hitchfleet.EndpointID) int64 {
	if id != req.lastServed.Endpoint {
		return req.cost
	}
	return max(req.cost-req.lastServed.Tokens, req.responseCost)
}

// queueTimeDivisor limits the time in a queue: a request may spend its remaining time
// divided by this there.
const queueTimeDivisor = 2

// queueDeadline returns the time by which a request must have its slot, so that time
// is left to process it.
func (req *proxyRequest) queueDeadline(now time.Time) time.Time {
	if req.deadline.IsZero() {
		return now.Add(defaultQueueWait)
	}
	return now.Add(req.deadline.Sub(now) / queueTimeDivisor)
}

// defaultQueueWait is the maximum time in a queue for a request without a deadline.
const defaultQueueWait = 5 * time.Second

func (req *proxyRequest) priority() hitchadmit.Priority {
	if req.isBatch {
		return hitchadmit.Batch
	}
	return hitchadmit.Interactive
}
