package hitchingress

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchretry"
)

// Headers between instances of which one relays a request through the other.
const (
	headerRelayedBy = "Citronhitch-Relayed-By"
	headerAttempts  = "Citronhitch-Attempts"
	headerRuns      = "Citronhitch-Runs"
	headerRefusal   = "Citronhitch-Refusal"
	headerOutcome   = "Citronhitch-Outcome"
	// headerRefused has the ID of the request that an instance refuses.
	headerRefused = "Citronhitch-Refused-Request"
)

// relayHeaders are what an instance says of a request that it was to send on. Nothing that an endpoint
// sends may pass for it.
var relayHeaders = []string{headerRuns, headerRefusal, headerOutcome, headerRefused}

// relayPick returns an instance that sends the request on in place of this one, which is cut off
// from endpoints. It returns false if this instance sends the request itself.
func (g *Gateway) relayPick(req *proxyRequest) (hitchbalance.Pick, bool) {
	if req.relayedBy != "" || !g.Path.SendsElsewhere(time.Now()) {
		return hitchbalance.Pick{}, false
	}
	relay, ok := g.Path.Relay(req.triedRelays)
	if !ok {
		return hitchbalance.Pick{}, false
	}
	req.triedRelays = append(req.triedRelays, relay.ID)
	return hitchbalance.Pick{Relay: relay.ID, Endpoint: hitchfleet.Endpoint{Addr: relay.PeerAddr, Zone: relay.Zone}}, true
}

// relayMessage builds the request that is sent to another instance: as the caller sent it, with
// what is left of its time, and a number of attempts.
func (g *Gateway) relayMessage(req *proxyRequest, attempts int) hitchforward.Request {
	h := req.Header.Clone()
	g.Protocol.EncodeRelay(h, RelayInfo{Key: req.Key, Deadline: req.Deadline, LastEventID: req.stream.lastEventID})
	h.Set(headerRelayedBy, string(g.Self.ID))
	h.Set(headerAttempts, strconv.Itoa(attempts))
	return req.messageWith(h)
}

// IsRelayed reports whether another instance relays a request through this one.
func IsRelayed(h http.Header) bool { return h.Get(headerRelayedBy) != "" }

// ServeRelayed serves a request that another instance relays, as if it came from the caller. It
// isn't relayed again.
func (g *Gateway) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	from := hitchfleet.InstanceID(r.Header.Get(headerRelayedBy))
	attempts, err := strconv.Atoi(r.Header.Get(headerAttempts))
	isMember := slices.ContainsFunc(g.View().Instances(), func(i hitchfleet.Instance) bool { return i.ID == from })
	if !isMember || err != nil {
		now := time.Now()
		refusal := hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, now, "no instance relays this request")
		writeRelayRefusal(w.Header(), g.Protocol.DecodeRequest(r, now).ID, refusal)
		http.Error(w, refusal.Error(), http.StatusForbidden)
		return
	}
	for _, name := range []string{headerRelayedBy, headerAttempts} {
		r.Header.Del(name)
	}
	g.Metrics.countRelayed("Received")
	g.serve(w, r, relayed{by: from, attempts: attempts})
}

// relayed says which instance relays a request, and how many attempts it may have. The zero
// value is that of a request of a caller.
type relayed struct {
	by       hitchfleet.InstanceID
	attempts int
}

// refuseRelayed returns a refusal if the instance can't serve a relayed request, which another
// one can.
func (g *Gateway) refuseRelayed(req *proxyRequest) *hitchoutcome.Refusal {
	if req.relayedBy == "" {
		return nil
	}
	if g.IsDraining() || g.Path.State(time.Now()) == hitchpath.CutOff {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonLeaving, time.Now(), "relayed requests go elsewhere")
	}
	return nil
}

// writeRelayRefusal tells the instance that relays a request why it is refused, and whether it
// has run.
func writeRelayRefusal(h http.Header, id string, refusal *hitchoutcome.Refusal) {
	h.Set(headerRefused, id)
	h.Set(headerRefusal, string(refusal.Reason))
	h.Set(headerOutcome, refusal.Outcome.String())
}

