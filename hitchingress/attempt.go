package hitchingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchroute"
)

// Errors that make a response unusable.
var (
	errWrongRequest   = errors.New("response belongs to another request")
	errMissingDigest  = errors.New("successful response has no digest from the endpoint")
	errContentEncoded = errors.New("response body has a content encoding, which endpoints never apply")
)

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
}

// attempt sends the request to the picked endpoint and forwards the response to the
// caller, unless another attempt may get a better one.
func (g *Gateway) attempt(ctx context.Context, req *proxyRequest, pick hitchbalance.Pick) (result attemptResult) {
	defer func() {
		g.Balancer.Finish(time.Now(), pick, result.balancerResult)
		g.logHealthChanges()
	}()
	req.logEntry.addAttempt(pick)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentAt := time.Now()
	if expected, ok := req.serviceState.firstByteLatency.OverdueAfter(pick.UncachedTokens); ok {
		g.Balancer.ExpectResponseBy(pick, sentAt.Add(expected))
	}
	exchange, err := g.Conns.Open(ctx, pick.Endpoint.Addr, g.endpointMessage(req, pick), req.firstByteDeadline(sentAt), &req.dispatchTracker)
	if err != nil {
		if isInactivityTimeout(err) {
			req.observeWait(sentAt)
		}
		return g.failedAttempt(req, pick, err)
	}
	defer exchange.Close()
	g.Balancer.ObserveFirstByte(time.Now(), pick)
	head := g.Protocol.DecodeResponse(exchange.Response.StatusCode, exchange.Response.Header, time.Now())
	if head.HasLoad {
		g.Balancer.ObserveLoad(time.Now(), pick.Endpoint.ID, head.Load)
	}
	g.observeNotice(pick, head)
	if err := checkResponseHead(req.ID, exchange.Response.StatusCode, head); err != nil {
		return attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultFailed, err: err}
	}
	if head.DidNotRun {
		return g.refusedAttempt(ctx, req, exchange)
	}
	if req.route.Kind == hitchroute.Streaming && exchange.Response.StatusCode == http.StatusOK {
		return g.forwardStream(ctx, req, exchange, pick, sentAt)
	}
	return g.forwardUnary(ctx, req, exchange, pick, sentAt)
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
	return hitchforward.Request{Method: req.original.Method, Target: req.original.RequestURI, Host: req.original.Host, Header: h, Body: req.body}
}

// checkResponseHead returns an error if the response belongs to another request
// or wasn't produced by the endpoint itself.
func checkResponseHead(id string, status int, head ResponseHead) error {
	// A refusal may lack a request ID. A refusal with another ID is a late response
	// to an earlier request on the connection, and doesn't show that this request
	// wasn't run.
	isRefusalWithoutID := head.DidNotRun && head.RequestID == ""
	switch {
	case head.RequestID != id && !isRefusalWithoutID:
		return fmt.Errorf("%w: %q", errWrongRequest, head.RequestID)
	case head.HasContentEncoding:
		return errContentEncoded
	case status < http.StatusBadRequest && !head.HasDigest && !head.DidNotRun:
		return errMissingDigest
	default:
		return nil
	}
}

// firstByteDeadline returns the time by which the first byte of the response must
// arrive. A request that may be retried at another endpoint leaves a stuck
// endpoint before the latency objective is missed.
func (req *proxyRequest) firstByteDeadline(now time.Time) time.Time {
	objective := time.Duration(req.route.ObjectiveMilliseconds) * time.Millisecond
	if objective <= 0 || !req.retryState.AllowsRetry() || !req.serviceState.retryBudget.AllowsRetry(now) {
		return req.effectiveDeadline
	}
	timeout, ok := req.serviceState.firstByteLatency.Timeout(objective, req.logEntry.lastPick.UncachedTokens)
	if deadline := now.Add(timeout); ok && deadline.Before(req.effectiveDeadline) {
		return deadline
	}
	return req.effectiveDeadline
}

// observeWait records how long the request waited for the first byte.
func (req *proxyRequest) observeWait(sentAt time.Time) {
	req.serviceState.firstByteLatency.Observe(time.Since(sentAt), req.logEntry.lastPick.UncachedTokens)
}

// isInactivityTimeout reports whether an attempt was abandoned because the endpoint
// sent no byte in time.
func isInactivityTimeout(err error) bool {
	var failure *hitchforward.Failure
	return errors.As(err, &failure) && failure.Kind == hitchforward.FailureSilent
}

// failedAttempt classifies an attempt that brought no complete response.
func (g *Gateway) failedAttempt(req *proxyRequest, pick hitchbalance.Pick, err error) attemptResult {
	result := attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultConnectionLost, err: err}
	var failure *hitchforward.Failure
	if !errors.As(err, &failure) {
		return result
	}
	failure.Attempt, failure.Endpoint = req.ID, pick.Endpoint.ID
	if failure.IsUnresponsive() {
		result.balancerResult = hitchbalance.ResultNoResponse
		req.unreachableZones = append(req.unreachableZones, pick.Endpoint.Zone)
	}
	switch failure.Kind {
	case hitchforward.FailureUnsent:
		result.outcome = hitchretry.Unsent
		if errors.Is(err, context.Canceled) {
			result.balancerResult = hitchbalance.ResultAbandoned
		}
	case hitchforward.FailureCallerGone, hitchforward.FailureTimeout:
		result.balancerResult = hitchbalance.ResultAbandoned
	case hitchforward.FailureSilent:
		g.Conns.CloseIdle(pick.Endpoint.Addr)
	}
	if !time.Now().Before(req.effectiveDeadline) {
		result.balancerResult = hitchbalance.ResultAbandoned
	}
	return result
}

// refusedAttempt handles a response in which the endpoint guarantees that it didn't
// run the request.
func (g *Gateway) refusedAttempt(ctx context.Context, req *proxyRequest, exchange *hitchforward.Exchange) attemptResult {
	result := attemptResult{outcome: hitchretry.Refused, balancerResult: hitchbalance.ResultRefused}
	if exchange.Response.StatusCode == http.StatusMisdirectedRequest {
		// The address now belongs to another endpoint.
		result.balancerResult = hitchbalance.ResultConnectionLost
	}
	req.dispatchTracker.MarkUnsent()
	if err := exchange.Drain(); err != nil {
		failure := exchange.FailureFor(ctx, err)
		result.err = failure
		if failure.Kind == hitchforward.FailureTooLarge {
			result.balancerResult = hitchbalance.ResultConnectionLost
		}
	}
	return result
}

// forwardUnary reads a response that isn't streamed and writes it to the caller. A
// server error is returned instead, as another attempt may succeed.
func (g *Gateway) forwardUnary(ctx context.Context, req *proxyRequest, exchange *hitchforward.Exchange, pick hitchbalance.Pick, sentAt time.Time) attemptResult {
	req.observeWait(sentAt)
	exchange.SetReadDeadline(req.effectiveDeadline)
	body, err := exchange.ReadAll(maxResponseBytes)
	if err != nil {
		return g.failedAttempt(req, pick, exchange.FailureFor(ctx, err))
	}
	response := &unaryResponse{status: exchange.Response.StatusCode, header: exchange.Response.Header, body: body}
	if response.status >= http.StatusInternalServerError {
		return attemptResult{outcome: hitchretry.Failed, balancerResult: hitchbalance.ResultFailed, response: response}
	}
	req.dispatchTracker.MarkAnswered()
	g.Balancer.ObservePrefill(time.Now(), pick)
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
