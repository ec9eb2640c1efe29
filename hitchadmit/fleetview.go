package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// SetFleetView sets a new view of the fleet: the owner of each endpoint, the
// endpoints that leave, and the zones that are out of service. Call it at each
// change, and often enough that ValidUntil doesn't pass. Requests that are
// queued at endpoints that this router no longer owns are refused with
// ReasonStale, and their requesters turn to the new owner. If the previous view
// had expired, the other routers may have replaced this one in the meantime, so
// it takes over its endpoints again. The slices of fleet must not change
// afterwards. If only ValidUntil has changed, it does the same as
// RenewFleetView.
func (c *Controller) SetFleetView(now time.Time, fleet FleetView, deferred []DeferredDecision) []DeferredDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.Limits.withDefaults()
	if v := c.view.Load(); v != nil && v.equals(&fleet, &limits) && c.renewView(now, fleet.ValidUntil) {
		return deferred
	}
	v := newView(now, fleet, limits)
	monotonic := c.viewClock.advanceAtMost(now, maxWait)
	v.validUntil = monotonic.Add(fleet.ValidUntil.Sub(now))
	v.previousExpired = !c.view.Load().isFresh(now, monotonic)
	c.view.Store(v)
	listed := make(map[hitchfleet.EndpointID]bool, len(fleet.Endpoints))
	for _, spec := range fleet.Endpoints {
		listed[spec.ID] = true
		deferred = c.configureEndpoint(now, v, spec, deferred)
	}
	deferred = c.removeUnlisted(now, listed, deferred)
	c.updatePoolMembers()
	return deferred
}

// configureEndpoint applies a new view to one listed endpoint.
func (c *Controller) configureEndpoint(now time.Time, v *view, spec hitchfleet.Endpoint, deferred []DeferredDecision) []DeferredDecision {
	s := c.shard(spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[spec.ID]
	if e == nil {
		if s.endpoints == nil {
			s.endpoints = make(map[hitchfleet.EndpointID]*endpoint)
		}
		e = &endpoint{}
		s.endpoints[spec.ID] = e
	}
	monotonic := s.clock.advance(now)
	owned := v.owns(spec)
	if owned && (!e.owned || v.previousExpired) {
		e.startTakeover(monotonic)
	}
	e.removeFromPool()
	e.spec, e.owned, e.available = spec, owned, v.isAvailable(spec)
	e.pool = c.poolOf(spec)
	e.tenants.updateWeights(v)
	op := c.newOpContext(s, e, now)
	return e.refreshQueue(&op, deferred)
}

// startTakeover makes this router the owner of an endpoint. A cold start that
// is known already remains in effect; any other phase remains only if a recent
// digest confirmed it.
func (e *endpoint) startTakeover(now time.Time) {
	e.takeoverUntil, e.handedOver = now.Add(TakeoverWindow), false
	if now.After(e.digestUsage.deadline) && e.coldStart.phase != phaseCold {
		e.coldStart.phase = phaseUnknown
	}
}

// RenewFleetView extends the validity of the last view, which is unchanged,
// until a later time. It returns false if the view had expired: only
// SetFleetView sets a new one.
func (c *Controller) RenewFleetView(now, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.renewView(now, until)
}

func (c *Controller) renewView(now, until time.Time) bool {
	v := c.view.Load()
	monotonic := c.viewClock.advanceAtMost(now, maxWait)
	if !v.isFresh(now, monotonic) {
		return false
	}
	renewed := *v
	renewed.receivedAt, renewed.fleet.ValidUntil = now, until
	renewed.validUntil = monotonic.Add(until.Sub(now))
	c.view.Store(&renewed)
	return true
}

// expireView marks the view as expired once its time has passed by the view's
// clock, even if the caller's clock was set back in the meantime.
func (c *Controller) expireView(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	monotonic := c.viewClock.advanceAtMost(now, maxWait)
	if v := c.view.Load(); v != nil && !v.expired && !monotonic.Before(v.validUntil) {
		expired := *v
		expired.expired = true
		c.view.Store(&expired)
	}
}

// removeFromPool subtracts the endpoint from the sums of its pool.
func (e *endpoint) removeFromPool() {
	available := e.available
	e.available = false
	e.updatePool()
	e.available = available
}

// removeUnlisted makes the endpoints that are no longer listed unavailable, and
// removes them once they have no load. An endpoint that is unlisted only
// briefly keeps its load.
func (c *Controller) removeUnlisted(now time.Time, listed map[hitchfleet.EndpointID]bool, deferred []DeferredDecision) []DeferredDecision {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			if listed[id] {
				continue
			}
			e.available = false
			op := c.newOpContext(s, e, now)
			deferred = e.refreshQueue(&op, deferred)
			if load := e.usage(); load.Requests == 0 && load.Cost == 0 {
				delete(s.endpoints, id)
			}
		}
		s.mu.Unlock()
	}
	return deferred
}

func (c *Controller) poolOf(spec hitchfleet.Endpoint) *pool {
	key := poolKey{region: spec.Region, route: spec.Route}
	p := c.pools[key]
	if p == nil {
		if c.pools == nil {
			c.pools = make(map[poolKey]*pool)
		}
		p = &pool{}
		c.pools[key] = p
	}
	return p
}

// updatePoolMembers rebuilds the list of members of each pool.
func (c *Controller) updatePoolMembers() {
	members := make(map[*pool][]member, len(c.pools))
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			members[e.pool] = append(members[e.pool], member{id: id, endpoint: e})
		}
		s.mu.Unlock()
	}
	for key, p := range c.pools {
		list := members[p]
		if len(list) == 0 {
			delete(c.pools, key)
		}
		p.members.Store(&list)
	}
}
