package hitchingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchserver"
)

// proxyRequest is the state of one request while the gateway processes it.
type proxyRequest struct {
	Request
	writer   http.ResponseWriter
	original *http.Request
	body     []byte
	// reservedBytes is the memory that is reserved for the body.
	reservedBytes int64
	// stalledUntil is until when the caller last delayed a write by reading slowly.
	stalledUntil time.Time
	route        *hitchroute.Route
	service      hitchfleet.ServiceID
	serviceState *serviceState
	// organisation is empty on public routes.
	organisation hitchfleet.OrganisationID
	// rank is the priority of the organisation, or else of the route; 0 is the highest.
	rank       int
	receivedAt time.Time
	// effectiveDeadline is the earlier of the caller's deadline and the route's
	// timeout, by which the final response must be sent.
	effectiveDeadline time.Time
	retryState        hitchretry.Request
	dispatchTracker   hitchoutcome.DispatchTracker
	triedEndpoints    []hitchfleet.EndpointID
	// messages receives what arrives from the endpoints.
	messages chan exchangeMsg
	// unreachableZones are the zones of endpoints that didn't respond to this
	// request in time.
	unreachableZones []hitchfleet.AvailabilityZone
	stream           streamState
	origin           streamOrigin
	// isOriginUnread is set if the store's record of streams' origins couldn't be read.
	isOriginUnread bool
	// relayedBy is the instance that relays the request; empty if it comes from the caller.
	// triedRelays are the instances that were to send it on.
	relayedBy   hitchfleet.InstanceID
	triedRelays []hitchfleet.InstanceID
	// lacksRoom is set once an endpoint had no room for the request, and roomDeadline is until
	// when it waits for some.
	lacksRoom bool
	// unusedRuns are those at which slots were assigned that this instance couldn't use.
	unusedRuns   []hitchfleet.RunID
	roomDeadline time.Time
	// isTrial is set while the request tries whether a quarantined trait has been fixed, and
	// hasTurn while it may be sent although it may have crashed an endpoint.
	isTrial, hasTurn bool
	// traitList are the request's traits, once they are needed.
	traitList []hitchquarantine.Trait
	logEntry  logEntry
	rollout   rolloutState
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, relayed{}) }

// serve serves one request, which another instance may relay.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, relay relayed) {
	if g.IsDraining() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	req := &proxyRequest{Request: g.Protocol.DecodeRequest(r, now), writer: w, original: r, receivedAt: now, relayedBy: relay.by}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	g.inFlight.add(req, cancel)
	defer g.inFlight.remove(req)
	defer g.logFinished(req)
	defer g.endStream(req)
	defer g.releaseBody(req)
	req.removeWriteLimit()
	defer req.limitFinalWrite()
	if refusal := g.prepare(ctx, req); refusal != nil {
		g.writeRefusal(req, refusal)
		return
	}
	if relay.by != "" {
		req.retryState.MaxAttempts = min(req.retryState.MaxAttempts, relay.attempts)
		if conn, ok := hitchserver.ConnOf(r); ok && req.retryState.IsRetrySafe {
			go g.watchSender(ctx, req, conn, cancel)
		}
	}
	g.runAttempts(ctx, req)
	if req.stream.isAborted {
		panic(http.ErrAbortHandler)
	}
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
