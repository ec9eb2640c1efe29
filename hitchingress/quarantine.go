package hitchingress

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// Times of requests that may crash endpoints.
const (
	// maxCrashCheck is how long a request whose connection was cut waits for the check whether
	// its endpoint has crashed.
	maxCrashCheck = 150 * time.Millisecond
	// minLossWait is the shortest wait without a response after which a request counts as lost.
	minLossWait = 200 * time.Millisecond
)

// traits returns what the request has in common with others at which endpoints may crash.
func (req *proxyRequest) traits() []hitchquarantine.Trait {
	if req.traitList == nil {
		r := req.original
		identity := hitchquarantine.Identity{Method: r.Method, Host: r.Host, Target: r.RequestURI, Organisation: req.organisation, Body: req.body}
		req.traitList = append(hitchquarantine.PartTraits(req.Prompt.Shared()), identity.Traits()...)
	}
	return req.traitList
}

// identityText returns what identifies the request when it comes again, as it is logged.
func (req *proxyRequest) identityText() string {
	traits := req.traits()
	return traits[len(traits)-1].String()
}

// observeAnswer records that an endpoint has begun its answer to an attempt.
func (g *Gateway) observeAnswer(req *proxyRequest, a *attempt) {
	if a.hasAnswered {
		return
	}
	a.hasAnswered = true
	a.flight.First(time.Now())
	if g.Quarantine.HasSuspects() {
		g.Quarantine.RecordAnswer(time.Now(), req.traits())
		g.logQuarantine()
	} else if parts := req.Prompt.Shared(); len(parts) > 0 {
		g.Quarantine.RecordAnswer(time.Now(), hitchquarantine.PartTraits(parts))
	}
}

// observeLoss records what an attempt that has ended without an answer says of its endpoint,
// which may have crashed. A response may also be lost without that, so that the address is
// checked: nothing listens there after a crash. If that isn't seen at once, the endpoint is
// watched.
func (g *Gateway) observeLoss(req *proxyRequest, a *attempt) {
	if a.response != nil && a.head.IsOtherEndpoint {
		g.crashWatch().ObserveAnswer(a.pick.Endpoint)
	}
	if !a.wasLost() {
		return
	}
	req.hasTurn = false
	if g.hasLeft(time.Now(), a.pick.Endpoint) {
		return
	}
	if a.wasCut && g.hasCrashed(a.pick.Endpoint) {
		g.recordCrash(req, a)
		return
	}
	g.recordLoss(req, a)
}

// recordLoss records that the endpoint of an attempt may have crashed.
func (g *Gateway) recordLoss(req *proxyRequest, a *attempt) {
	now := time.Now()
	if g.hasLeft(now, a.pick.Endpoint) {
		return
	}
	g.Quarantine.RecordLoss(now, a.pick.Endpoint.Run(), req.traits())
	g.crashWatch().Follow(now, a.pick.Endpoint)
}

// wasLost reports whether an attempt has ended without an answer for a reason that isn't known.
func (a *attempt) wasLost() bool {
	switch {
	case a.hasAnswered || a.didNotRun:
		return false
	case a.wasCut:
		return true
	default:
		return a.response == nil && time.Since(a.sentAt) >= minLossWait
	}
}

// recordCrash records that the endpoint of an attempt has crashed before its answer began.
func (g *Gateway) recordCrash(req *proxyRequest, a *attempt) {
	g.Log.Info("endpoint crashed before its answer began", "ID", req.ID, "Route", req.route.Name, "Endpoint", a.pick.Endpoint.ID,
		"Parts", partList(req.Prompt.Shared()), "Digest", req.identityText(), "SentAgo", time.Since(a.sentAt))
	g.Quarantine.RecordCrash(time.Now(), a.pick.Endpoint.Run(), req.traits())
	g.logQuarantine()
}

// crashWatch returns the watch over endpoints that lost requests.
func (g *Gateway) crashWatch() *hitchquarantine.CrashWatch {
	g.crashWatchOnce.Do(func() {
		g.crashes.Refuses = func(ctx context.Context, e hitchfleet.Endpoint) bool { return g.Conns.Refuses(ctx, e.Addr) }
		g.crashes.OnCrash = g.confirmCrash
	})
	return &g.crashes
}

// confirmCrash records that an endpoint has crashed which lost requests.
func (g *Gateway) confirmCrash(e hitchfleet.Endpoint, evidence hitchquarantine.CrashEvidence, lostAgo time.Duration) {
	if evidence == hitchquarantine.AddressRefuses && g.Path.IsBroken() || g.hasLeft(time.Now(), e) {
		return
	}
	g.Metrics.countConfirmedCrash(evidence)
	g.Log.Info("endpoint that lost requests has crashed", "Endpoint", e.ID, "Addr", e.Addr, "Evidence", evidence, "LostAgo", lostAgo)
	g.Quarantine.ConfirmCrash(time.Now(), e.Run())
	g.logQuarantine()
}

// hasCrashed reports whether nothing listens at an endpoint's address. Requests that ask at
// the same time share one check.
func (g *Gateway) hasCrashed(e hitchfleet.Endpoint) bool {
	isGone, _, _ := g.crashChecks.Do(e.Addr, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), maxCrashCheck)
		defer cancel()
		return g.Conns.IsGone(ctx, e.Addr) && !g.Path.IsBroken(), nil
	})
	return isGone.(bool)
}

