package hitchorder

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// observeFor is how old an observation may be that an order is based on.
	observeFor = 10 * time.Second
	// repeatEvery is when an order is repeated whose effect isn't seen.
	repeatEvery = 20 * time.Second
	// refusedFor is how long an engine is left alone that has refused an order.
	refusedFor = time.Minute
)

// Reconciler compares what engines shall serve with what they do, and orders the
// difference, a little at a time. It is an immutable value. The zero value has
// ordered nothing yet.
type Reconciler struct {
	// LoadsPerMinute bounds the loads from the weight store; 0 means 6.
	LoadsPerMinute int

	number     uint64
	nextLoadAt time.Time
	pending    []pending // at most one for each engine
}

// pending is an order whose effect isn't seen yet.
type pending struct {
	order    Order
	sentAt   time.Time
	repeatAt time.Time
}

// Reconcile returns the orders to give now. It orders nothing on the word of an
// observation from before the grant is clear or before the engine's latest
// order, so each order is verified by a later observation, and repeated if it
// had no effect.
func (r Reconciler) Reconcile(g Grant, desired []Desired, observed []Observed, now time.Time) (Reconciler, []Order) {
	if g.Number == 0 || !now.Before(g.Until) {
		return Reconciler{LoadsPerMinute: r.LoadsPerMinute}, nil
	}
	if g.Number != r.number {
		r = Reconciler{LoadsPerMinute: r.LoadsPerMinute, number: g.Number, nextLoadAt: now.Add(r.loadEvery())}
	}
	views := lo.GroupBy(r.expect(engines(Settle(desired, observed), observed)), func(e engine) hitchfleet.RouteID {
		return e.Endpoint.Route
	})
	routes := lo.Keys(views)
	slices.Sort(routes)
	var orders []Order
	for _, id := range routes {
		var given []Order
		r, given = r.reconcileRoute(route{engines: views[id]}, g, now)
		orders = append(orders, given...)
	}
	return r, orders
}

// Answered notes what became of an order.
func (r Reconciler) Answered(a Answer, now time.Time) Reconciler {
	if a.Kind == OrderLater && a.Order.loads() && a.RetryAt.After(r.nextLoadAt) {
		r.nextLoadAt = a.RetryAt
	}
	r.pending = slices.Clone(r.pending)
	for i, p := range r.pending {
		if p.order != a.Order {
			continue
		}
		switch a.Kind {
		case OrderLater:
			r.pending[i].repeatAt = a.RetryAt
		case OrderRefused:
			r.pending[i].repeatAt = now.Add(refusedFor)
		}
	}
	return r
}

func (r Reconciler) loadEvery() time.Duration {
	n := r.LoadsPerMinute
	if n <= 0 {
		n = 6
	}
	return time.Minute / time.Duration(n)
}

// reconcileRoute gives the orders of one route.
func (r Reconciler) reconcileRoute(v route, g Grant, now time.Time) (Reconciler, []Order) {
	var orders []Order
	for i, e := range v.engines {
		if !r.isDue(e, g, now) {
			continue
		}
		o, ok := v.next(e)
		if !ok || (o.loads() && now.Before(r.nextLoadAt)) || !v.mayChange(e, o) {
			if o, ok = r.holdNumber(e); !ok {
				continue
			}
		}
		o.Number, o.Endpoint, o.URL, o.Route = g.Number, e.Endpoint.ID, e.Endpoint.URL, e.Endpoint.Route
		o.ChecksFencing = e.ChecksFencing
		o.Deadline = earlier(now.Add(OrderFlight), g.Until)
		r = r.sent(o, now)
		v.engines[i] = e.after(o)
		orders = append(orders, o)
	}
	return r, orders
}

// expect adds to what was seen the effect of orders that isn't seen yet, so that
// an engine that is about to stop serving isn't counted on.
func (r Reconciler) expect(all []engine) []engine {
	for i, e := range all {
		all[i].expected = e.seen
		if p, ok := r.pendingOf(e.Endpoint.ID); ok && !p.isSettled(e.seen) {
			all[i] = e.after(p.order)
		}
	}
	return all
}

func (r Reconciler) pendingOf(id hitchfleet.EndpointID) (pending, bool) {
	return lo.Find(r.pending, func(p pending) bool { return p.order.Endpoint == id })
}

// isSettled tells whether an observation shows that the order had its effect.
func (p pending) isSettled(seen Observed) bool {
	return seen.AsOf.After(p.sentAt) && p.order.isDone(seen)
}

// isDue tells whether an engine's state is known well enough for an order, and
// no earlier order waits for its effect. Observations from before the grant is
// clear don't count: an order of the holder before may have arrived since.
func (r Reconciler) isDue(e engine, g Grant, now time.Time) bool {
	if e.seen.AsOf.Before(g.ClearAt) || !now.Before(e.seen.AsOf.Add(observeFor)) {
		return false
	}
	p, ok := r.pendingOf(e.Endpoint.ID)
	return !ok || p.isSettled(e.seen) || (e.seen.AsOf.After(p.sentAt) && !now.Before(p.repeatAt))
}

// holdNumber returns the order that tells an engine the new number, if the
// engine checks numbers and has had no order with this one. After it, a paused
// holder of an older number can do nothing there.
func (r Reconciler) holdNumber(e engine) (Order, bool) {
	if _, ok := r.pendingOf(e.Endpoint.ID); ok || !e.ChecksFencing {
		return Order{}, false
	}
	return Order{Kind: HoldNumber}, true
}

// sent notes an order. A load uses up the weight store's rate.
func (r Reconciler) sent(o Order, now time.Time) Reconciler {
	r.pending = slices.DeleteFunc(slices.Clone(r.pending), func(p pending) bool {
		return p.order.Endpoint == o.Endpoint
	})
	r.pending = append(r.pending, pending{order: o, sentAt: now, repeatAt: now.Add(repeatEvery)})
	if o.loads() {
		r.nextLoadAt = now.Add(r.loadEvery())
	}
	return r
}

// isDone tells whether an observation shows the order's effect.
func (o Order) isDone(seen Observed) bool {
	held, _ := seen.has(o.Name)
	switch o.Kind {
	case LoadVersion:
		return held
	case UnloadVersion:
		return !held
	case LoadAdapter:
		return slices.Contains(seen.Adapters, o.Name)
	case HoldNumber:
		return true
	case UnloadAdapter:
		return !slices.Contains(seen.Adapters, o.Name)
	default:
		return seen.Role == o.Name
	}
}
