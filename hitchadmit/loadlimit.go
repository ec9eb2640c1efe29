package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// limitKind is a limit that a slot request can exceed.
type limitKind uint8

const (
	noLimit        limitKind = iota
	coldStartLimit           // the number of requests during a cold start
	meanLoadLimit            // the multiple of the mean load
	capacityLimit
	shareLimit // the organisation is above its fair share, and the rest is reserved
)

func (k limitKind) refusalReason() hitchoutcome.Reason {
	if k == shareLimit {
		return hitchoutcome.ReasonShareExceeded
	}
	return hitchoutcome.ReasonOverloaded
}

// loadLimit returns the most work that the endpoint may hold with one more
// request of this cost, and the limit that determines it.
func (e *endpoint) loadLimit(l *Limits, cost int64) (int64, limitKind) {
	bound := LoadBound(l.BoundFactor, l.floor(e.spec.Kind), e.pool.totalLoad.Load(), cost, e.pool.serving.Load())
	bound = int64(SettledShare * float64(bound))
	if capacity := l.capacity(e.spec.Kind); capacity < bound {
		return capacity, capacityLimit
	}
	return bound, meanLoadLimit
}

// exceededConcurrency compares the number of running requests with
// maxConcurrent, and returns the limit that one more request of the tenant
// would exceed. Above maxConcurrent, requests would wait in the endpoint's own
// queue, which doesn't apply fair shares.
func (e *endpoint) exceededConcurrency(t *tenant) limitKind {
	running := e.usage().Requests
	switch {
	case e.maxConcurrent <= 0 || running <= 0:
		return noLimit
	case running >= e.maxConcurrent:
		return capacityLimit
	case running >= e.tenants.concurrencyLimit(t, e.maxConcurrent):
		return shareLimit
	default:
		return noLimit
	}
}

// takeoverLimit returns the most work that a new owner may grant during the
// takeover.
func (e *endpoint) takeoverLimit(l *Limits, cost int64) int64 {
	bound := LoadBound(l.BoundFactor, l.floor(e.spec.Kind), e.pool.totalLoad.Load(), cost, e.pool.serving.Load())
	return int64(TakeoverShare * float64(min(bound, l.capacity(e.spec.Kind))))
}

// exceededLimit returns the limit that one more request of a tenant would
// exceed, or noLimit. settled is false during a takeover, and while the router
// sees no majority of the listed routers. A settled owner grants a request of
// any cost at an idle endpoint.
func (e *endpoint) exceededLimit(now time.Time, l *Limits, t *tenant, cost int64, settled bool) limitKind {
	load := e.usage()
	maxRequests := e.coldStart.requestLimit(now, l.ColdLimit)
	if e.coldStart.phase != phaseWarm && (!settled || load.Requests >= maxRequests) {
		return coldStartLimit
	}
	maxLoad, kind := e.loadLimit(l, cost)
	if !settled {
		if e.granted.Cost+cost > e.takeoverLimit(l, cost) || load.Cost+cost > maxLoad {
			return meanLoadLimit
		}
		return noLimit
	}
	if load.Cost == 0 && load.Requests == 0 {
		return noLimit
	}
	if load.Cost+cost > maxLoad {
		return kind
	}
	if load.Cost+cost > e.tenants.loadLimit(t, cost, maxLoad) {
		return shareLimit
	}
	return e.exceededConcurrency(t)
}

// The assumed durations of a grant, before the first one has ended.
const (
	initialEngineGrantSeconds  = 10.0
	initialServiceGrantSeconds = 1.0
)

// maxWait limits the estimates of waits, and the time by which one event may
// advance the view's clock.
const maxWait = time.Hour

// expectedGrantSeconds returns how long a grant is expected to last.
func (e *endpoint) expectedGrantSeconds() float64 {
	switch {
	case e.meanGrantSeconds > 0:
		return e.meanGrantSeconds
	case e.spec.Kind == hitchfleet.KindService:
		return initialServiceGrantSeconds
	default:
		return initialEngineGrantSeconds
	}
}

// estimateWait estimates how long a tenant's request waits for its slot. The
// endpoint finishes work at the rate of its load divided by the mean duration
// of a grant (Little's law); the tenant's queued work is finished at the
// tenant's part of this rate, or at its fair share if that is more. ahead is
// the queued work ahead of the request, and own the tenant's part of that.
func (e *endpoint) estimateWait(l *Limits, t *tenant, ahead, own, cost int64) time.Duration {
	fullLimit, _ := e.loadLimit(l, cost)
	limit := e.tenants.loadLimit(t, cost, fullLimit)
	load := e.usage().Cost
	if e.exceededConcurrency(t) != noLimit {
		limit = min(limit, load)
	}
	excess := load + ahead + cost - limit
	if excess <= 0 && e.coldStart.phase == phaseWarm {
		return 0
	}
	endpointRate := float64(max(load, cost)) / e.expectedGrantSeconds()
	tenantRate := float64(max(t.granted.Cost, min(e.tenants.fairShare(t, fullLimit), load), cost)) / e.expectedGrantSeconds()
	seconds := max(float64(max(excess, cost))/endpointRate, float64(own+cost)/tenantRate)
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}
