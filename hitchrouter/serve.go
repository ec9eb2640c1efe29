package hitchrouter

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// maxAttempts is the maximum number of attempts per request.
const maxAttempts = 4

// initialBackoff is the mean wait before the second attempt.
const initialBackoff = 20 * time.Millisecond

// StreamChat serves a turn of a chat with a streamed response.
func (rt *Router) StreamChat(ctx context.Context, chat ChatRequest, stream *hitchforward.Stream) (err error) {
	req := chat.proxyRequest()
	req.relay.IsStream = true
	o := rt.newObservation(ctx, hitchburn.KindStream, req)
	defer func() { o.finish(ctx, err) }()
	o.wrapStream(stream)
	return rt.serveStream(ctx, req, chat.Call, stream, o)
}

// serveStream serves a call with a streamed response.
func (rt *Router) serveStream(ctx context.Context, req *proxyRequest, call hitchforward.Call, stream *hitchforward.Stream, o *observation) error {
	var tracker hitchoutcome.DispatchTracker
	deliver := stream.Deliver
	send := func(ctx context.Context, s *slot) error {
		stream.Deliver = func(event hitchforward.Event) error {
			s.recordFirstByte(rt.now())
			rt.observeAnswer(req)
			req.isVersionFixed = true
			if event.Done() {
				// Recorded before the caller gets the end of the stream, as it may send
				// the next turn at once.
				rt.recordSuccess(req, s)
			}
			return deliver(event)
		}
		stream.Call = req.withVersion(call)
		err := rt.Forward.Stream(ctx, stream, s.endpoint, &tracker)
		o.recordAttempt(s.endpoint, err)
		return err
	}
	return rt.serve(ctx, req, &tracker, send, func(r relayResponse) error { return r.deliverTo(stream, deliver) })
}

// CompleteChat serves a turn of a chat with a complete, non-streamed response.
func (rt *Router) CompleteChat(ctx context.Context, chat ChatRequest) (_ *hitchforward.Response, err error) {
	req := chat.proxyRequest()
	o := rt.newObservation(ctx, hitchburn.KindNonStreaming, req)
	defer func() { o.finish(ctx, err) }()
	return rt.serveUnary(ctx, req, chat.Call, o)
}

// serveUnary serves a call with a complete, non-streamed response.
func (rt *Router) serveUnary(ctx context.Context, req *proxyRequest, call hitchforward.Call, o *observation) (response *hitchforward.Response, err error) {
	var tracker hitchoutcome.DispatchTracker
	send := func(ctx context.Context, s *slot) error {
		response, err = rt.Forward.Do(ctx, req.withVersion(call), s.endpoint, &tracker)
		o.recordAttempt(s.endpoint, err)
		return err
	}
	err = rt.serve(ctx, req, &tracker, send, func(r relayResponse) error {
		response = r.Response
		return nil
	})
	o.recordResponse(response)
	return response, err
}

// serve acquires a slot and sends the request. If the attempt fails and the request
// may be retried, it tries another endpoint. A request that another router has sent is
// passed to deliver. Errors are of type *hitchoutcome.Refusal.
func (rt *Router) serve(ctx context.Context, req *proxyRequest, tracker *hitchoutcome.DispatchTracker, send func(context.Context, *slot) error, deliver func(relayResponse) error) error {
	budget := rt.retryBudgets.forRoute(req.route.ID)
	if req.relay != nil { // otherwise the router that relays the request has counted it
		budget.RecordFirstAttempt(rt.now())
	}
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialBackoff
	for attempt := 1; ; attempt++ {
		req.hasAnswer = false
		left := req.attempts() - attempt + 1
		if isRelayed, err := rt.relayThrough(ctx, req, left, tracker, deliver); isRelayed {
			return err
		}
		if refusal := rt.admit(ctx, req, tracker); refusal != nil {
			return refusal
		}
		s, refusal := rt.acquireSlot(ctx, req)
		if refusal != nil {
			return tracker.Refuse(refusal.Reason, refusal.RetryAt, "%s", refusal.Detail)
		}
		doubt := rt.doubtPathLater()
		err := send(ctx, s)
		doubt.Stop()
		rt.releaseSlot(s)
		rt.recordEndpointAttempt(s.endpoint.ID, err)
		rt.observePath(err)
		rt.observeAttempt(req, s.endpoint, err)
		if err == nil {
			rt.recordSuccess(req, s)
			return nil
		}
		rt.log().Info("attempt failed", "Route", req.route.ID, "Chat", req.key, "Error", err)
		if !rt.mayRetry(req, tracker, err) || left == 1 || !budget.TryRetry(rt.now()) || !rt.waitBackoff(ctx, req, wait.NextBackOff()) {
			return rt.finalRefusal(tracker, err)
		}
		req.failedEndpoints = append(req.failedEndpoints, s.endpoint.ID)
	}
}

