package hitchingress

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Limits of the questions for slots.
const (
	// maxSlotReturns is how many assigned slots one attempt hands back, as this instance can't use
	// their endpoints.
	maxSlotReturns = 3
	// loggedSlotWait is after how long a wait for a slot is logged.
	loggedSlotWait = 100 * time.Millisecond
	// SharedSlotsTTL is how long the slots of a service are shared after it was short of them.
	SharedSlotsTTL = time.Minute
	// maxRank is the largest rank that is told apart.
	maxRank = 255
)

// SlotBroker asks the owners of the queues of services with few slots for slots, and tells them
// when these are free. Its functions are called from several goroutines. The zero value assigns
// none.
type SlotBroker struct {
	// AssignsSlots reports whether the slots of a service are assigned by the owner of its queue.
	AssignsSlots func(service hitchfleet.ServiceID) bool
	// Acquire waits for the decision about a request. The broker sets the request's key and zone.
	Acquire func(ctx context.Context, service hitchfleet.ServiceID, r hitchdispatch.Request) SlotAnswer
	// TakeOwn takes a slot without an owner, as none responds. It returns false if this instance
	// uses its equal share of the slots.
	TakeOwn func(service hitchfleet.ServiceID, run hitchfleet.RunID) (Slot, bool)
	// Release tells that a slot is free. It is called once for each slot.
	Release func(slot Slot, result hitchdispatch.Result)
	// Withdraw hands back a slot that wasn't used.
	Withdraw func(slot Slot)
}

// Slot is the right to send one attempt to an endpoint of a service. The zero value is none.
type Slot struct {
	Service hitchfleet.ServiceID
	ID      hitchdispatch.RequestID
	Run     hitchfleet.RunID
	// Owner is the instance that assigned the slot; empty if none did.
	Owner hitchfleet.InstanceID
}

// SlotAnswer is the answer to a question for a slot.
type SlotAnswer struct {
	// Kind is Assigned or Rejected, and zero if no owner responded or the request ended.
	Kind     hitchdispatch.DecisionKind
	Slot     Slot
	Reason   hitchdispatch.Reason
	ReturnAt time.Time
	// Owner is the instance that decided.
	Owner hitchfleet.InstanceID
}

// assignsSlots reports whether attempts of a request need slots.
func (g *Gateway) assignsSlots(req *proxyRequest) bool {
	return g.Slots.AssignsSlots != nil && !g.IgnoreQuotas && g.Slots.AssignsSlots(req.service)
}

// observeShortage records that an endpoint had no slot for a request that it was sent.
//
// Load pattern: many instances send bursts to few slots. Each learns of a full endpoint by its
// refusal, and the next one does too. From then on the owner of the service's queue decides.
func (g *Gateway) observeShortage(req *proxyRequest, a *attempt) {
	if g.Slots.AssignsSlots == nil || a.head.IsOtherEndpoint || a.head.IsLeaving || !a.head.PausedUntil.IsZero() || a.pick.Relay != "" {
		return
	}
	g.Balancer.ShareSlots(req.service, time.Now().Add(SharedSlotsTTL))
}

// slotStep is what follows a question for a slot.
type slotStep int

const (
	// slotPicked means that the attempt has an endpoint and a slot.
	slotPicked slotStep = iota
	// slotUnanswered means that this instance picks by itself, as no owner responds.
	slotUnanswered
	// slotRetry means that the endpoints are to be looked at again.
	slotRetry
	// slotEnded means that the request has its final response, or gets no standby.
	slotEnded
)

// slotRequest returns the question for a slot, without the runs that aren't to be assigned.
func (req *proxyRequest) slotRequest() hitchdispatch.Request {
	objectiveAt := req.effectiveDeadline
	if ms := req.route.ObjectiveMilliseconds; ms > 0 {
		objectiveAt = req.receivedAt.Add(time.Duration(ms) * time.Millisecond)
	}
	return hitchdispatch.Request{
		Organisation: req.organisation, Call: hitchfleet.KeyOf(req.ID), Rank: uint8(min(max(req.rank, 0), maxRank)),
		ObjectiveAt: objectiveAt, DeadlineAt: req.effectiveDeadline, MayRepeat: req.retryState.IsRetrySafe,
	}
}