// admit returns a refusal if the request has a quarantined trait, or if it may have crashed an
// endpoint and doesn't get its turn in time. A request that was admitted as a trial stays so
// until its attempt ends.
func (g *Gateway) admit(ctx context.Context, req *proxyRequest) *hitchquarantine.Refusal {
	wait := hitchquarantine.TurnWait{
		Now: time.Now, Ask: g.askTurn, HasTurn: req.hasTurn,
		Admit: func() hitchquarantine.Admission { return g.admission(req) },
	}
	a := wait.Run(ctx, req.effectiveDeadline)
	req.hasTurn = wait.HasTurn
	if wait.IsDenied {
		g.Log.Info("no turn for a request that may have crashed an endpoint", "ID", req.ID, "Service", req.service, "Trait", a.Refusal.Trait, "Rests", !a.RestsUntil.IsZero(), "AvailableIn", time.Until(a.Refusal.ReleaseAt))
		a.Refusal.ReleaseAt = jitteredRetryTime(a.Refusal.ReleaseAt, meanRetryAfter)
	}
	return a.Refusal
}

// rests reports whether half of the service's endpoints would be left at most if another one crashed,
// so that a request that may have crashed one isn't tried at those that are left, and until when: they
// are needed by other requests, and another cause may be on its way to one of them.
func (g *Gateway) rests(req *proxyRequest) (until time.Time, ok bool) {
	var runs []hitchfleet.RunID
	for _, e := range g.View().Endpoints() {
		if e.Service == req.service {
			runs = append(runs, e.Run())
		}
	}
	crashed, until := g.Quarantine.Crashed(time.Now(), runs)
	return until, crashed > 0 && 2*(crashed+1) >= len(runs)
}

// admission returns whether the request may be sent.
func (g *Gateway) admission(req *proxyRequest) (a hitchquarantine.Admission) {
	if !g.Quarantine.HasSuspects() {
		return a
	}
	a = g.Quarantine.Admit(time.Now(), req.traits())
	g.logQuarantine()
	if a.Refusal == nil && (a.IsTrial || a.NeedsTurn && !a.IsExplained) {
		until, ok := g.rests(req)
		switch {
		case ok && a.IsTrial:
			a.IsTrial, a.Refusal = false, &hitchquarantine.Refusal{Trait: req.traits()[0], ReleaseAt: until}
		case ok:
			a.RestsUntil = until
		}
	}
	req.isTrial = a.IsTrial
	return a
}

// admitsStandby reports whether another endpoint may get the request while one is silent,
// which may have crashed at it.
func (g *Gateway) admitsStandby(ctx context.Context, req *proxyRequest) bool {
	a := g.admission(req)
	if a.Refusal != nil || !a.NeedsTurn {
		return a.Refusal == nil
	}
	if !a.RestsUntil.IsZero() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxStandbyPermitWait)
	defer cancel()
	return g.askTurn(ctx, a.TurnTrait).IsGranted
}

// askTurn asks for a turn of a trait.
func (g *Gateway) askTurn(ctx context.Context, trait hitchquarantine.Trait) (turn hitchquarantine.Turn) {
	if g.Turns == nil {
		turn = g.Quarantine.TakeTurn(time.Now(), trait)
	} else {
		turn = g.Turns(ctx, trait)
	}
	g.Metrics.countTurn(turn.IsGranted)
	return turn
}

// finishQuarantined ends a request with a trait that is quarantined.
func (g *Gateway) finishQuarantined(req *proxyRequest, refusal hitchquarantine.Refusal) {
	g.Metrics.countQuarantineRefusal()
	if req.stream.headerSent {
		req.abortStream("endpoints may crash at the request: " + refusal.Trait.String())
		return
	}
	g.writeRefusal(req, req.dispatchTracker.Refuse(hitchoutcome.ReasonQuarantined, refusal.ReleaseAt,
		"endpoints crash when they answer a request with %s", refusal.Trait))
}

// logQuarantine logs and counts each decision about a trait.
func (g *Gateway) logQuarantine() {
	now := time.Now()
	for _, d := range g.Quarantine.TakeDecisions() {
		g.Metrics.countQuarantineDecision(d.Kind)
		g.Log.Warn("quarantine of requests", d.LogPairs(now)...)
	}
}

// ReceiveSuspicions adds what another instance knows of traits of requests.
func (g *Gateway) ReceiveSuspicions(now time.Time, msg hitchquarantine.SuspicionsMsg, isFromHub bool) {
	g.Quarantine.Receive(now, msg, isFromHub)
	g.logQuarantine()
}

// InheritQuarantine adds which traits were quarantined before the instance started.
func (g *Gateway) InheritQuarantine(now time.Time, record hitchquarantine.Record) {
	g.Quarantine.Inherit(now, record)
	g.logQuarantine()
}

// TrialRank returns how many other instances try a trait of requests before this one.
func (g *Gateway) TrialRank(trait hitchquarantine.Trait) int {
	return hitchquarantine.TrialRank(trait, g.Self, g.View().Instances())
}
