package hitchingress

import (
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchrollout"
	"citronhitch.example/citronhitch/hitchview"
)

// Rollout is the part of a service's rollout that an instance's requests need: which group of
// endpoints they go to, and the counts of how they end.
type Rollout struct {
	Gate    hitchrollout.Gate
	Counter hitchrollout.Counter

	// order is the operators' order; nil if there is none.
	order atomic.Pointer[learnedOrder]
	// waitingOld counts the requests that are about to be sent to an endpoint of an old
	// version.
	waitingOld atomic.Int64
}

// learnedOrder is an order with its times by this instance's clock.
type learnedOrder struct {
	hitchrollout.Order
	// isFromRecord is set if the time limit was taken from the record, as this instance learned
	// of the order later than others.
	isFromRecord bool
}

// rollouts are the rollouts by service. The map isn't changed once it is stored.
type rollouts = map[hitchfleet.ServiceID]*Rollout

// Rollout returns the rollout of a service, and nil if it has neither an order nor a record.
func (g *Gateway) Rollout(service hitchfleet.ServiceID) *Rollout {
	if all := g.rollouts.Load(); all != nil {
		return (*all)[service]
	}
	return nil
}

// Rollouts returns the rollouts by service, which mustn't be changed.
func (g *Gateway) Rollouts() map[hitchfleet.ServiceID]*Rollout {
	if all := g.rollouts.Load(); all != nil {
		return *all
	}
	return nil
}

// setRollouts replaces the orders and records by those of a view.
func (g *Gateway) setRollouts(now time.Time, view hitchview.View) {
	old := g.Rollouts()
	known := view.Rollouts()
	if len(known) == 0 && len(old) == 0 {
		return
	}
	next := make(rollouts, len(known))
	for service, r := range known {
		state := old[service]
		if state == nil {
			state = &Rollout{}
		}
		state.set(now, r, endpointsOf(view.Endpoints(), service))
		next[service] = state
	}
	for service, state := range old {
		if next[service] == nil { // requests in flight still use it
			state.Gate.SetOrder(now, nil, nil)
		}
	}
	g.rollouts.Store(&next)
}

// endpointsOf returns the endpoints of a service.
func endpointsOf(endpoints []hitchfleet.Endpoint, service hitchfleet.ServiceID) []hitchfleet.Endpoint {
	return slices.DeleteFunc(endpoints, func(e hitchfleet.Endpoint) bool { return e.Service != service })
}

// set sets the order, the record and the listed endpoints.
func (r *Rollout) set(now time.Time, known hitchview.Rollout, endpoints []hitchfleet.Endpoint) {
	order := r.order.Load()
	switch {
	case !known.HasOrder:
		order = nil
	case order == nil || order.Revision != known.OrderID || order.Version != known.Order.Version:
		order = newOrder(now, known)
		r.Counter.SetOrder(known.OrderID)
	}
	r.order.Store(order)
	var gateOrder *hitchrollout.Order
	if order != nil {
		gateOrder = &order.Order
	}
	var record *hitchrollout.Record
	if known.HasRecord && !known.IsReleased {
		record = &known.Record
	}
	if known.IsReleased && (order == nil || known.Record.IsFor(order.Order)) {
		gateOrder = nil // as if there had been no order
	}
	if gateOrder != nil && record != nil {
		record = CurrentOrPrevious(*gateOrder, *record, endpoints)
	}
	r.Gate.SetEndpoints(now, endpoints)
	r.Gate.SetOrder(now, gateOrder, record)
}

// Excluded returns the versions that get nothing after the end of a rollout.
func Excluded(record hitchrollout.Record) []string {
	switch record.Phase {
	case hitchrollout.Completed:
		return slices.Concat(record.Excluded, record.From)
	case hitchrollout.Reverted:
		return append(slices.Clone(record.Excluded), record.Version)
	default:
		return record.Excluded
	}
}

// CurrentOrPrevious returns a record if it is that of an order, or of an earlier one whose end
// still tells which versions are in use. If no endpoint is listed but those of the new version and
// those that the earlier order excludes, the latter serve in spite of that, and are the old ones
// to which the new version is compared: nil is returned then.
func CurrentOrPrevious(order hitchrollout.Order, record hitchrollout.Record, endpoints []hitchfleet.Endpoint) *hitchrollout.Record {
	if record.IsFor(order) {
		return &record
	}
	unwanted := append(slices.Clone(Excluded(record)), order.Version)
	if record.Phase != hitchrollout.Completed {
		unwanted = append(unwanted, record.Version)
	}
	isInUse := func(e hitchfleet.Endpoint) bool {
		return e.Service == record.Service && !e.Leaving && !slices.Contains(unwanted, e.Version)
	}
	if !slices.ContainsFunc(endpoints, isInUse) {
		return nil
	}
	return &record
}

