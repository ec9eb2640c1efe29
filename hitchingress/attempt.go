package hitchingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchrollout"
	"citronhitch.example/citronhitch/hitchroute"
)

// Errors that make a response unusable.
var (
	errWrongRequest   = errors.New("response belongs to another request")
	errMissingDigest  = errors.New("successful response has no digest from the endpoint")
	errContentEncoded = errors.New("response body has a content encoding, which endpoints never apply")
	// errUnprovenPromise is returned for a status that tells callers that a request hasn't run, from an
	// endpoint that doesn't say so.
	errUnprovenPromise = errors.New("the status promises that the request hasn't run, but the endpoint doesn't")
	errNoStream        = errors.New("response to a resumption isn't a stream")
)

// attempt is one dispatch of a request to an endpoint. Its state changes only in the
// goroutine that serves the request.
type attempt struct {
	pick hitchbalance.Pick
	// maxRuns is how many endpoints may run the request for the attempt: more than one if another
	// instance makes it.
	maxRuns int
	// slot is that at the endpoint, until it is released; zero if it needs none.
	slot     Slot
	sentAt   time.Time
	exchange *endpointExchange
	// response and head are set once the header of the response has arrived, at headAt on a
	// connection that is kept if it has carried other requests before.
	response *http.Response
	head     ResponseHead
	headAt   time.Time
	isKept   bool
	// begun is what a standby has received of a stream, or its whole other response, and
	// isWhole is set once that is all of it.
	begun   []byte
	isWhole bool
	// hasData is set once a byte of a stream's body has arrived.
	hasData bool
	// isWaitObserved is set once the wait for the first byte was recorded.
	isWaitObserved bool
	// hasAnswered is set once a whole event, or a whole other response, has arrived, and
	// wasCut once the connection broke before the response was complete.
	hasAnswered, wasCut bool
	// flight counts the attempt for the rollout of its service; nil if there is none.
	// eventsBefore is the number of events that the caller had before it.
	flight       *hitchrollout.Flight
	eventsBefore int
	// didNotRun is set once it is known that the endpoint didn't run the request.
	didNotRun bool
}

// attemptResult describes how one attempt ended.
type attemptResult struct {
	// isFinal is set if no other attempt may follow: the caller has received its final
	// response, or has disconnected.
	isFinal        bool
	outcome        hitchretry.Outcome
	balancerResult hitchbalance.Result
	// response is the endpoint's error response, or nil if it sent none.
	response *unaryResponse
	err      error
	// next are the standbys of the attempt. The first one takes its place.
	next []*attempt
}

// startAttempt sends the request to the picked endpoint, where it has a slot if it needs one.
func (g *Gateway) startAttempt(ctx context.Context, req *proxyRequest, pick hitchbalance.Pick, slot Slot) *attempt {
	req.triedEndpoints = append(req.triedEndpoints, pick.Endpoint.ID)
	req.logEntry.attempts++
	if req.stream.headerSent {
		g.Metrics.countResumption(req.origin.source.String())
	}
	a := &attempt{pick: pick, maxRuns: 1, slot: slot, sentAt: time.Now()}
	req.beginSample(a)
	if expected, ok := req.serviceState.firstByteLatency.OverdueAfter(pick.UncachedTokens); ok {
		g.Balancer.ExpectResponseBy(pick, a.sentAt.Add(expected))
	}
	a.exchange = startExchange(ctx, exchangeParams{
		id: req.ID, pool: g.Conns, addr: pick.Endpoint.Addr, request: g.endpointMessage(req, pick), deadline: req.effectiveDeadline,
		tracker: &req.dispatchTracker, decode: g.Protocol.DecodeResponse, isStream: req.isStream,
		awaitsOwn: !req.retryState.IsRetrySafe, // another attempt may follow at once otherwise
	}, req.messages)
	return a
}

// runs returns how many endpoints may have run the request for the attempt. An instance that has sent
// it on says so once it has a response that is whole.
func (a *attempt) runs() int {
	if a.response != nil && a.head.Runs > 0 && a.response.StatusCode >= http.StatusInternalServerError {
		return min(a.head.Runs, a.maxRuns)
	}
	return a.maxRuns
}

// finishAttempt ends an attempt. Its connection is closed unless the response was read
// to its end.
func (g *Gateway) finishAttempt(req *proxyRequest, a *attempt, result hitchbalance.Result) {
	a.exchange.end()
	g.releaseSlot(req, a, result)
	g.endSample(req, a, result)
	g.Balancer.Finish(time.Now(), a.pick, result)
	g.logHealthChanges()
	g.release(a, result)
	g.observePath(a, result)
	if a.pick.Relay == "" {
		g.observeLoss(req, a)
	}
}

