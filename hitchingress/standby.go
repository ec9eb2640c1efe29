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

// Times of a silent attempt.
const (
	// eventTimeoutFactor is the time between two events after which a stream counts as
	// silent, as a multiple of the route's objective for this gap.
	eventTimeoutFactor = 3
	// minEventTimeout is the lower limit of that time.
	minEventTimeout = time.Second
	// standbyInterval is how often another endpoint is looked for while an attempt stays
	// silent and there is none.
	standbyInterval = 250 * time.Millisecond
)

// follower follows an attempt to its end.
//
// Load pattern: an endpoint that is silent for a second and goes on, such as in a garbage
// collection or while its memory is short. It keeps its request until another endpoint has
// accepted it: nothing is given up for a response that may not come.
type follower struct {
	gateway *Gateway
	ctx     context.Context
	req     *proxyRequest
	current *attempt
	// standbys are the attempts of which the first that is accepted takes over if the
	// current one stays silent.
	standbys []*attempt
	// timer fires when the current attempt is silent, and later when the last standby is.
	timer *time.Timer
	// progressAt is when the attempt was sent, or the last event arrived.
	progressAt time.Time
}

// follow forwards the response of an attempt to the caller, unless another attempt may
// get a better one.
func (g *Gateway) follow(ctx context.Context, req *proxyRequest, a *attempt, standbys []*attempt) (result attemptResult) {
	f := &follower{gateway: g, ctx: ctx, req: req, current: a, standbys: standbys, timer: time.NewTimer(time.Hour), progressAt: a.sentAt}
	defer f.timer.Stop()
	req.logEntry.lastPick = a.pick
	defer func() {
		if result.isFinal {
			f.dropStandbys()
		}
		result.next = f.standbys
		g.finishAttempt(a, result.balancerResult)
	}()
	f.resetTimer()
	if a.response != nil { // it arrived while the attempt was a standby
		if result, ok := f.takeOver(); ok {
			return result
		}
	}
	for {
		if result, ok := f.step(); ok {
			return result
		}
	}
}

// step handles the next message or timeout. It returns true and a result if the current
// attempt has ended.
func (f *follower) step() (attemptResult, bool) {
	select {
	case msg := <-f.req.messages:
		msg.from.isComplete = msg.err != nil
		if msg.from == f.current.exchange {
			return f.handleMsg(msg)
		}
		isSender := func(a *attempt) bool { return a.exchange == msg.from }
		if i := slices.IndexFunc(f.standbys, isSender); i >= 0 {
			return f.handleStandbyMsg(f.standbys[i], msg)
		}
	case <-f.timer.C:
		f.handleSilence()
	}
	return attemptResult{}, false
}

// handleMsg handles a message of the current attempt.
func (f *follower) handleMsg(msg exchangeMsg) (attemptResult, bool) {
	a := f.current
	switch {
	case msg.response != nil:
		f.gateway.observeHead(a, msg)
		return f.gateway.handleHead(f.req, a)
	case a.response == nil:
		return f.gateway.failedAttempt(f.req, a, msg.err), true
	}
	return f.handleData(msg.data, msg.err)
}

// handleData handles the body of the current attempt's response.
func (f *follower) handleData(data []byte, err error) (attemptResult, bool) {
	events := f.req.stream.eventCount
	result, ok := f.gateway.handleData(f.req, f.current, data, err)
	if !ok && f.req.stream.eventCount > events {
		f.noteProgress()
	}
	return result, ok
}

// noteProgress ends the standbys, as an event of the current attempt has arrived.
func (f *follower) noteProgress() {
	now := time.Now()
	if len(f.standbys) > 0 {
		f.gateway.Log.Info("silent endpoint goes on", "ID", f.req.ID, "Route", f.req.route.Name, "Endpoint", f.current.pick.Endpoint.ID,
			"SilentFor", now.Sub(f.progressAt), "Standbys", len(f.standbys))
		f.dropStandbys()
	}
	f.req.retryState = f.req.retryState.AfterProgress()
	f.progressAt = now
	f.resetTimer()
}

// resetTimer sets the timer to when the current attempt is silent, if that is known.
func (f *follower) resetTimer() {
	f.timer.Stop()
	if at, ok := f.silentAt(); ok && f.allowsStandby() {
		f.timer.Reset(time.Until(at))
	}
}

// silentAt returns when the current attempt is silent if nothing arrives until then. It
// returns false if there is no objective for its first byte, or no sample of the wait.
func (f *follower) silentAt() (at time.Time, ok bool) {
	if f.req.stream.headerSent && f.current.hasData {
		return f.progressAt.Add(f.req.eventTimeout()), true
	}
	return f.req.firstByteDeadline(f.current)
}

// eventTimeout returns the time between two events after which a stream is silent.
func (req *proxyRequest) eventTimeout() time.Duration {
	return max(time.Duration(req.route.GapMilliseconds)*time.Millisecond*eventTimeoutFactor, minEventTimeout)
}

