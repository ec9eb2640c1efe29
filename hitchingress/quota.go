package hitchingress

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquota"
)

// Limits of the questions for permits.
const (
	// maxPermitRequests is how many endpoints are asked about for one attempt.
	maxPermitRequests = 4
	// minHold is how long an endpoint without a permit gets no requests at least.
	minHold = 30 * time.Millisecond
)

// observeQuota records which quota a response names. A response of another endpoint at the
// same address says nothing about this one.
func (g *Gateway) observeQuota(pick hitchbalance.Pick, head ResponseHead) {
	if head.IsOtherEndpoint {
		return
	}
	if change, ok := g.Quotas.Observe(time.Now(), pick.Endpoint.Run(), head.Quota); ok {
		g.logQuota(change)
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
	if !quota.IsLimited || g.IgnoreQuotas {
		g.Balancer.Announce(pick) // the quota may have ended after the pick
		return hitchquota.Permit{IsGranted: true}
	}
	permit := g.askPermit(ctx, run, quota)
	now := time.Now()
	g.Metrics.countPermit(permit.IsGranted)
	if permit.IsGranted {
		g.Quotas.RecordPermit(run)
		g.Balancer.Announce(pick)
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
	return !g.IgnoreQuotas && g.Quotas.Quota(time.Now(), e.Run()).IsLimited
}

// askPermit asks for a permit for one request.
func (g *Gateway) askPermit(ctx context.Context, run hitchfleet.RunID, quota hitchquota.Quota) hitchquota.Permit {
	if g.Permits == nil {
		return g.permitIssuer.Issue(time.Now(), run, quota)
	}
	return g.Permits(ctx, run)
}

// logQuota logs a quota that an endpoint names, has changed, or names no more.
func (g *Gateway) logQuota(c hitchquota.Change) {
	g.Log.Info("quota of an endpoint changed", "Endpoint", g.endpointOfRun(c.Run), "PerSecond", c.New.PerSecond, "IsLimited", c.New.IsLimited,
		"Old", c.Old.PerSecond, "Age", time.Since(c.NamedAt), "Permits", c.Permits, "From", c.From)
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
