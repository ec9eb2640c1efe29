package hitchingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// Time and size limits of a request.
const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// meanRetryAfter is the mean delay after which a refused caller may retry.
	meanRetryAfter = 300 * time.Millisecond
	// maxStartWait is how long after the start of an instance requests wait for its
	// first configuration. One that has none later can't tell when it will.
	maxStartWait = 500 * time.Millisecond
	// maxPrefillWait and prefillWaitDivisor limit how long a request waits for an engine
	// that already prefills its prompt for another request: to maxPrefillWait, and to
	// the request's remaining time divided by prefillWaitDivisor.
	maxPrefillWait     = 2 * time.Second
	prefillWaitDivisor = 3
	// slackDivisor divides the latency objective. The quotient is how much longer a
	// request may queue at an engine that caches its prompt than at another engine.
	slackDivisor = 4
	// maxResponseBytes limits the body of a response that isn't streamed.
	maxResponseBytes = 16 << 20
	// defaultBodyBytes limits a request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
)

// proxyRequest is the state of one request while the gateway processes it.
type proxyRequest struct {
	Request
	writer       http.ResponseWriter
	original     *http.Request
	body         []byte
	route        *hitchroute.Route
	service      hitchfleet.ServiceID
	serviceState *serviceState
	// organisation is empty on public routes.
	organisation hitchfleet.OrganisationID
	receivedAt   time.Time
	// effectiveDeadline is the earlier of the caller's deadline and the route's
	// timeout, by which the final response must be sent.
	effectiveDeadline time.Time
	retryState        hitchretry.Request
	dispatchTracker   hitchoutcome.DispatchTracker
	triedEndpoints    []hitchfleet.EndpointID
	// unreachableZones are the zones of endpoints that didn't respond to this
	// request in time.
	unreachableZones []hitchfleet.AvailabilityZone
	stream           streamState
	logEntry         logEntry
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	req := &proxyRequest{Request: g.Protocol.DecodeRequest(r, now), writer: w, original: r, receivedAt: now}
	defer g.logFinished(req)
	if refusal := g.prepare(req); refusal != nil {
		g.writeRefusal(req, refusal)
		return
	}
	g.runAttempts(r.Context(), req)
	if req.stream.isAborted {
		panic(http.ErrAbortHandler)
	}
}

// prepare finds the request's route, organisation and service, reads its body and
// initializes its state. It returns a refusal if one of these steps fails.
func (g *Gateway) prepare(req *proxyRequest) *hitchoutcome.Refusal {
	view := g.awaitView(req.original.Context())
	if view.Table == nil {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, g.returnTime(time.Now()), "no configuration is known yet")
	}
	req.logEntry.tableVersion, req.logEntry.viewRevision = view.Table.Version(), view.Revision
	route, ok := view.Table.Route(req.original.Host, pathOf(req.original.RequestURI))
	if !ok {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "no route")
	}
	req.route = route
	if refusal := req.authenticate(view.Table); refusal != nil {
		return refusal
	}
	limit := int64(view.Table.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(req.writer, req.original.Body, limit))
	if err != nil {
		return bodyRefusal(err)
	}
	req.body = body
	req.service, ok = route.PickService(splitFraction(req.Prompt))
	if !ok {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoEndpoint, jitteredRetryTime(time.Now(), meanRetryAfter), "the route has no service")
	}
	req.initState()
	return nil
}

// awaitView returns the view of the fleet. While the instance starts, it waits for the
// first one: a caller that is refused has to return and uses up one of its few retries.
func (g *Gateway) awaitView(ctx context.Context) hitchview.View {
	if view := g.View(); view.Table != nil {
		return view
	}
	ctx, cancel := context.WithDeadline(ctx, g.StartedAt.Add(maxStartWait))
	defer cancel()
	select {
	case <-g.configured():
	case <-ctx.Done():
	}
	return g.View()
}

// returnTime returns when a caller that is refused for lack of a configuration should
// return.
func (g *Gateway) returnTime(now time.Time) time.Time {
	return jitteredRetryTime(now, hitchretry.ReturnDelay(now.Sub(g.StartedAt)))
}

// authenticate finds the organisation of the request's API key, unless the route is
// public.
func (req *proxyRequest) authenticate(table *hitchroute.Table) *hitchoutcome.Refusal {
	if !table.RequiresAPIKey(req.route) {
		return nil
	}
	organisation, ok := table.Organisation(req.Key)
	if !ok {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonUnauthenticated, time.Time{}, "the API key isn't known")
	}
	req.organisation = organisation.ID
	return nil
}

// initState sets the effective deadline and the initial state of the retries and
// the stream.
func (req *proxyRequest) initState() {
	req.effectiveDeadline = req.receivedAt.Add(defaultTimeout)
	if req.route.TimeoutMilliseconds > 0 {
		req.effectiveDeadline = req.receivedAt.Add(time.Duration(req.route.TimeoutMilliseconds) * time.Millisecond)
	}
	if !req.Deadline.IsZero() && req.Deadline.Before(req.effectiveDeadline) {
		req.effectiveDeadline = req.Deadline
	}
	req.retryState = hitchretry.Request{
		IsRetrySafe: req.route.IsRetrySafe(),
		MaxAttempts: req.route.MaxAttempts,
		Deadline:    req.effectiveDeadline,
	}
	req.stream.lastEventID = req.LastEventID
}