// endpointMessage builds the request that is sent to an endpoint.
func (g *Gateway) endpointMessage(req *proxyRequest, pick hitchbalance.Pick) hitchforward.Request {
	h := req.Header.Clone()
	g.Protocol.EncodeRoutingInfo(h, RoutingInfo{
		Endpoint:        pick.Endpoint.ID,
		Organisation:    req.organisation,
		RemainingTime:   req.remainingTime(time.Now()),
		LastEventID:     req.stream.lastEventID,
		CacheSourceAddr: pick.CacheSource.Addr,
	})
	return req.messageWith(h)
}

// messageWith returns the request as the caller sent it, with another header.
func (req *proxyRequest) messageWith(h http.Header) hitchforward.Request {
	return hitchforward.Request{
		Method: req.original.Method, Target: req.original.RequestURI, Host: req.original.Host, Header: h, Body: req.body,
		ID: req.ID, NeedsNewConn: req.ID == "",
	}
}

// observeHead stores the header of an attempt's response, and records what it says of
// the endpoint.
func (g *Gateway) observeHead(req *proxyRequest, a *attempt, msg exchangeMsg) {
	now := time.Now()
	a.response, a.head, a.headAt, a.isKept = msg.response, msg.head, now, msg.isKept
	if msg.skipped > 0 {
		g.Log.Info("responses to other requests skipped", "ID", req.ID, "Endpoint", a.pick.Endpoint.ID, "Relay", a.pick.Relay, "Responses", msg.skipped)
	}
	if msg.isRepeat {
		g.Metrics.countRepeatedID()
		g.Log.Info("request ID was sent before", "ID", req.ID, "Endpoint", a.pick.Endpoint.ID, "Relay", a.pick.Relay, "Status", msg.response.StatusCode, "NotRun", a.head.DidNotRun)
	}
	if a.head.DidNotRun {
		g.Metrics.countNotRunResponse(notRunKey{id: identify(a.head.RequestID, req.ID), isKept: a.isKept})
	}
	if a.pick.Relay != "" {
		return // the other instance has observed it
	}
	g.Path.RecordContact(now, msg.openedAt)
	g.Balancer.ObserveFirstByte(now, a.pick)
	if a.head.HasLoad {
		g.Balancer.ObserveLoad(now, a.pick.Endpoint.ID, a.head.Load)
	}
	g.observeNotice(a.pick, a.head)
	g.observeQuota(a.pick, a.head)
}

// checkResponseHead returns an error if the response belongs to another request
// or wasn't produced by the endpoint itself. Bytes that belong to no request may arrive on any
// connection, so that also a refusal counts only if it has the request's ID.
func checkResponseHead(id string, status int, head ResponseHead) error {
	switch {
	case head.RequestID != id:
		return fmt.Errorf("%w: %q", errWrongRequest, head.RequestID)
	case head.HasContentEncoding:
		return errContentEncoded
	case status < http.StatusBadRequest && !head.HasDigest && !head.DidNotRun:
		return errMissingDigest
	default:
		return nil
	}
}

// checkHead returns an error if the response to an attempt is unusable.
func (req *proxyRequest) checkHead(a *attempt) error {
	status := a.response.StatusCode
	if err := checkResponseHead(req.ID, status, a.head); err != nil {
		return err
	}
	switch didRun := !a.head.DidNotRun && a.head.Refusal == nil; {
	case didRun && req.stream.headerSent && !req.isStreaming(a):
		return fmt.Errorf("%w: status %d", errNoStream, status)
	case didRun && promisesNotRun(status) && !req.retryState.IsRetrySafe:
		return fmt.Errorf("%w: status %d", errUnprovenPromise, status)
	default:
		return nil
	}
}

// isStream reports whether a response is forwarded event by event.
func (req *proxyRequest) isStream(status int, head ResponseHead) bool {
	return req.route.Kind == hitchroute.Streaming && status == http.StatusOK && !head.DidNotRun
}

// isStreaming reports whether the response to an attempt is a stream.
func (req *proxyRequest) isStreaming(a *attempt) bool {
	return req.isStream(a.response.StatusCode, a.head)
}

// handleHead handles the header of an attempt's response. It returns true and a result
// if the attempt has ended.
func (g *Gateway) handleHead(req *proxyRequest, a *attempt) (attemptResult, bool) {
	if err := req.checkHead(a); err != nil {
		return attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultFailed, err: err}, true
	}
	if a.head.Refusal != nil {
		return g.handleRelayRefusal(req, a), true
	}
	if err := g.checkVersion(req, a.pick); err != nil && !a.head.DidNotRun {
		return attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultAbandoned, err: err}, true
	}
	if req.isStreaming(a) {
		req.stream.buffered, req.stream.bytesSinceEvent = req.stream.buffered[:0], 0
	} else if !a.head.DidNotRun {
		req.observeWait(a)
	}
	return attemptResult{}, false
}

