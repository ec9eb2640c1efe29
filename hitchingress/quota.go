package hitchingress

import (
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquota"
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

// logQuota logs a quota that an endpoint names, has changed, or names no more.
func (g *Gateway) logQuota(c hitchquota.Change) {
	g.Log.Info("quota of an endpoint changed", "Endpoint", g.endpointOfRun(c.Run), "PerSecond", c.New.PerSecond, "IsLimited", c.New.IsLimited,
		"Old", c.Old.PerSecond, "Age", time.Since(c.NamedAt), "From", c.From)
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