// bodyRefusal returns the refusal of a request whose body couldn't be read.
func bodyRefusal(err error) *hitchoutcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTooLarge, time.Time{}, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonBadRequest, time.Time{}, "the body can't be read")
}

// runAttempts makes attempts until the request has its final response.
func (g *Gateway) runAttempts(ctx context.Context, req *proxyRequest) {
	ctx, cancel := context.WithDeadline(ctx, req.effectiveDeadline)
	defer cancel()
	req.serviceState = g.serviceState(req.service)
	req.serviceState.retryBudget.RecordFirstAttempt(req.receivedAt)
	for {
		pick, refusal := g.Balancer.Pick(time.Now(), hitchbalance.Request{
			Service: req.service, Prompt: req.Prompt, Zone: g.Self.Zone, Tried: req.triedEndpoints,
			BacklogSlackTokens: req.slackTokens(),
			IsRetrySafe:        req.retryState.IsRetrySafe, UnreachableZones: req.unreachableZones,
		})
		if refusal != hitchbalance.NotRefused {
			g.finishWithoutEndpoint(req, refusal)
			return
		}
		if pick.PendingPrefix != 0 && req.logEntry.prefillWaitFrom.IsZero() {
			g.waitForPrefill(ctx, req, pick)
			continue
		}
		req.triedEndpoints = append(req.triedEndpoints, pick.Endpoint.ID)
		result := g.attempt(ctx, req, pick)
		if result.isFinal {
			return
		}
		var decision hitchretry.Decision
		req.retryState, decision = req.retryState.AfterAttempt(time.Now(), result.outcome)
		if decision == hitchretry.Retry && (ctx.Err() != nil || !req.takeRetry(result.outcome)) {
			decision = req.retryState.FinalDecision(result.outcome)
		}
		g.logFailedAttempt(req, pick, result, decision)
		if decision != hitchretry.Retry {
			g.finishFailed(ctx, req, result, decision)
			return
		}
	}
}

// takeRetry takes a retry from the service's budget. The budget limits what reaches
// endpoints, so that none is needed after an attempt that reached none. A request that
// an endpoint responded to with an error often fails everywhere, and leaves a part of
// the budget to those without a response.
func (req *proxyRequest) takeRetry(previous hitchretry.Outcome) bool {
	budget := &req.serviceState.retryBudget
	switch previous {
	case hitchretry.Unsent:
		return true
	case hitchretry.Failed:
		return budget.TryOptionalRetry(time.Now())
	default:
		return budget.TryRetry(time.Now())
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

// finishWithoutEndpoint ends a request for which no endpoint is left to try.
func (g *Gateway) finishWithoutEndpoint(req *proxyRequest, refusal hitchbalance.Refusal) {
	if req.stream.headerSent {
		req.abortStream("no endpoint to resume the stream: " + refusal.String())
		return
	}
	g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonNoEndpoint, jitteredRetryTime(time.Now(), meanRetryAfter), "%s", refusal))
}

// finishFailed ends a request after its last attempt has failed.
func (g *Gateway) finishFailed(ctx context.Context, req *proxyRequest, result attemptResult, decision hitchretry.Decision) {
	switch {
	case req.stream.headerSent:
		req.abortStream("stream ended before it was complete")
	case decision == hitchretry.PassOn:
		g.writeResponse(req, result.response)
	case ctx.Err() != nil || !time.Now().Before(req.effectiveDeadline):
		g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonTimeout, jitteredRetryTime(time.Now(), meanRetryAfter), "the request's time is over"))
	default:
		g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonEndpointLost, jitteredRetryTime(time.Now(), meanRetryAfter), "no endpoint gave a whole answer"))
	}
}

// unaryResponse is an endpoint's complete response that isn't streamed.
type unaryResponse struct {
	status int
	header http.Header
	body   []byte
}

// writeResponse writes an endpoint's complete response to the caller.
func (g *Gateway) writeResponse(req *proxyRequest, response *unaryResponse) {
	copyHeader(req.writer.Header(), response.header)
	req.writer.WriteHeader(response.status)
	_, err := req.writer.Write(response.body)
	req.logEntry.setEnd("Answered", response.status, err)
}

// copyHeader copies the end-to-end header fields of a response, leaving out
// hop-by-hop fields.
func copyHeader(dst, src http.Header) {
	for name, values := range hitchforward.EndToEndHeader(src) {
		dst[name] = slices.Clone(values)
	}
}

// pathOf returns the path of a request target, without its query.
func pathOf(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// remainingTime returns the time until the caller's deadline, at least 1 ms, or 0 if
// the caller set no deadline.
func (req *proxyRequest) remainingTime(now time.Time) time.Duration {
	if req.Deadline.IsZero() {
		return 0
	}
	return max(req.Deadline.Sub(now), time.Millisecond)
}

// jitteredRetryTime returns a retry time whose delay is random with the given mean,
// so that callers that were refused together don't retry together.
func jitteredRetryTime(now time.Time, mean time.Duration) time.Time {
	return now.Add(mean/2 + rand.N(mean))
}
