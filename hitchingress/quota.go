package hitchingress

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquota"
)

// Limits of the questions for permits.
const (
	// maxPermitRequests is how many endpoints are asked about for one attempt.
	maxPermitRequests = 4
	// minHold is how long an endpoint without a permit gets no requests at least, and refusedHold
	// how long one gets none that has refused a request and doesn't bear that.
	minHold     = 30 * time.Millisecond
	refusedHold = 250 * time.Millisecond
	// roomHold is how long an endpoint without room gets no requests at least.
	roomHold = 25 * time.Millisecond
	// maxRoomWait limits how long a request waits for room at an endpoint, and roomWaitDivisor
	// does so as a divisor of its remaining time. roomPoll is how often it looks.
	maxRoomWait     = 300 * time.Millisecond
	roomWaitDivisor = 4
	roomPoll        = 10 * time.Millisecond
)

// observeQuota records which quota a response names. A response of another endpoint at the
// same address says nothing about this one.
func (g *Gateway) observeQuota(pick hitchbalance.Pick, head ResponseHead) {
	if head.IsOtherEndpoint {
		return
	}
	quota := head.Quota
	if head.IsBrittle {
		quota.MaxInFlight = cmp.Or(pick.Endpoint.Slots, head.Load.Slots)
	}
	if change, ok := g.Quotas.Observe(time.Now(), pick.Endpoint.Run(), quota); ok {
		g.logQuota(change)
	}
}

// release records that an attempt at an endpoint that limits what is in flight has ended. One
// that the endpoint has refused shows that it has no room.
func (g *Gateway) release(a *attempt, result hitchbalance.Result) {
	e, now := a.pick.Endpoint, time.Now()
	if a.pick.Relay != "" || g.Quotas.Quota(now, e.Run()).MaxInFlight == 0 {
		return
	}
	until := now
	if result == hitchbalance.ResultRefused {
		until = now.Add(refusedHold)
		g.Log.Info("brittle endpoint refused a request", "Endpoint", e.ID)
	}
	g.Balancer.Hold(a.pick, until, until)
	state := g.serviceState(e.Service)
	if g.Released != nil {
		g.Released(e, state.roomWaiters.Load() > 0 && result != hitchbalance.ResultRefused)
	}
	select {
	case state.room <- struct{}{}:
	default:
	}
}

// ReceiveQuotas adds what another instance knows of the quotas of endpoints.
func (g *Gateway) ReceiveQuotas(now time.Time, msg hitchquota.NoticesMsg, isFromHub bool) {
	for _, change := range g.Quotas.Receive(now, msg, isFromHub) {
		g.logQuota(change)
	}
}

// permit returns the permit for a request to the picked endpoint. If it has got as many as it
// takes, the pick is given back, and the endpoint gets none for a while.
func (g *Gateway) permit(ctx context.Context, req *proxyRequest, pick hitchbalance.Pick) hitchquota.Permit {
	run := pick.Endpoint.Run()
	quota, namedAt := g.Quotas.QuotaSince(time.Now(), run)
	if quota.IsZero() || g.IgnoreQuotas {
		g.Balancer.Announce(pick) // the quota may have ended after the pick
		return hitchquota.Permit{IsGranted: true}
	}
	permit := g.askPermit(ctx, pick.Endpoint, quota)
	now := time.Now()
	g.Metrics.countPermit(permit.IsGranted)
	if permit.IsGranted {
		g.Quotas.RecordPermit(run)
		g.Balancer.Announce(pick)
		return permit
	}
	if permit.IsFull {
		g.Balancer.Finish(now, pick, hitchbalance.ResultAbandoned)
		g.Balancer.Hold(pick, later(permit.AvailableAt, now.Add(roomHold)), permit.ReturnAt)
		return permit
	}
	g.Log.Info("no permit for an endpoint with a quota", "ID", req.ID, "Endpoint", pick.Endpoint.ID, "PerSecond", quota.PerSecond,
		"QuotaAge", now.Sub(namedAt), "AvailableIn", permit.AvailableAt.Sub(now), "ReturnIn", permit.ReturnAt.Sub(now))
	g.giveBack(now, pick, permit)
	return permit
}

// giveBack gives a pick without a permit back, and keeps requests from its endpoint until the
// next permit is there.
func (g *Gateway) giveBack(now time.Time, pick hitchbalance.Pick, permit hitchquota.Permit) {
	g.Balancer.Finish(now, pick, hitchbalance.ResultAbandoned)
	g.Balancer.Hold(pick, later(permit.AvailableAt, now.Add(minHold)), permit.ReturnAt)
}

// needsPermit reports whether a request to an endpoint needs a permit.
func (g *Gateway) needsPermit(e hitchfleet.Endpoint) bool {
	return !g.IgnoreQuotas && !g.Quotas.Quota(time.Now(), e.Run()).IsZero()
}

// askPermit asks for a permit for one request.
func (g *Gateway) askPermit(ctx context.Context, e hitchfleet.Endpoint, quota hitchquota.Quota) hitchquota.Permit {
	if g.Permits == nil {
		return g.permitIssuer.Issue(time.Now(), e.Run(), quota)
	}
	return g.Permits(ctx, e)
}

// awaitRoom waits a moment for room at an endpoint, if the request was refused for want of that.
// It returns false once the request has waited long enough.
func (g *Gateway) awaitRoom(ctx context.Context, req *proxyRequest, refusal hitchbalance.Refusal) bool {
	now := time.Now()
	if refusal != hitchbalance.AllAtQuota || !req.lacksRoom {
		return false
	}
	if req.roomDeadline.IsZero() {
		req.roomDeadline = now.Add(min(maxRoomWait, req.effectiveDeadline.Sub(now)/roomWaitDivisor))
	}
	if !now.Before(req.roomDeadline) {
		return false
	}
	state := req.serviceState
	state.roomWaiters.Add(1)
	defer state.roomWaiters.Add(-1)
	// One request looks for room on behalf of all that wait: if each of them did, their questions
	// would delay the answers that they wait for.
	timer, looks := time.NewTimer(req.roomDeadline.Sub(now)), false
	defer timer.Stop()
	defer func() {
		if looks {
			<-state.roomPoller
		}
	}()
	for {
		poll := state.roomPoller
		if looks {
			poll = nil
		}
		select {
		case poll <- struct{}{}:
			looks = true
			timer.Reset(min(roomPoll+rand.N(roomPoll), time.Until(req.roomDeadline)))
		case <-state.room:
			return true
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// logQuota logs a quota that an endpoint names, has changed, or names no more.
func (g *Gateway) logQuota(c hitchquota.Change) {
	g.Log.Info("quota of an endpoint changed", "Endpoint", g.endpointOfRun(c.Run), "PerSecond", c.New.PerSecond, "IsLimited", c.New.IsLimited,
		"MaxInFlight", c.New.MaxInFlight, "Old", c.Old.PerSecond, "OldMaxInFlight", c.Old.MaxInFlight, "Age", time.Since(c.NamedAt), "Permits", c.Permits, "From", c.From)
}

// endpointOfRun returns the endpoint whose run has an ID, or an empty string if the view has
// none.
func (g *Gateway) endpointOfRun(run hitchfleet.RunID) hitchfleet.EndpointID {
	for _, e := range g.View().AllEndpoints() {
		if e.Run() == run {
			return e.ID
		}
	}
	return ""
}