// pickBySlot asks for a slot and picks its endpoint.
func (g *Gateway) pickBySlot(ctx context.Context, req *proxyRequest) (hitchbalance.Pick, Slot, slotStep) {
	request := g.pickRequest(req)
	question := req.slotRequest()
	askedAt := time.Now()
	for range maxSlotReturns {
		unusable, returnAt, refusal := g.Balancer.UnusableRuns(time.Now(), request)
		if refusal != hitchbalance.NotRefused {
			return hitchbalance.Pick{}, Slot{}, g.awaitRoomOrFinish(ctx, req, refusal, returnAt)
		}
		question.Tried = append(unusable, req.unusedRuns...)
		answer := g.Slots.Acquire(ctx, req.service, question)
		g.recordSlotAnswer(ctx, req, answer, askedAt)
		switch answer.Kind {
		case hitchdispatch.Assigned:
			if pick, ok := g.useSlot(ctx, req, request, answer.Slot); ok {
				return pick, answer.Slot, slotPicked
			}
		case hitchdispatch.Rejected:
			g.finishRejected(req, answer)
			return hitchbalance.Pick{}, Slot{}, slotEnded
		default:
			if ctx.Err() == nil {
				return hitchbalance.Pick{}, Slot{}, slotUnanswered
			}
		}
		if ctx.Err() != nil {
			g.finishFailed(ctx, req, attemptResult{}, 0)
			return hitchbalance.Pick{}, Slot{}, slotEnded
		}
	}
	g.finishWithoutEndpoint(req, hitchbalance.AllTried, time.Time{})
	return hitchbalance.Pick{}, Slot{}, slotEnded
}

// useSlot picks the endpoint of an assigned slot. It hands the slot back and returns false if this
// instance can't use the endpoint.
func (g *Gateway) useSlot(ctx context.Context, req *proxyRequest, request hitchbalance.Request, slot Slot) (hitchbalance.Pick, bool) {
	if ctx.Err() == nil {
		pick, ok := g.Balancer.PickEndpoint(time.Now(), request, slot.Run)
		if ok && g.permit(ctx, req, pick).IsGranted {
			return pick, true
		}
		g.Log.Info("assigned endpoint can't be used", "ID", req.ID, "Endpoint", g.Balancer.EndpointOfRun(req.service, slot.Run), "Owner", slot.Owner, "IsPicked", ok)
	}
	req.unusedRuns = append(req.unusedRuns, slot.Run)
	g.Metrics.countSlot("HandedBack")
	g.Slots.Withdraw(slot)
	return hitchbalance.Pick{}, false
}

// recordSlotAnswer counts the answer to a question for a slot, and logs it if the request waited
// for long or gets none.
func (g *Gateway) recordSlotAnswer(ctx context.Context, req *proxyRequest, answer SlotAnswer, askedAt time.Time) {
	now := time.Now()
	waited := now.Sub(askedAt)
	label := "Unanswered"
	switch {
	case answer.Kind == hitchdispatch.Assigned:
		label = "Assigned"
	case answer.Kind == hitchdispatch.Rejected:
		label = "Rejected" + answer.Reason.String()
	case ctx.Err() != nil:
		label = "Withdrawn"
	}
	g.Metrics.countSlot(label)
	g.Metrics.recordSlotWait(waited)
	if answer.Kind == hitchdispatch.Assigned && waited < loggedSlotWait {
		return
	}
	g.Log.Info("waited for a slot", "ID", req.ID, "Route", req.route.Name, "Service", req.service, "Organisation", req.organisation, "Rank", req.rank,
		"Answer", label, "Waited", waited, "Owner", answer.Owner, "Endpoint", g.Balancer.EndpointOfRun(req.service, answer.Slot.Run),
		"Age", now.Sub(req.receivedAt), "TimeLeft", req.effectiveDeadline.Sub(now), "ReturnIn", max(answer.ReturnAt.Sub(now), 0))
}

// finishRejected ends a request that gets no slot within its time.
func (g *Gateway) finishRejected(req *proxyRequest, answer SlotAnswer) {
	if req.stream.headerSent {
		req.abortStream("no slot to resume the stream: " + answer.Reason.String())
		return
	}
	g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonOverloaded, answer.ReturnAt, "no slot: %s", answer.Reason))
}

