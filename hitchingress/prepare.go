package hitchingress

import (
	"context"
	"errors"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchserver"
	"citronhitch.example/citronhitch/hitchview"
)

// Limits of a request.
const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxStartWait is how long after the start of an instance requests wait for its
	// first configuration. One that has none later can't tell when it will.
	maxStartWait = 500 * time.Millisecond
)

// prepare finds the request's route, organisation and service, reads its body and
// initializes its state. It returns a refusal if one of these steps fails.
func (g *Gateway) prepare(ctx context.Context, req *proxyRequest) *hitchoutcome.Refusal {
	view := g.awaitView(ctx)
	if isEnded(ctx) {
		return endedRefusal()
	}
	if view.Table == nil {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, g.returnTime(time.Now()), "no configuration is known yet")
	}
	req.logEntry.tableVersion, req.logEntry.viewRevision = view.Table.Version(), view.Revision
	if limit := view.Table.Limits().HeaderBytes; limit > 0 && req.relayedBy == "" && hitchserver.HeadBytes(req.original) > limit {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonHeadTooLarge, time.Time{}, "the header is larger than %d bytes", limit)
	}
	route, ok := view.Table.Route(req.original.Host, pathOf(req.original.RequestURI))
	if !ok {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "no route")
	}
	req.route, req.rank = route, route.Priority
	if refusal := req.authenticate(view.Table); refusal != nil {
		return refusal
	}
	limit := int64(view.Table.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if refusal := g.readBody(req, limit); refusal != nil {
		return refusal
	}
	req.service, ok = route.PickService(splitFraction(req.Prompt))
	if !ok {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoEndpoint, jitteredRetryTime(time.Now(), meanRetryAfter), "the route has no service")
	}
	req.initState()
	if refusal := g.refuseRelayed(req); refusal != nil {
		return refusal
	}
	if refusal := g.refuseLate(req); refusal != nil {
		return refusal
	}
	return g.resolveOrigin(ctx, req)
}

// isEnded reports whether the instance's shutdown ended a request.
func isEnded(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEnded) }

// endedRefusal returns the refusal of a request that the instance's shutdown ended before
// anything was sent. Another instance can serve it at once.
func endedRefusal() *hitchoutcome.Refusal {
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonLeaving, time.Now(), "%v", errEnded)
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
	case <-g.Configured():
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
	if organisation.HasPriority {
		req.rank = organisation.Priority
	}
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

// pathOf returns the path of a request target, without its query.
func pathOf(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}