// attempts returns how many attempts this router may make for a request.
func (req *proxyRequest) attempts() int {
	if req.maxAttempts == 0 {
		return maxAttempts
	}
	return req.maxAttempts
}

// recordEndpointAttempt counts an attempt in the failure ratio of its endpoint.
// Attempts that failed for a reason outside the endpoint, such as a caller that
// disconnected or the request's deadline, aren't counted.
func (rt *Router) recordEndpointAttempt(endpoint hitchfleet.EndpointID, err error) {
	var failure *hitchforward.Failure
	if errors.As(err, &failure) && !failure.MayRetry() {
		return
	}
	rt.outliers.Record(rt.now(), endpoint, err != nil)
}

// recordSuccess records, once per slot, that the endpoint now has the chat's prefix in
// its cache.
func (rt *Router) recordSuccess(req *proxyRequest, s *slot) {
	if req.kind == hitchfleet.KindEngine && !s.isRecorded {
		s.isRecorded = true
		rt.recordServed(req, s.endpoint.ID)
	}
}

// mayRetry reports whether a request may be sent again: the kind of failure allows it,
// and the request is idempotent or is known not to have run.
func (rt *Router) mayRetry(req *proxyRequest, tracker *hitchoutcome.DispatchTracker, err error) bool {
	var failure *hitchforward.Failure
	if !errors.As(err, &failure) || !failure.MayRetry() {
		return false
	}
	return req.isIdempotent || tracker.Outcome() == hitchoutcome.NotRun
}

// waitBackoff waits between two attempts. It returns false if the wait would pass the
// request's deadline, or if the caller disconnects; the request is then not retried.
func (rt *Router) waitBackoff(ctx context.Context, req *proxyRequest, wait time.Duration) bool {
	if !req.deadline.IsZero() && rt.now().Add(wait).After(req.deadline) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// finalRefusal returns the refusal for the error of the last attempt.
func (rt *Router) finalRefusal(tracker *hitchoutcome.DispatchTracker, err error) *hitchoutcome.Refusal {
	retryAt := rt.now().Add(defaultRetryDelay)
	var failure *hitchforward.Failure
	if errors.As(err, &failure) && failure.Kind == hitchforward.FailureTimeout {
		return tracker.Refuse(hitchoutcome.ReasonTimeout, retryAt, "the request's deadline passed")
	}
	if errors.As(err, &failure) && failure.Kind == hitchforward.FailureTooLarge {
		return tracker.Refuse(hitchoutcome.ReasonTooLarge, time.Time{}, "the endpoint's answer is too large")
	}
	return tracker.Refuse(hitchoutcome.ReasonEndpointLost, retryAt, "no endpoint gave a whole answer")
}

// hasFailed reports whether an attempt failed at the endpoint.
func (req *proxyRequest) hasFailed(id hitchfleet.EndpointID) bool {
	return slices.Contains(req.failedEndpoints, id)
}