// Order returns the operators' order, with the times at which this instance learned of it and
// at which its time is over; nil if there is none.
func (r *Rollout) Order() *hitchrollout.Order {
	if order := r.order.Load(); order != nil {
		return &order.Order
	}
	return nil
}

// WithOwnDeadline returns a record of the order with its deadline by this instance's clock, which
// may differ by seconds from that of the instance that wrote the record.
func (r *Rollout) WithOwnDeadline(record hitchrollout.Record) hitchrollout.Record {
	if order := r.order.Load(); order != nil && !order.isFromRecord && record.IsFor(order.Order) {
		record.Deadline = deadlineOf(order.Order)
	}
	return record
}

// deadlineOf returns the deadline that a record of an order has.
func deadlineOf(order hitchrollout.Order) int64 {
	return hitchrollout.NewRecord(order, nil, nil, 0).Deadline
}

// newOrder returns the order of a rollout that an instance learns of now. If there is a record
// already, the order is older: its time limit is that of the record.
func newOrder(now time.Time, known hitchview.Rollout) *learnedOrder {
	duration := time.Duration(known.Order.DurationMilliseconds) * time.Millisecond
	order := hitchrollout.Order{
		Service: known.Order.Service, Version: known.Order.Version, Revision: known.OrderID,
		OrderedAt: now, LimitAt: now.Add(duration),
	}
	if !known.HasRecord || !known.Record.IsFor(order) {
		return &learnedOrder{Order: order}
	}
	margin := order.LimitAt.Sub(time.UnixMilli(deadlineOf(order)))
	if limit := time.UnixMilli(known.Record.Deadline).Add(margin); limit.Before(order.LimitAt) {
		order.OrderedAt, order.LimitAt = limit.Add(-duration), limit
	}
	return &learnedOrder{Order: order, isFromRecord: true}
}

// MovesRequests reports whether a rollout moves all requests of a service to its new version.
func (g *Gateway) MovesRequests(now time.Time) bool {
	for _, r := range g.Rollouts() {
		if r.Gate.InForce(now).Phase == hitchrollout.Moving {
			return true
		}
	}
	return false
}

// isNew reports whether a version is the one that is rolled out.
func (r *Rollout) isNew(version string) bool {
	order := r.order.Load()
	return order != nil && order.Version == version
}

// hasLeft reports whether the rollout of an endpoint's service sends it no more requests. Such an
// endpoint may be stopped at any time, without draining: that is no crash.
func (g *Gateway) hasLeft(now time.Time, e hitchfleet.Endpoint) bool {
	r := g.Rollout(e.Service)
	if r == nil {
		return false
	}
	inForce := r.Gate.InForce(now)
	if inForce.Phase.IsEnded() {
		return !r.Gate.Allows(now, e, hitchrollout.AnyVersion)
	}
	return inForce.IsFull && !r.Gate.Allows(now, e, hitchrollout.NewVersion)
}

// RolloutCounts returns what this instance has counted for each service with an order.
func (g *Gateway) RolloutCounts(now time.Time) (out []hitchrollout.Counts) {
	all := g.Rollouts()
	for _, service := range slices.Sorted(maps.Keys(all)) {
		r := all[service]
		version, isActive := r.Gate.IsActive()
		if !isActive {
			continue
		}
		inFlightOld := g.Balancer.InFlightOf(func(e hitchfleet.Endpoint) bool { return e.Service == service && e.Version != version })
		out = append(out, r.Counter.Counts(now, service, r.Gate.InForce(now), inFlightOld+int(r.waitingOld.Load())))
	}
	return out
}

// rolloutState is what a request knows of the rollout of its service. The zero value is that of
// a service without one.
type rolloutState struct {
	*Rollout
	// hasArrived is set once the request was counted. group is that of attempt number attempt,
	// as chosen while inForce was in force.
	hasArrived bool
	group      hitchrollout.Group
	attempt    int
	inForce    hitchrollout.InForce
}

