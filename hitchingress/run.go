package hitchingress

import (
	"context"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchretry"
)

// Times of a request's attempts.
const (
	// meanRetryAfter is the mean delay after which a refused caller may retry.
	meanRetryAfter = 300 * time.Millisecond
	// maxPrefillWait and prefillWaitDivisor limit how long a request waits for an engine
	// that already prefills its prompt for another request: to maxPrefillWait, and to
	// the request's remaining time divided by prefillWaitDivisor.
	maxPrefillWait     = 2 * time.Second
	prefillWaitDivisor = 3
	// slackDivisor divides the latency objective. The quotient is how much longer a
	// request may queue at an engine that caches its prompt than at another engine.
	slackDivisor = 4
)

// runAttempts makes attempts until the request has its final response.
func (g *Gateway) runAttempts(ctx context.Context, req *proxyRequest) {
	ctx, cancel := context.WithDeadline(ctx, req.effectiveDeadline)
	defer cancel()
	req.serviceState = g.serviceState(req.service)
	if req.relayedBy == "" { // otherwise that instance has counted it
		req.serviceState.retryBudget.RecordFirstAttempt(time.Now())
	}
	req.messages = make(chan exchangeMsg)
	hasPathFailure := false // of the attempt before
	var open []*attempt     // the first one is followed, the others are its standbys
	for {
		if len(open) == 0 {
			g.awaitPath(ctx, req, hasPathFailure)
			first := g.nextAttempt(ctx, req)
			if first == nil {
				return
			}
			open = append(open, first)
		}
		result := g.follow(ctx, req, open[0], open[1:])
		if result.isFinal {
			return
		}
		var decision hitchretry.Decision
		req.retryState, decision = req.retryState.AfterAttempts(time.Now(), result.outcome, open[0].runs())
		if len(result.next) > 0 {
			decision = hitchretry.Retry
		} else if decision == hitchretry.Retry && (ctx.Err() != nil || !g.takeRetry(req, result.outcome)) {
			decision = req.retryState.FinalDecision(result.outcome)
		}
		g.logFailedAttempt(req, open[0], result, decision)
		if decision != hitchretry.Retry {
			g.finishFailed(ctx, req, result, decision)
			return
		}
		hasPathFailure = isPathFailure(open[0], result.balancerResult)
		open = result.next
	}
}

// nextAttempt sends the request to the endpoint that suits it best. It returns nil if
// there is none, and the request has its final response.
func (g *Gateway) nextAttempt(ctx context.Context, req *proxyRequest) *attempt {
	req.isTrial = false
	hasOwnSlot := false // set once no owner has responded
	sent := func() {}
	defer func() { sent() }()
	for permitRequests := 0; ; {
		if pick, ok := g.relayPick(req); ok {
			return g.startRelay(ctx, req, pick, 0)
		}
		if !req.isTrial {
			if refusal := g.admit(ctx, req); refusal != nil {
				g.finishQuarantined(req, *refusal)
				return nil
			}
		}
		g.chooseGroup(req)
		sent()
		sent = req.awaitSend()
		if !hasOwnSlot && g.assignsSlots(req) {
			switch pick, slot, step := g.pickBySlot(ctx, req); step {
			case slotPicked:
				return g.startAttempt(ctx, req, pick, slot)
			case slotEnded:
				return nil
			case slotRetry:
				continue
			}
			hasOwnSlot = true
		}
		pick, slot, step := g.pickByItself(ctx, req, hasOwnSlot)
		switch step {
		case slotEnded:
			return nil
		case slotRetry:
			continue
		}
		permit := g.permit(ctx, req, pick)
		if permit.IsGranted {
			return g.startAttempt(ctx, req, pick, slot)
		}
		if hasOwnSlot {
			g.Slots.Withdraw(slot)
		}
		if permit.IsFull {
			req.lacksRoom = true
			continue
		}
		if permitRequests++; permitRequests == maxPermitRequests {
			g.finishWithoutEndpoint(req, hitchbalance.AllAtQuota, permit.ReturnAt)
			return nil
		}
	}
}

