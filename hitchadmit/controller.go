package hitchadmit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// shardCount is the number of locks that the endpoints are divided among.
const shardCount = 64

// Controller is the admission controller of one router. It decides on the slot
// requests for the endpoints that the router owns. The zero value is ready to
// use with the default Limits, and grants nothing before SetFleetView is
// called. All methods are safe for concurrent use. They append decisions on
// requests that were queued before to deferred and return it, so that a caller
// may reuse its buffer.
type Controller struct {
	// Limits are read by each SetFleetView.
	Limits Limits

	view   atomic.Pointer[view]
	shards [shardCount]shard

	mu    sync.Mutex // guards the fields below and orders calls of SetFleetView
	pools map[poolKey]*pool
	// viewClock measures the age of the view. It counts all time that passes,
	// because a paused router must not grant on an old view.
	viewClock monotonicClock
}

type shard struct {
	mu        sync.Mutex
	clock     monotonicClock
	endpoints map[hitchfleet.EndpointID]*endpoint
}

func (c *Controller) shard(id hitchfleet.EndpointID) *shard {
	return &c.shards[xxhash.Sum64String(string(id))%shardCount]
}

// newOpContext returns the context of an operation on one endpoint. The shard's
// lock must be held.
func (c *Controller) newOpContext(s *shard, e *endpoint, now time.Time) opContext {
	monotonic := s.clock.advance(now)
	v := c.view.Load()
	return opContext{
		now:     monotonic,
		wallNow: now,
		view:    v,
		settled: v != nil && v.settled && e != nil && !monotonic.Before(e.takeoverUntil),
	}
}

// RequestSlot decides on a slot request. The decision on a Queued request
// follows in the deferred decisions of a later call, before the request's
// deadline. The deferred decisions of this call include refusals of requests
// that it evicted from the queue.
func (c *Controller) RequestSlot(now time.Time, req SlotRequest, deferred []DeferredDecision) (Decision, []DeferredDecision) {
	req.normalize()
	s := c.shard(req.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[req.Endpoint]
	op := c.newOpContext(s, e, now)
	if req.SentAt.IsZero() {
		req.SentAt = now
	}
	if e == nil {
		return newRefusal(&req, op.now, op.now.Add(minRetryDelay), hitchoutcome.ReasonStale), deferred
	}
	return e.decide(&op, &req, deferred)
}

// updateEndpoint calls update on an endpoint and appends the decisions that
// result from it.
func (c *Controller) updateEndpoint(now time.Time, id hitchfleet.EndpointID, deferred []DeferredDecision, update func(*endpoint, *opContext)) []DeferredDecision {
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[id]
	if e == nil {
		return deferred
	}
	op := c.newOpContext(s, e, now)
	update(e, &op)
	return e.refreshQueue(&op, deferred)
}

// ReleaseSlot returns a slot or withdraws a queued request, and appends the
// grants that now fit. A second call for the same slot has no effect.
func (c *Controller) ReleaseSlot(now time.Time, r Release, deferred []DeferredDecision) []DeferredDecision {
	s := c.shard(r.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return deferred
	}
	op := c.newOpContext(s, e, now)
	e.releaseGrant(op.now, r.ID)
	if i := e.queue.indexOf(r.ID); i >= 0 {
		e.dequeue(i)
	}
	return e.refreshQueue(&op, deferred)
}

// HandleHeartbeat renews the grants that a requester holds.
func (c *Controller) HandleHeartbeat(now time.Time, h Heartbeat, deferred []DeferredDecision) []DeferredDecision {
	return c.updateEndpoint(now, h.Endpoint, deferred, func(e *endpoint, op *opContext) {
		for _, id := range h.Grants {
			if g, ok := e.grants[id]; ok && g.requester == h.Requester {
				g.deadline = op.now.Add(GrantTTL)
				e.grants[id] = g
			}
		}
		e.setGrantedByOthers(op.now, h.Requester, h.GrantedByOthers)
	})
}

// RecordFirstToken records a first-token time. Consecutive slow ones indicate a
// cold start that the endpoint doesn't report; at most half of a route's
// endpoints are marked as cold for this reason.
func (c *Controller) RecordFirstToken(now time.Time, f FirstTokenSample, deferred []DeferredDecision) []DeferredDecision {
	return c.updateEndpoint(now, f.Endpoint, deferred, func(e *endpoint, op *opContext) {
		mayMarkCold := e.pool != nil && 2*(e.pool.serving.Load()-1) >= e.pool.available.Load()
		e.coldStart.observeFirstToken(op.now, e.spec.Kind, f.FirstTokenAt.Sub(f.DispatchedAt), mayMarkCold)
	})
}

// ApplyLoadReport applies an endpoint's report of its own state, corrected by
// what was granted since the report's AsOf. AsOf must be by the clock of this
// router.
func (c *Controller) ApplyLoadReport(now time.Time, r LoadReport, deferred []DeferredDecision) []DeferredDecision {
	return c.updateEndpoint(now, r.Endpoint, deferred, func(e *endpoint, op *opContext) {
		s := c.shard(r.Endpoint)
		if now.Sub(r.AsOf) < ReportTTL {
			e.applyReport(op.now, s.clock.toMonotonic(r.AsOf), r)
		}
	})
}

// IsSettled reports whether this router knows the load of its endpoints: none
// of them is in a takeover, and each has reported its state. Until then the
// router refuses some requests.
func (c *Controller) IsSettled(now time.Time) bool {
	for i := range c.shards {
		if !c.shardSettled(&c.shards[i], now) {
			return false
		}
	}
	return c.view.Load() != nil
}

func (c *Controller) shardSettled(s *shard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		op := c.newOpContext(s, e, now)
		if e.owned && !e.handedOver && (!op.settled || e.coldStart.phase == phaseUnknown) {
			return false
		}
	}
	return true
}

// Tick removes what has expired at all endpoints, and appends the grants and
// refusals that result from it. Call it a few times a second.
func (c *Controller) Tick(now time.Time, deferred []DeferredDecision) []DeferredDecision {
	c.expireView(now)
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, e := range s.endpoints {
			op := c.newOpContext(s, e, now)
			deferred = e.refreshQueue(&op, deferred)
		}
		s.mu.Unlock()
	}
	return deferred
}