// decodeRelayed decodes the header of a response that another instance has relayed.
func (g *Gateway) decodeRelayed(status int, h http.Header, now time.Time) ResponseHead {
	head := g.Protocol.DecodeResponse(status, h, now)
	head.Runs, _ = strconv.Atoi(h.Get(headerRuns))
	if reason := h.Get(headerRefusal); reason != "" {
		head.RequestID = h.Get(headerRefused)
		head.Refusal = &hitchoutcome.Refusal{Reason: hitchoutcome.Reason(reason), Outcome: hitchoutcome.Unknown, RetryAt: head.PausedUntil}
		if h.Get(headerOutcome) == hitchoutcome.NotRun.String() {
			head.Refusal.Outcome = hitchoutcome.NotRun
		}
	}
	return head
}

// handleRelayRefusal handles the refusal of an instance that was to send a request on. Unless
// the instance leaves or lacks a path itself, it has decided about the request in place of this
// one.
func (g *Gateway) handleRelayRefusal(req *proxyRequest, a *attempt) attemptResult {
	refusal := a.head.Refusal
	if refusal.Outcome == hitchoutcome.NotRun {
		a.didNotRun = true
		req.dispatchTracker.MarkUnsent()
		if refusal.Reason == hitchoutcome.ReasonLeaving || refusal.Reason == hitchoutcome.ReasonStale {
			return attemptResult{outcome: hitchretry.Refused, balancerResult: hitchbalance.ResultAbandoned}
		}
	}
	if req.stream.headerSent {
		req.abortStream("refused by the instance that relays it: " + string(refusal.Reason))
	} else {
		g.writeRefusal(req, req.dispatchTracker.Refuse(refusal.Reason, refusal.RetryAt, "refused by instance %s", a.pick.Relay))
	}
	return attemptResult{isFinal: true, balancerResult: hitchbalance.ResultAbandoned}
}

// standbyRefusal returns the result of a standby that another instance has refused.
func (req *proxyRequest) standbyRefusal(a *attempt) attemptResult {
	result := attemptResult{outcome: hitchretry.Lost, balancerResult: hitchbalance.ResultAbandoned}
	if a.head.Refusal.Outcome == hitchoutcome.NotRun {
		result.outcome = hitchretry.Refused
		req.dispatchTracker.MarkUnsent()
	}
	return result
}

// startRelay relays a request through another instance, which may make all attempts that are left
// beside the runs of open ones.
func (g *Gateway) startRelay(ctx context.Context, req *proxyRequest, pick hitchbalance.Pick, openRuns int) *attempt {
	g.Metrics.countRelayed("Sent")
	g.Log.Info("request relayed", "ID", req.ID, "Route", req.route.Name, "Relay", pick.Relay, "Path", g.Path.State(time.Now()), "Events", req.stream.eventCount)
	req.logEntry.attempts++
	a := &attempt{pick: pick, maxRuns: req.retryState.AttemptsLeft(openRuns), sentAt: time.Now()}
	a.exchange = startExchange(ctx, exchangeParams{
		id: req.ID, pool: g.Conns, addr: pick.Endpoint.Addr, request: g.relayMessage(req, a.maxRuns), deadline: req.effectiveDeadline,
		tracker: &req.dispatchTracker, decode: g.decodeRelayed, isStream: req.isStream,
	}, req.messages)
	return a
}

// maxVerdictWait and verdictWaitDivisor limit how long a request waits for the verdict of a check
// of the path: to maxVerdictWait, and to the remaining time divided by verdictWaitDivisor.
const (
	maxVerdictWait     = 600 * time.Millisecond
	verdictWaitDivisor = 3
)

// awaitPath waits until a check of this instance's path has a verdict: attempts on a broken path
// would use up those of the request, or lose one that can't be repeated. A first attempt waits only
// if no endpoint of a first round has answered.
func (g *Gateway) awaitPath(ctx context.Context, req *proxyRequest, isRetry bool) {
	verdict := g.Path.AwaitVerdict()
	if verdict == nil || !isRetry && g.Path.State(time.Now()) != hitchpath.Doubted {
		return
	}
	timer := time.NewTimer(min(maxVerdictWait, time.Until(req.effectiveDeadline)/verdictWaitDivisor))
	defer timer.Stop()
	select {
	case <-verdict:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isPathFailure reports whether an attempt has failed as its endpoint wasn't reached, or not any
// more.
func isPathFailure(a *attempt, result hitchbalance.Result) bool {
	return a.pick.Relay == "" && (result == hitchbalance.ResultNoResponse || result == hitchbalance.ResultConnectionLost)
}

// observePath records an attempt that has failed on the way to its endpoint.
func (g *Gateway) observePath(a *attempt, result hitchbalance.Result) {
	if isPathFailure(a, result) {
		g.Path.RecordFailure(time.Now())
	}
}
