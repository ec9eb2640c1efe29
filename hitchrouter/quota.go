package hitchrouter

import (
	"net/http"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchquota"
)

// QuotaHeader is the response header in which an endpoint names how many requests a second
// it takes from all routers together, for as long as its responses have it.
const QuotaHeader = "X-Request-Quota"

// ObserveHeader records what the header of a response says about its endpoint.
func (rt *Router) ObserveHeader(e hitchfleet.Endpoint, h http.Header) {
	var quota hitchquota.Quota
	if perSecond, err := strconv.ParseFloat(h.Get(QuotaHeader), 64); err == nil && perSecond >= 0 {
		quota = hitchquota.Quota{PerSecond: perSecond, IsLimited: true}
	}
	if change, ok := rt.quotas.Observe(rt.now(), e.Run(), quota); ok {
		rt.logQuota(e.ID, change)
		rt.tellOwner(e)
	}
}

// tellOwner tells the owner of an endpoint which quota the endpoint has named.
func (rt *Router) tellOwner(e hitchfleet.Endpoint) {
	if owner, ok := rt.placement().owners[e.ID]; ok {
		rt.sendAdmissionPacket(owner.ID, hitchadmit.Packet{Quota: rt.quotaNotice(e)})
	}
}

// quotaNotice returns what is known of an endpoint's quota.
func (rt *Router) quotaNotice(e hitchfleet.Endpoint) *hitchquota.Notice {
	notice := rt.quotas.Notice(rt.now(), e.Run())
	return &notice
}

// receiveQuota records which quota an endpoint has named to another router.
func (rt *Router) receiveQuota(now time.Time, from hitchfleet.InstanceID, n hitchquota.Notice) {
	for _, change := range rt.quotas.Receive(now, hitchquota.NoticesMsg{From: from, Notices: []hitchquota.Notice{n}}, false) {
		rt.logQuota("", change)
	}
}

// refuseAboveQuota refuses a slot request if the endpoint, which this router owns, has got as
// many requests as it takes. Every attempt needs a slot, so that retries count too.
func (rt *Router) refuseAboveQuota(now time.Time, r hitchadmit.SlotRequest) (_ hitchadmit.Decision, isRefused bool) {
	e, ok := rt.placement().endpoints[r.Endpoint]
	if !ok || rt.IgnoreQuotas {
		return hitchadmit.Decision{}, false
	}
	permit := rt.permitIssuer.Issue(now, e.Run(), rt.quotas.Quota(now, e.Run()))
	if permit.IsGranted {
		return hitchadmit.Decision{}, false
	}
	// The requester's clock may differ.
	retryAt := r.SentAt.Add(permit.ReturnAt.Sub(now))
	return hitchadmit.Decision{ID: r.ID, Verdict: hitchadmit.Refused, Reason: hitchoutcome.ReasonOverloaded, RetryAt: retryAt}, true
}

func (rt *Router) logQuota(endpoint hitchfleet.EndpointID, c hitchquota.Change) {
	rt.log().Info("quota of an endpoint changed", "Endpoint", endpoint, "Run", c.Run, "PerSecond", c.New.PerSecond, "IsLimited", c.New.IsLimited,
		"Old", c.Old.PerSecond, "Age", rt.now().Sub(c.NamedAt), "From", c.From)
}
