package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// shortage says what an endpoint lacks for an ask.
type shortage uint8

const (
	shortNothing shortage = iota
	shortCold             // the limit of its cold start
	shortBound            // the multiple of the mean load
	shortCapacity
	shortShare // the organisation is above its share and the rest is kept
)

func (s shortage) reason() hitchoutcome.Reason {
	if s == shortShare {
		return hitchoutcome.ReasonShareExceeded
	}
	return hitchoutcome.ReasonOverloaded
}

// limit is the most work that the endpoint may hold with one more ask of this
// cost, and what sets it.
func (e *endpoint) limit(l *Limits, cost int64) (int64, shortage) {
	bound := Bound(l.BoundFactor, l.floor(e.spec.Kind), e.pool.total.Load(), cost, e.pool.serving.Load())
	bound = int64(SettledShare * float64(bound))
	if capacity := l.capacity(e.spec.Kind); capacity < bound {
		return capacity, shortCapacity
	}
	return bound, shortBound
}

// slotShortage tells what the endpoint lacks to run one more request of a tenant
// at once. More would wait in its own queue, which knows no shares.
func (e *endpoint) slotShortage(t *tenant) shortage {
	running := e.load().Requests
	switch {
	case e.slots <= 0 || running <= 0:
		return shortNothing
	case running >= e.slots:
		return shortCapacity
	case running >= e.tenants.slots(t, e.slots):
		return shortShare
	default:
		return shortNothing
	}
}

// takeoverLimit is the most work that a new owner may grant by itself.
func (e *endpoint) takeoverLimit(l *Limits, cost int64) int64 {
	bound := Bound(l.BoundFactor, l.floor(e.spec.Kind), e.pool.total.Load(), cost, e.pool.serving.Load())
	return int64(TakeoverShare * float64(min(bound, l.capacity(e.spec.Kind))))
}

// room tells what the endpoint lacks for one more ask of a tenant. settled is
// false during a takeover and without a majority of the members.
func (e *endpoint) room(now time.Time, l *Limits, t *tenant, cost int64, settled bool) shortage {
	load := e.load()
	requests := e.warmth.limit(now, l.ColdLimit)
	if e.warmth.phase != phaseWarm && (!settled || load.Requests >= requests) {
		return shortCold
	}
	limit, limited := e.limit(l, cost)
	if !settled {
		if e.granted.Cost+cost > e.takeoverLimit(l, cost) || load.Cost+cost > limit {
			return shortBound
		}
		return shortNothing
	}
	if load.Cost == 0 && load.Requests == 0 {
		return shortNothing
	}
	if load.Cost+cost > limit {
		return limited
	}
	if load.Cost+cost > e.tenants.limit(t, cost, limit) {
		return shortShare
	}
	return e.slotShortage(t)
}

// The times that a grant is taken to last before any was seen to end.
const (
	firstEngineHolding  = 10.0 // seconds
	firstServiceHolding = 1.0  // seconds
)

// longestWait bounds the estimates of waits.
const longestWait = time.Hour

// holding is how long a grant lasts, in seconds.
func (e *endpoint) holding() float64 {
	switch {
	case e.meanHolding > 0:
		return e.meanHolding
	case e.spec.Kind == hitchfleet.KindService:
		return firstServiceHolding
	default:
		return firstEngineHolding
	}
}

// wait estimates when a tenant's work of cost will have found room. Work in hand
// drains at its amount over the mean time of a grant (Little's law), and a
// tenant's queued work at the part of that which the tenant holds, or has a right
// to. ahead is the queued work before it, own the tenant's part of that.
func (e *endpoint) wait(l *Limits, t *tenant, ahead, own, cost int64) time.Duration {
	whole, _ := e.limit(l, cost)
	limit := e.tenants.limit(t, cost, whole)
	load := e.load().Cost
	if e.slotShortage(t) != shortNothing {
		limit = min(limit, load)
	}
	over := load + ahead + cost - limit
	if over <= 0 && e.warmth.phase == phaseWarm {
		return 0
	}
	endpointRate := float64(max(load, cost)) / e.holding()
	tenantRate := float64(max(t.granted.Cost, min(e.tenants.fair(t, whole), load), cost)) / e.holding()
	seconds := max(float64(max(over, cost))/endpointRate, float64(own+cost)/tenantRate)
	return time.Duration(min(seconds, longestWait.Seconds()) * float64(time.Second))
}