// chooseGroup chooses the group of endpoints for the request's next attempt, and again if another
// step was taken while the request waited to be sent. A stream that has begun goes on at its
// version, whichever group gets new requests.
func (g *Gateway) chooseGroup(req *proxyRequest) {
	r := &req.rollout
	if r.Rollout = g.Rollout(req.service); r.Rollout == nil {
		return
	}
	now := time.Now()
	number, inForce := req.logEntry.attempts+1, r.Gate.InForce(now)
	switch {
	case !r.hasArrived:
		r.hasArrived = true
		r.Counter.Arrive()
		if req.origin.source == hitchorigin.SourceNone {
			r.group = r.Gate.Choose(now)
		}
	case (number != r.attempt || inForce != r.inForce) && req.origin.source == hitchorigin.SourceNone:
		r.group = r.Gate.Retry(now)
	}
	r.attempt, r.inForce = number, inForce
}

// allowedEndpoints returns the function that says which endpoints may get the request's next
// attempt; nil means all of the service.
func (req *proxyRequest) allowedEndpoints() func(hitchfleet.Endpoint) bool {
	r := req.rollout
	if r.Rollout == nil {
		return nil
	}
	now := time.Now()
	if req.origin.source != hitchorigin.SourceNone {
		return func(e hitchfleet.Endpoint) bool { return r.Gate.AllowsStream(now, e) }
	}
	return func(e hitchfleet.Endpoint) bool { return r.Gate.Allows(now, e, r.group) }
}

// awaitSend records that the request may be sent to an endpoint of an old version until the
// returned function is called, so that the rollout doesn't complete meanwhile.
func (req *proxyRequest) awaitSend() (done func()) {
	r := req.rollout.Rollout
	if r == nil || req.rollout.group == hitchrollout.NewVersion {
		return func() {}
	}
	if req.origin.source != hitchorigin.SourceNone && r.isNew(req.origin.Version) {
		return func() {}
	}
	r.waitingOld.Add(1)
	return func() { r.waitingOld.Add(-1) }
}

// beginSample begins to count an attempt for the rollout of its service.
func (req *proxyRequest) beginSample(a *attempt) {
	r := req.rollout.Rollout
	if r == nil {
		return
	}
	version, isActive := r.Gate.IsActive()
	if !isActive {
		return
	}
	e := a.pick.Endpoint
	a.eventsBefore = req.stream.eventCount
	a.flight = r.Counter.Begin(a.sentAt, hitchrollout.Attempt{
		Route: hitchfleet.RouteID(req.route.Name), Run: e.Run(), IsNew: e.Version == version,
		IsCold: a.sentAt.Before(e.ColdUntil), UncachedTokens: a.pick.UncachedTokens,
	})
}

// endSample counts how an attempt has ended.
func (g *Gateway) endSample(req *proxyRequest, a *attempt, result hitchbalance.Result) {
	if a.flight == nil {
		return
	}
	now := time.Now()
	outcome := req.outcomeOf(now, a, result)
	if a.response != nil && req.isStreaming(a) {
		outcome.Events = req.stream.eventCount - a.eventsBefore
	} else if a.hasAnswered {
		outcome.Events = 1
	}
	a.flight.End(now, outcome)
	g.Metrics.countRolloutAttempt(req.service, a.pick.Endpoint.Version, outcome)
}

// outcomeOf returns what the end of an attempt says of the endpoint's version. An attempt that
// another one has replaced, as its endpoint was silent, has failed. So has one without a whole
// response by the request's deadline, as a version may be bad by not responding at all.
func (req *proxyRequest) outcomeOf(now time.Time, a *attempt, result hitchbalance.Result) (o hitchrollout.Outcome) {
	switch {
	case result == hitchbalance.ResultOK:
		o.IsFailure = a.response != nil && a.response.StatusCode >= http.StatusBadRequest
	case a.didNotRun || result == hitchbalance.ResultRefused || req.original.Context().Err() != nil:
		o.IsIgnored = true
	case result == hitchbalance.ResultAbandoned:
		o.IsFailure = !now.Before(req.effectiveDeadline)
		o.IsIgnored = !o.IsFailure
	default:
		o.IsFailure = true
	}
	return o
}

// ContactRollouts records that a hub's digest or a response of the store has come.
func (g *Gateway) ContactRollouts(now time.Time) {
	for _, r := range g.Rollouts() {
		r.Gate.Contact(now)
	}
}

// StopRollout applies a stop notice to the rollout of its service. It reports whether that
// changes what this instance sends to the new version.
func (g *Gateway) StopRollout(now time.Time, stop hitchrollout.StopMsg) bool {
	r := g.Rollout(stop.Service)
	return r != nil && r.Gate.Stop(now, stop)
}