// handleData handles the body of an attempt's response: bytes of a stream, or all of any
// other. It returns true and a result if the attempt has ended.
func (g *Gateway) handleData(req *proxyRequest, a *attempt, data []byte, err error) (attemptResult, bool) {
	isEnd := errors.Is(err, io.EOF)
	switch {
	case a.head.DidNotRun:
		g.observeShortage(req, a)
		return req.refusedResult(a, err), true
	case req.isStreaming(a):
		return g.handleStreamData(req, a, data, err)
	case !isEnd:
		return g.failedAttempt(req, a, err), true
	default:
		return g.finishUnary(req, a, data), true
	}
}

// observeFirstData records that the first bytes of a stream's body have arrived.
func (g *Gateway) observeFirstData(req *proxyRequest, a *attempt) {
	if a.hasData {
		return
	}
	a.hasData = true
	req.observeWait(a)
	g.Balancer.ObservePrefill(time.Now(), a.pick)
}

// observeWait records how long an attempt waited for its first byte, or until it was
// late.
func (req *proxyRequest) observeWait(a *attempt) {
	if a.isWaitObserved {
		return
	}
	a.isWaitObserved = true
	req.serviceState.firstByteLatency.Observe(time.Since(a.sentAt), a.pick.UncachedTokens)
}

// failedAttempt classifies an attempt without a complete response.
func (g *Gateway) failedAttempt(req *proxyRequest, a *attempt, err error) attemptResult {
	result := attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultConnectionLost, err: err}
	var failure *hitchforward.Failure
	if !errors.As(err, &failure) {
		return result
	}
	failure.Attempt, failure.Endpoint = req.ID, a.pick.Endpoint.ID
	if failure.IsUnresponsive() && a.pick.Relay == "" {
		result.balancerResult = hitchbalance.ResultNoResponse
		req.unreachableZones = append(req.unreachableZones, a.pick.Endpoint.Zone)
	}
	switch failure.Kind {
	case hitchforward.FailureUnsent:
		a.didNotRun = true
		result.outcome = hitchretry.Unsent
		if errors.Is(err, context.Canceled) {
			result.balancerResult = hitchbalance.ResultAbandoned
		}
	case hitchforward.FailureCallerGone, hitchforward.FailureTimeout:
		result.balancerResult = hitchbalance.ResultAbandoned
	case hitchforward.FailureCut:
		if req.wasStalled(time.Now()) { // the endpoint didn't wait for the caller any longer
			result.balancerResult = hitchbalance.ResultAbandoned
			break
		}
		a.wasCut = true
	case hitchforward.FailureSilent:
		g.Conns.CloseIdle(a.pick.Endpoint.Addr)
	}
	if !time.Now().Before(req.effectiveDeadline) {
		result.balancerResult = hitchbalance.ResultAbandoned
	}
	return result
}

// refusedResult returns the result of an attempt whose endpoint guarantees that it didn't
// run the request.
func (req *proxyRequest) refusedResult(a *attempt, err error) attemptResult {
	result := attemptResult{outcome: hitchretry.Refused, balancerResult: hitchbalance.ResultRefused}
	if !errors.Is(err, io.EOF) {
		result.err = err
	}
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		// The address now belongs to another endpoint.
		result.balancerResult = hitchbalance.ResultConnectionLost
	}
	a.didNotRun = true
	req.dispatchTracker.MarkUnsent()
	var failure *hitchforward.Failure
	if errors.As(err, &failure) && failure.Kind == hitchforward.FailureTooLarge {
		result.balancerResult = hitchbalance.ResultConnectionLost
	}
	return result
}

// finishUnary writes a complete response that isn't streamed to the caller. A server
// error is returned instead, as another attempt may succeed.
func (g *Gateway) finishUnary(req *proxyRequest, a *attempt, body []byte) attemptResult {
	response := &unaryResponse{status: a.response.StatusCode, header: a.response.Header, body: body}
	if response.status >= http.StatusInternalServerError {
		return attemptResult{outcome: hitchretry.Failed, balancerResult: hitchbalance.ResultFailed, response: response}
	}
	req.dispatchTracker.MarkAnswered()
	g.observeAnswer(req, a)
	g.Balancer.ObservePrefill(time.Now(), a.pick)
	g.releaseSlot(req, a, hitchbalance.ResultOK) // before the caller has read the response
	g.writeResponse(req, response)
	return attemptResult{isFinal: true, balancerResult: hitchbalance.ResultOK}
}

// observeNotice records that the endpoint leaves or asks for a pause. A response of
// another endpoint at the same address says nothing about this one.
func (g *Gateway) observeNotice(pick hitchbalance.Pick, head ResponseHead) {
	if head.IsOtherEndpoint {
		return
	}
	now := time.Now()
	notice := hitchbalance.Notice{IsLeaving: head.IsLeaving, PausedUntil: head.PausedUntil}
	if g.Balancer.ObserveNotice(now, pick, notice) {
		g.Log.Info("endpoint gave notice", "Endpoint", pick.Endpoint.ID, "Zone", pick.Endpoint.Zone, "IsLeaving", notice.IsLeaving, "PauseFor", max(head.PausedUntil.Sub(now), 0))
	}
}
