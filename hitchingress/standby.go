package hitchingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchretry"
)

// maxStandbyPermitWait is how long the permit for a standby is waited for. Meanwhile events
// of the silent endpoint, which may go on, aren't forwarded.
const maxStandbyPermitWait = 40 * time.Millisecond

// handleSilence starts a standby: the current attempt is silent, and so is each standby.
func (f *follower) handleSilence() {
	now := time.Now()
	if !f.isAwaited() || !f.allowsStandby() || !now.Before(f.req.effectiveDeadline) {
		return
	}
	for _, a := range append([]*attempt{f.current}, f.standbys...) {
		f.req.observeWait(a)
		if a.pick.Relay != "" {
			continue
		}
		f.gateway.Path.RecordFailure(now)
		if a.response == nil {
			f.gateway.recordLoss(f.req, a)
		}
	}
	f.timer.Reset(standbyInterval)
	if a := f.startStandby(now); a != nil {
		f.standbys = append(f.standbys, a)
		f.timer.Stop()
		if at, ok := f.req.firstByteDeadline(a); ok {
			f.timer.Reset(time.Until(at))
		}
	}
}

// startStandby sends the request to another endpoint. It returns nil if none may get it. As
// the silent one may go on, a part of the retry budget is left to requests without any.
func (f *follower) startStandby(now time.Time) *attempt {
	req := f.req
	if pick, ok := f.gateway.relayPick(req); ok {
		if !f.gateway.tryRetry(req, retryByRelay, now) { // nothing goes on at the endpoint of a broken path
			return nil
		}
		return f.gateway.startRelay(f.ctx, req, pick, f.openRuns())
	}
	if !req.serviceState.retryBudget.AllowsOptionalRetry(now) {
		return nil
	}
	if !f.gateway.admitsStandby(f.ctx, req) {
		return nil
	}
	f.gateway.chooseGroup(req)
	if f.gateway.assignsSlots(req) {
		return f.startStandbyWithSlot(now)
	}
	request := f.gateway.pickRequest(req)
	request.UnreachableZones = append(request.UnreachableZones, f.current.pick.Endpoint.Zone)
	pick, refusal := f.gateway.Balancer.Pick(now, request)
	if refusal != hitchbalance.NotRefused {
		return nil
	}
	permitCtx, cancel := context.WithTimeout(f.ctx, maxStandbyPermitWait)
	defer cancel()
	if !f.gateway.permit(permitCtx, req, pick).IsGranted {
		return nil
	}
	if !f.gateway.tryRetry(req, retryAtSilence, now) {
		f.gateway.Balancer.Finish(now, pick, hitchbalance.ResultAbandoned)
		return nil
	}
	return f.sendStandby(now, pick, Slot{})
}

// sendStandby sends the request to the picked endpoint.
func (f *follower) sendStandby(now time.Time, pick hitchbalance.Pick, slot Slot) *attempt {
	f.gateway.Log.Info("endpoint is silent", "ID", f.req.ID, "Route", f.req.route.Name, "Endpoint", f.current.pick.Endpoint.ID,
		"SilentFor", now.Sub(f.progressAt), "Events", f.req.stream.eventCount, "Standby", pick.Endpoint.ID)
	return f.gateway.startAttempt(f.ctx, f.req, pick, slot)
}

// handleStandbyMsg handles a message of a standby. It takes over once it has received a whole
// event, or a whole response that isn't streamed: one that has only begun may still fail,
// while the silent endpoint may go on.
func (f *follower) handleStandbyMsg(a *attempt, msg exchangeMsg) (attemptResult, bool) {
	if msg.response != nil {
		f.gateway.observeHead(f.req, a, msg)
	}
	if a.response == nil {
		f.standbyFailed(a, f.gateway.failedAttempt(f.req, a, msg.err))
		return attemptResult{}, false
	}
	err := f.req.checkHead(a)
	switch {
	case err != nil:
		f.standbyFailed(a, attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultFailed, err: err})
	case a.head.Refusal != nil:
		f.standbyFailed(a, f.req.standbyRefusal(a))
	case a.head.DidNotRun && msg.err != nil:
		f.standbyFailed(a, f.req.refusedResult(a, msg.err))
	case a.head.DidNotRun: // the rest of the refusal follows
	case f.gateway.checkVersion(f.req, a.pick) != nil:
		f.standbyFailed(a, attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultAbandoned, err: errOtherVersion})
	case a.response.StatusCode >= http.StatusInternalServerError:
		f.standbyFailed(a, attemptResult{outcome: hitchretry.Failed, balancerResult: hitchbalance.ResultFailed})
	case msg.response == nil:
		return f.handleStandbyData(a, msg)
	}
	return attemptResult{}, false
}

