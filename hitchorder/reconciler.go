package hitchorder

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// maxObservationAge is the maximum age of an observation that an order is based
	// on.
	maxObservationAge = 10 * time.Second
	// repeatInterval is when an order without an observed effect is sent again.
	repeatInterval = 20 * time.Second
	// refusalBackoff is how long to wait before an engine that has refused an order gets
	// another one.
	refusalBackoff = time.Minute
)

// Reconciler compares the desired and observed states of engines, and orders a few
// changes at a time until they match. It is an immutable value. The zero value has
// sent no orders yet.
type Reconciler struct {
	// LoadsPerMinute limits the loads from the weight store; 0 means 6.
	LoadsPerMinute int

	number     uint64
	nextLoadAt time.Time
	pending    []pendingOrder // at most one for each engine
}

// pendingOrder is an order whose effect hasn't been observed yet.
type pendingOrder struct {
	order    Order
	sentAt   time.Time
	repeatAt time.Time
}

// Reconcile returns the orders to send now. It ignores observations from before
// Grant.PreviousOrdersDoneAt, and those from before the engine's latest order. So each
// order is verified by a later observation, and sent again if it had no effect.
func (r Reconciler) Reconcile(g Grant, desired []Desired, observed []Observed, now time.Time) (Reconciler, []Order) {
	if g.Number == 0 || !now.Before(g.Until) {
		return Reconciler{LoadsPerMinute: r.LoadsPerMinute}, nil
	}
	if g.Number != r.number {
		r = Reconciler{LoadsPerMinute: r.LoadsPerMinute, number: g.Number, nextLoadAt: now.Add(r.loadInterval())}
	}
	byRoute := lo.GroupBy(r.withExpectedStates(pairStates(MinimizeLoads(desired, observed), observed)), func(e engine) hitchfleet.RouteID {
		return e.Endpoint.Route
	})
	routes := lo.Keys(byRoute)
	slices.Sort(routes)
	var orders []Order
	for _, id := range routes {
		var routeOrders []Order
		r, routeOrders = r.reconcileRoute(route{engines: byRoute[id]}, g, now)
		orders = append(orders, routeOrders...)
	}
	return r, orders
}

// RecordResult records the result of an order.
func (r Reconciler) RecordResult(result Result, now time.Time) Reconciler {
	if result.Kind == OrderDeferred && result.Order.isLoad() && result.RetryAt.After(r.nextLoadAt) {
		r.nextLoadAt = result.RetryAt
	}
	r.pending = slices.Clone(r.pending)
	for i, p := range r.pending {
		if p.order != result.Order {
			continue
		}
		switch result.Kind {
		case OrderDeferred:
			r.pending[i].repeatAt = result.RetryAt
		case OrderRefused:
			r.pending[i].repeatAt = now.Add(refusalBackoff)
		}
	}
	return r
}

func (r Reconciler) loadInterval() time.Duration {
	n := r.LoadsPerMinute
	if n <= 0 {
		n = 6
	}
	return time.Minute / time.Duration(n)
}

// reconcileRoute returns the orders for the engines of one route.
func (r Reconciler) reconcileRoute(rt route, g Grant, now time.Time) (Reconciler, []Order) {
	var orders []Order
	for i, e := range rt.engines {
		if !r.mayOrder(e, g, now) {
			continue
		}
		o, ok := rt.nextOrder(e)
		if !ok || (o.isLoad() && now.Before(r.nextLoadAt)) || !rt.mayChange(e, o) {
			if o, ok = r.setNumber(e); !ok {
				continue
			}
		}
		o.Number, o.Endpoint, o.URL, o.Route = g.Number, e.Endpoint.ID, e.Endpoint.URL, e.Endpoint.Route
		o.ChecksFencing = e.ChecksFencing
		o.Deadline = earlier(now.Add(OrderTimeout), g.Until)
		r = r.recordSent(o, now)
		rt.engines[i] = e.withExpected(o)
		orders = append(orders, o)
	}
	return r, orders
}

// withExpectedStates sets the expected state of each engine: the observed state with
// the effect of its pending order. So an engine that is about to unload a version
// doesn't count as ready.
func (r Reconciler) withExpectedStates(all []engine) []engine {
	for i, e := range all {
		all[i].expected = e.seen
		if p, ok := r.findPending(e.Endpoint.ID); ok && !p.hasTakenEffect(e.seen) {
			all[i] = e.withExpected(p.order)
		}
	}
	return all
}

func (r Reconciler) findPending(id hitchfleet.EndpointID) (pendingOrder, bool) {
	return lo.Find(r.pending, func(p pendingOrder) bool { return p.order.Endpoint == id })
}

// hasTakenEffect reports whether a later observation shows the order's effect.
func (p pendingOrder) hasTakenEffect(seen Observed) bool {
	return seen.AsOf.After(p.sentAt) && p.order.isVisibleIn(seen)
}

// mayOrder reports whether the observation of an engine is recent enough for a new
// order, and its pending order, if any, has taken effect or may be sent again.
// Observations from before Grant.PreviousOrdersDoneAt are ignored: an order of the
// previous holder may have arrived since.
func (r Reconciler) mayOrder(e engine, g Grant, now time.Time) bool {
	if e.seen.AsOf.Before(g.PreviousOrdersDoneAt) || !now.Before(e.seen.AsOf.Add(maxObservationAge)) {
		return false
	}
	p, ok := r.findPending(e.Endpoint.ID)
	return !ok || p.hasTakenEffect(e.seen) || (e.seen.AsOf.After(p.sentAt) && !now.Before(p.repeatAt))
}

// setNumber returns the order that sets an engine's fencing number, if the engine
// checks numbers and has had no order with the current one. Afterwards the engine
// rejects the orders of a paused holder with an older number.
func (r Reconciler) setNumber(e engine) (Order, bool) {
	if _, ok := r.findPending(e.Endpoint.ID); ok || !e.ChecksFencing {
		return Order{}, false
	}
	return Order{Kind: SetNumber}, true
}

// recordSent records an order as pending. A load delays the next load, to keep to
// LoadsPerMinute.
func (r Reconciler) recordSent(o Order, now time.Time) Reconciler {
	r.pending = slices.DeleteFunc(slices.Clone(r.pending), func(p pendingOrder) bool {
		return p.order.Endpoint == o.Endpoint
	})
	r.pending = append(r.pending, pendingOrder{order: o, sentAt: now, repeatAt: now.Add(repeatInterval)})
	if o.isLoad() {
		r.nextLoadAt = now.Add(r.loadInterval())
	}
	return r
}

// isVisibleIn reports whether an observed state shows the order's effect.
func (o Order) isVisibleIn(seen Observed) bool {
	held, _ := seen.versionState(o.Name)
	switch o.Kind {
	case LoadVersion:
		return held
	case UnloadVersion:
		return !held
	case LoadAdapter:
		return slices.Contains(seen.Adapters, o.Name)
	case SetNumber:
		return true
	case UnloadAdapter:
		return !slices.Contains(seen.Adapters, o.Name)
	default:
		return seen.Role == o.Name
	}
}
