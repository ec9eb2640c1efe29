package hitchingress

import (
	"context"
	"io"
	"slices"
	"time"
)

// minCutSilence is after how long a silence counts once the instance is cut off from endpoints.
const minCutSilence = 250 * time.Millisecond

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
	// doubt fires when the response to the attempt is late enough to doubt the path.
	doubt *time.Timer
	// progressAt is when the attempt was sent, or the last event arrived.
	progressAt time.Time
	// cutOff is closed once this instance is found to be cut off from endpoints.
	cutOff <-chan struct{}
}

// follow forwards the response of an attempt to the caller, unless another attempt may
// get a better one.
func (g *Gateway) follow(ctx context.Context, req *proxyRequest, a *attempt, standbys []*attempt) (result attemptResult) {
	f := &follower{gateway: g, ctx: ctx, req: req, current: a, standbys: standbys, timer: time.NewTimer(time.Hour), progressAt: a.sentAt, cutOff: g.Path.AwaitCutOff()}
	f.doubt = time.NewTimer(time.Until(req.doubtAt(a)))
	defer f.timer.Stop()
	defer f.doubt.Stop()
	req.logEntry.lastPick = a.pick
	defer func() {
		if result.isFinal {
			f.dropStandbys()
		}
		result.next = f.standbys
		g.finishAttempt(req, a, result.balancerResult)
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
	case <-f.cutOff:
		f.cutOff = nil
		f.handleCutOff()
	case <-f.timer.C:
		f.handleSilence()
	case <-f.doubt.C:
		f.handleDoubt()
	}
	return attemptResult{}, false
}

// handleCutOff looks for an instance that sends the request on, if the endpoint of the current
// attempt is silent. A connection that was open before may go on.
func (f *follower) handleCutOff() {
	if f.current.pick.Relay == "" && f.allowsStandby() {
		f.timer.Reset(max(minCutSilence-time.Since(f.progressAt), 0))
	}
}

// handleDoubt has the path checked if the endpoint of the attempt hasn't responded, and no other one
// has since the attempt was sent. Requests that have no standby show a silent path only so.
func (f *follower) handleDoubt() {
	a := f.current
	if a.response == nil && a.pick.Relay == "" && !f.gateway.Path.HasContactSince(a.sentAt) {
		f.gateway.Path.RecordFailure(time.Now())
	}
}

// handleMsg handles a message of the current attempt.
func (f *follower) handleMsg(msg exchangeMsg) (attemptResult, bool) {
	a := f.current
	switch {
	case msg.response != nil:
		f.gateway.observeHead(f.req, a, msg)
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