// handleStandbyData handles the body of a standby's response.
func (f *follower) handleStandbyData(a *attempt, msg exchangeMsg) (attemptResult, bool) {
	a.begun, a.isWhole = append(a.begun, msg.data...), errors.Is(msg.err, io.EOF)
	isUsable, err := a.isWhole, msg.err
	if a.isWhole {
		err = nil
	}
	if err == nil && f.req.isStreaming(a) {
		isUsable, err = f.req.checkBegunStream(a)
	}
	switch {
	case err != nil:
		f.standbyFailed(a, f.gateway.failedAttempt(f.req, a, err))
	case isUsable:
		return f.leaveSilent(a), true
	}
	return attemptResult{}, false
}

// checkBegunStream reports whether a standby has received events that follow those that the
// caller has, or the end of the stream. It returns an error if it has received anything else.
func (req *proxyRequest) checkBegunStream(a *attempt) (ok bool, err error) {
	_, count, err := scanEvents(a.begun, req.stream.lastEventID)
	switch {
	case err != nil || count > 0:
		return err == nil, err
	case a.isWhole && req.isBrokenOff(a, a.begun):
		return false, io.ErrUnexpectedEOF
	case len(a.begun) > maxEventBytes:
		return false, errEventTooLong
	default:
		return a.isWhole, nil
	}
}

// leaveSilent ends the current attempt, which a standby replaces.
func (f *follower) leaveSilent(next *attempt) attemptResult {
	now := time.Now()
	f.gateway.Log.Info("standby takes over", "ID", f.req.ID, "Route", f.req.route.Name, "Endpoint", f.current.pick.Endpoint.ID, "Standby", next.pick.Endpoint.ID,
		"SilentFor", now.Sub(f.progressAt), "SentBefore", now.Sub(next.sentAt), "BegunBefore", age(now, next.headAt))
	go f.gateway.logLeft(f.req.ID, f.current, now)
	f.req.observeWait(f.current)
	f.req.unreachableZones = append(f.req.unreachableZones, f.current.pick.Endpoint.Zone)
	f.gateway.Conns.CloseIdle(f.current.pick.Endpoint.Addr)
	f.removeStandby(next)
	f.dropStandbys()
	f.standbys = []*attempt{next}
	return attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultNoResponse, err: errSilent}
}

// standbyFailed ends a standby. Another one is started at once if the request allows that.
func (f *follower) standbyFailed(a *attempt, result attemptResult) {
	req := f.req
	f.removeStandby(a)
	f.gateway.finishAttempt(req, a, result.balancerResult)
	if result.outcome == hitchretry.Unsent {
		req.serviceState.retryBudget.GiveBack(time.Now())
	}
	var decision hitchretry.Decision
	req.retryState, decision = req.retryState.AfterAttempts(time.Now(), result.outcome, a.runs())
	f.gateway.logFailedAttempt(req, a, result, decision)
	f.timer.Stop()
	if decision == hitchretry.Retry {
		f.timer.Reset(0)
	}
}

// logLeft logs when the connection to an endpoint was closed that another one replaced at a time. The endpoint may
// work on until it has noticed that.
func (g *Gateway) logLeft(id string, a *attempt, replacedAt time.Time) {
	<-a.exchange.closed
	g.Log.Info("silent endpoint left", "ID", id, "Endpoint", a.pick.Endpoint.ID, "Relay", a.pick.Relay, "ClosedAfter", time.Since(replacedAt))
}

func (f *follower) removeStandby(a *attempt) {
	f.standbys = slices.DeleteFunc(f.standbys, func(b *attempt) bool { return a == b })
}

// dropStandbys ends the standbys. Each may have run.
func (f *follower) dropStandbys() {
	for _, a := range f.standbys {
		f.gateway.finishAttempt(f.req, a, hitchbalance.ResultAbandoned)
		f.req.retryState, _ = f.req.retryState.AfterAttempts(time.Now(), hitchretry.Lost, a.runs())
	}
	f.standbys = nil
}
