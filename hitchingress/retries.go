package hitchingress

import (
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchretry"
)

// retrySlackShare is the part of RetrySlack that is used. The window of a retry budget
// moves in steps of a tenth, so that a window in between may have a few more retries, and
// instances that have just started have a part of their share beside that of their predecessors.
const retrySlackShare = 0.8

// retryRatioShare is the part of RetryRatio that is used. The fleet's bound is checked
// against windows half a window apart, and one in between may have a third more requests.
const retryRatioShare = 0.75

// updateRetrySlack sets this instance's share of the slack in a fleet in which a number of instances is
// listed.
func (g *Gateway) updateRetrySlack(now time.Time, instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retrySlack = g.retrySlack.WithInstances(now, instances)
	g.retrySlack.Retries, g.retrySlack.FullFrom = retrySlackShare*g.RetrySlack, g.StartedAt.Add(hitchadmit.RetryWindow)
	for _, state := range g.serviceStates {
		state.retryBudget.SetSlack(g.retrySlack)
	}
	if sharers := g.retrySlack.Instances(now); g.Log != nil && (2*sharers > 3*g.loggedSharers || 3*sharers < 2*g.loggedSharers) {
		g.loggedSharers = sharers
		g.Log.Info("share of the retry slack changed", "Retries", g.retrySlack.Retries/float64(sharers), "FullIn", max(g.retrySlack.FullFrom.Sub(now), 0), "Sharers", sharers, "Listed", instances)
	}
}

// RetrySlackShare returns how many retries to a service this instance may make in a window in
// addition to those that the ratio allows.
func (g *Gateway) RetrySlackShare(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retrySlack.Share(now)
}

// retryKind is what a retry follows, as its metric is labelled.
type retryKind string

// The kinds of retries.
const (
	retryAfterLoss    retryKind = "Loss"
	retryAfterRefusal retryKind = "Refusal"
	retryAfterError   retryKind = "Error"
	retryAtSilence    retryKind = "Silence"
	retryByRelay      retryKind = "Relay"
)

// tryRetry takes a retry from the budget of the request's service, and counts whether there was
// one. Requests that already have a response, although an error, or may still get one, leave a
// part of the budget to others.
func (g *Gateway) tryRetry(req *proxyRequest, kind retryKind, now time.Time) (isAllowed bool) {
	budget := &req.serviceState.retryBudget
	if kind == retryAfterError || kind == retryAtSilence {
		isAllowed = budget.TryOptionalRetry(now)
	} else {
		isAllowed = budget.TryRetry(now)
	}
	g.Metrics.countRetry(kind, isAllowed)
	return isAllowed
}

// takeRetry takes a retry from the service's budget. The budget limits what reaches
// endpoints, so that none is needed after an attempt that reached none. A request that
// an endpoint responded to with an error often fails everywhere, and leaves a part of
// the budget to those without a response.
func (g *Gateway) takeRetry(req *proxyRequest, previous hitchretry.Outcome) bool {
	switch previous {
	case hitchretry.Unsent:
		return true
	case hitchretry.Refused:
		return g.tryRetry(req, retryAfterRefusal, time.Now())
	case hitchretry.Failed:
		return g.tryRetry(req, retryAfterError, time.Now())
	default:
		return g.tryRetry(req, retryAfterLoss, time.Now())
	}
}