// takeOwnSlot takes a slot for an endpoint that this instance has picked by itself. If its share
// is in use, it gives the pick back and returns false.
func (g *Gateway) takeOwnSlot(req *proxyRequest, pick hitchbalance.Pick) (Slot, bool) {
	slot, ok := g.Slots.TakeOwn(req.service, pick.Endpoint.Run())
	if ok {
		g.Metrics.countSlot("Own")
		return slot, true
	}
	g.Balancer.Finish(time.Now(), pick, hitchbalance.ResultAbandoned)
	req.lacksRoom = true
	return Slot{}, false
}

// releaseSlot tells the owner of the slot of an attempt, if it has one, that it is free.
func (g *Gateway) releaseSlot(req *proxyRequest, a *attempt, result hitchbalance.Result) {
	if a.slot == (Slot{}) {
		return
	}
	slot, now := a.slot, time.Now()
	a.slot = Slot{}
	out := hitchdispatch.Result{Run: slot.Run, Outcome: req.slotOutcome(a, result, now)}
	if out.Outcome == hitchdispatch.OutcomeOK || out.Outcome == hitchdispatch.OutcomeFailed {
		out.Elapsed = now.Sub(a.sentAt)
	}
	if a.head.HasLoad && !a.head.IsOtherEndpoint {
		out.Load = SlotLoad(a.head.Load)
	}
	g.Metrics.countSlotResult(slotResultKey{endpoint: a.pick.Endpoint.ID, outcome: out.Outcome})
	g.Slots.Release(slot, out)
}

// SlotLoad returns a load as it is sent to owners.
func SlotLoad(l hitchbalance.Load) hitchdispatch.Load {
	return hitchdispatch.Load{Running: count16(l.Running), Waiting: count16(l.Waiting), Slots: count16(l.Slots), TimePercent: count16(l.TimePercent)}
}

// count16 returns a figure of a load as it is sent.
func count16(n int) uint16 { return uint16(min(max(n, 0), 1<<16-1)) }

// slotOutcome returns how an attempt ended for the owner of its slot.
func (req *proxyRequest) slotOutcome(a *attempt, result hitchbalance.Result, now time.Time) hitchdispatch.Outcome {
	switch result {
	case hitchbalance.ResultOK:
		return hitchdispatch.OutcomeOK
	case hitchbalance.ResultFailed:
		return hitchdispatch.OutcomeFailed
	case hitchbalance.ResultRefused:
		return hitchdispatch.OutcomeRefused
	case hitchbalance.ResultConnectionLost:
		return hitchdispatch.OutcomeLost
	case hitchbalance.ResultNoResponse:
		return hitchdispatch.OutcomeTimedOut
	}
	if a.response == nil && !now.Before(req.effectiveDeadline) {
		return hitchdispatch.OutcomeTimedOut
	}
	return hitchdispatch.OutcomeCancelled
}

// startStandbyWithSlot sends the request to another endpoint at which it gets a slot soon. It
// returns nil if it gets none.
func (f *follower) startStandbyWithSlot(now time.Time) *attempt {
	g, req := f.gateway, f.req
	request, question := g.pickRequest(req), req.slotRequest()
	question.Call = 0 // a rejection of the standby says nothing about the caller's return
	unusable, _, refusal := g.Balancer.UnusableRuns(now, request)
	if refusal != hitchbalance.NotRefused {
		return nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, maxStandbyPermitWait)
	defer cancel()
	question.Tried = append(unusable, req.unusedRuns...)
	answer := g.Slots.Acquire(ctx, req.service, question)
	g.recordSlotAnswer(ctx, req, answer, now)
	if answer.Kind != hitchdispatch.Assigned {
		return nil
	}
	pick, ok := g.useSlot(ctx, req, request, answer.Slot)
	if !ok {
		return nil
	}
	if !g.tryRetry(req, retryAtSilence, now) {
		g.Balancer.Finish(now, pick, hitchbalance.ResultAbandoned)
		g.Slots.Withdraw(answer.Slot)
		return nil
	}
	return f.sendStandby(now, pick, answer.Slot)
}
