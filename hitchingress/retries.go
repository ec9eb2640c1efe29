package hitchingress

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchretry"
)

// retrySlackShare is the part of RetrySlack that is used. The window of a retry budget
// moves in steps of a tenth, so that a window in between may have a few more retries.
const retrySlackShare = 0.8

// retryRatioShare is the part of RetryRatio that is used. The fleet's bound is checked
// against windows half a window apart, and one in between may have a third more requests.
const retryRatioShare = 0.75

// loggedSlackFactor is by how much this instance's share of the slack has to change to be logged.
const loggedSlackFactor = 1.5

// updateRetrySlack sets this instance's share of the slack in a fleet of a size.
func (g *Gateway) updateRetrySlack(instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retrySlack = retrySlackShare * g.RetrySlack / float64(max(instances, 1))
	for _, state := range g.serviceStates {
		state.retryBudget.SetSlack(g.retrySlack)
	}
	if math.Abs(math.Log(g.retrySlack/g.loggedSlack)) > math.Log(loggedSlackFactor) && g.Log != nil {
		g.Log.Info("share of the retry slack changed", "Retries", g.retrySlack, "Before", g.loggedSlack, "Instances", instances)
		g.loggedSlack = g.retrySlack
	}
}

// RetrySlackShare returns how many retries to a service this instance may make in a window in
// addition to those that the ratio allows.
func (g *Gateway) RetrySlackShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retrySlack
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