// firstByteDeadline returns when an attempt without a first byte is silent. A request that
// may be retried turns to another endpoint before the latency objective is missed. It
// returns false if there is no objective or no sample of the wait.
func (req *proxyRequest) firstByteDeadline(a *attempt) (at time.Time, ok bool) {
	objective := time.Duration(req.route.ObjectiveMilliseconds) * time.Millisecond
	if objective <= 0 {
		return time.Time{}, false
	}
	timeout, ok := req.serviceState.firstByteLatency.Timeout(objective, a.pick.UncachedTokens)
	return a.sentAt.Add(timeout), ok
}

// isAwaited reports whether the current attempt still waits for what another endpoint
// could send: a plain response isn't given up once its header has arrived.
func (f *follower) isAwaited() bool {
	a := f.current
	return a.response == nil || f.req.isStreaming(a)
}

// allowsStandby reports whether one more endpoint may run the request, if each open
// attempt does.
func (f *follower) allowsStandby() bool {
	state := f.req.retryState
	for range f.standbys {
		state, _ = state.AfterAttempt(time.Time{}, hitchretry.Lost)
	}
	return state.AllowsRetry()
}

// handleSilence starts a standby: the current attempt is silent, and so is each standby.
func (f *follower) handleSilence() {
	now := time.Now()
	if !f.isAwaited() || !f.allowsStandby() || !now.Before(f.req.effectiveDeadline) {
		return
	}
	f.req.observeWait(f.current)
	for _, a := range f.standbys {
		f.req.observeWait(a)
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

// startStandby sends the request to another endpoint. It returns nil if none may get it.
func (f *follower) startStandby(now time.Time) *attempt {
	req := f.req
	if !req.serviceState.retryBudget.AllowsRetry(now) {
		return nil
	}
	request := f.gateway.pickRequest(req)
	request.UnreachableZones = append(request.UnreachableZones, f.current.pick.Endpoint.Zone)
	pick, refusal := f.gateway.Balancer.Pick(now, request)
	if refusal != hitchbalance.NotRefused {
		return nil
	}
	if !req.takeRetry(hitchretry.Lost) {
		f.gateway.Balancer.Finish(now, pick, hitchbalance.ResultAbandoned)
		return nil
	}
	f.gateway.Log.Info("endpoint is silent", "ID", req.ID, "Route", req.route.Name, "Endpoint", f.current.pick.Endpoint.ID,
		"SilentFor", now.Sub(f.progressAt), "Events", req.stream.eventCount, "Standby", pick.Endpoint.ID)
	return f.gateway.startAttempt(f.ctx, req, pick)
}

// handleStandbyMsg handles a message of a standby. It takes over once it has brought a whole
// event, or a whole response that isn't streamed: one that has only begun may still fail,
// while the silent endpoint may go on.
func (f *follower) handleStandbyMsg(a *attempt, msg exchangeMsg) (attemptResult, bool) {
	if msg.response != nil {
		f.gateway.observeHead(a, msg)
	}
	if a.response == nil {
		f.standbyFailed(a, f.gateway.failedAttempt(f.req, a, msg.err))
		return attemptResult{}, false
	}
	err := f.req.checkHead(a)
	switch {
	case err != nil:
		f.standbyFailed(a, attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultFailed, err: err})
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

// checkBegunStream reports whether a standby has brought events that follow those that the
// caller has, or the end of the stream. It returns an error if it has brought anything else.
func (req *proxyRequest) checkBegunStream(a *attempt) (ok bool, err error) {
	_, count, err := scanEvents(a.begun, req.stream.lastEventID)
	switch {
	case err != nil || count > 0:
		return err == nil, err
	case a.isWhole && len(a.begun) > 0:
		return false, io.ErrUnexpectedEOF
	case len(a.begun) > maxEventBytes:
		return false, errEventTooLong
	default:
		return a.isWhole, nil
	}
}

// takeOver handles what arrived from the current attempt while it was a standby. It returns
// true and a result if the attempt has ended.
func (f *follower) takeOver() (attemptResult, bool) {
	a := f.current
	result, ok := f.gateway.handleHead(f.req, a)
	switch {
	case ok:
		return result, true
	case a.isWhole:
		return f.handleData(a.begun, io.EOF)
	case len(a.begun) > 0:
		return f.handleData(a.begun, nil)
	default:
		return attemptResult{}, false
	}
}

// leaveSilent ends the current attempt, which a standby replaces.
func (f *follower) leaveSilent(next *attempt) attemptResult {
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
	f.gateway.finishAttempt(a, result.balancerResult)
	var decision hitchretry.Decision
	req.retryState, decision = req.retryState.AfterAttempt(time.Now(), result.outcome)
	f.gateway.logFailedAttempt(req, a.pick, result, decision)
	f.timer.Stop()
	if decision == hitchretry.Retry {
		f.timer.Reset(0)
	}
}

func (f *follower) removeStandby(a *attempt) {
	f.standbys = slices.DeleteFunc(f.standbys, func(b *attempt) bool { return a == b })
}

// dropStandbys ends the standbys. Each may have run.
func (f *follower) dropStandbys() {
	for _, a := range f.standbys {
		f.gateway.finishAttempt(a, hitchbalance.ResultAbandoned)
		f.req.retryState, _ = f.req.retryState.AfterAttempt(time.Now(), hitchretry.Lost)
	}
	f.standbys = nil
}