// pickByItself picks an endpoint without an owner of slots, with a slot of this instance's share if one is needed.
func (g *Gateway) pickByItself(ctx context.Context, req *proxyRequest, needsSlot bool) (hitchbalance.Pick, Slot, slotStep) {
	pick, refusal := g.Balancer.Pick(time.Now(), g.pickRequest(req))
	if refusal != hitchbalance.NotRefused {
		return hitchbalance.Pick{}, Slot{}, g.awaitRoomOrFinish(ctx, req, refusal, pick.RetryAt)
	}
	if pick.PendingPrefix != 0 && req.logEntry.prefillWaitFrom.IsZero() {
		g.waitForPrefill(ctx, req, pick)
		return hitchbalance.Pick{}, Slot{}, slotRetry
	}
	if !needsSlot {
		return pick, Slot{}, slotPicked
	}
	slot, ok := g.takeOwnSlot(req, pick)
	if !ok {
		return hitchbalance.Pick{}, Slot{}, g.awaitRoomOrFinish(ctx, req, hitchbalance.AllAtQuota, time.Time{})
	}
	return pick, slot, slotPicked
}

// awaitRoomOrFinish waits until the endpoints are to be looked at again, or ends the request, whose caller may return
// at returnAt.
func (g *Gateway) awaitRoomOrFinish(ctx context.Context, req *proxyRequest, refusal hitchbalance.Refusal, returnAt time.Time) slotStep {
	if g.awaitRoom(ctx, req, refusal) {
		return slotRetry
	}
	g.finishWithoutEndpoint(req, refusal, returnAt)
	return slotEnded
}

// pickRequest returns the properties of the request that decide which endpoint gets its
// next attempt.
func (g *Gateway) pickRequest(req *proxyRequest) hitchbalance.Request {
	return hitchbalance.Request{
		Service: req.service, Prompt: req.Prompt, Zone: g.Self.Zone, Tried: req.triedEndpoints,
		BacklogSlackTokens: req.slackTokens(),
		IsRetrySafe:        req.retryState.IsRetrySafe, UnreachableZones: slices.Clone(req.unreachableZones),
		Version: g.versionConstraint(req), NeedsPermit: g.needsPermit, Group: req.allowedEndpoints(),
	}
}

// slackTokens returns the number of tokens that an engine prefills in the extra time
// that a request may queue at an engine that caches its prompt.
func (req *proxyRequest) slackTokens() int {
	return req.serviceState.firstByteLatency.PrefillTokens(time.Duration(req.route.ObjectiveMilliseconds) * time.Millisecond / slackDivisor)
}

// waitForPrefill delays a request while the picked engine prefills the same prompt
// for another request, so that the prompt isn't prefilled twice. It returns when
// that prefill has completed or failed, or when the wait limit is reached.
func (g *Gateway) waitForPrefill(ctx context.Context, req *proxyRequest, pick hitchbalance.Pick) {
	now := time.Now()
	req.logEntry.prefillWaitFrom = now
	ctx, cancel := context.WithDeadline(ctx, now.Add(min(maxPrefillWait, req.effectiveDeadline.Sub(now)/prefillWaitDivisor)))
	defer cancel()
	for ctx.Err() == nil {
		changed, isPending := g.Balancer.AwaitPrefill(time.Now(), pick)
		if !isPending {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	req.logEntry.prefillWaitUntil = time.Now()
	g.Balancer.Finish(req.logEntry.prefillWaitUntil, pick, hitchbalance.ResultAbandoned)
}

// finishWithoutEndpoint ends a request for which no endpoint is left to try. Its caller
// may return once one wants requests again, at returnAt, unless that is the zero time.
func (g *Gateway) finishWithoutEndpoint(req *proxyRequest, refusal hitchbalance.Refusal, returnAt time.Time) {
	if refusal == hitchbalance.OtherVersions {
		g.countNoResumption(req)
	}
	if req.stream.headerSent {
		req.abortStream("no endpoint to resume the stream: " + refusal.String())
		return
	}
	if refusal == hitchbalance.OtherVersions {
		g.refuseOtherVersions(req)
		return
	}
	g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonNoEndpoint, jitteredRetryTime(later(time.Now(), returnAt), meanRetryAfter), "%s", refusal))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// finishFailed ends a request after its last attempt has failed.
func (g *Gateway) finishFailed(ctx context.Context, req *proxyRequest, result attemptResult, decision hitchretry.Decision) {
	switch {
	case req.stream.headerSent:
		req.abortStream("stream ended before it was complete")
	case decision == hitchretry.PassOn:
		g.writeResponse(req, result.response)
	case isEnded(ctx):
		g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonLeaving, time.Now(), "%v", errEnded))
	case ctx.Err() != nil || !time.Now().Before(req.effectiveDeadline):
		g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonTimeout, jitteredRetryTime(time.Now(), meanRetryAfter), "the request's time is over"))
	default:
		g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonEndpointLost, jitteredRetryTime(time.Now(), meanRetryAfter), "no endpoint gave a whole answer"))
	}
}
