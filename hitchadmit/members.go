package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// SetMembers sets a new view of the fleet: the owner of each endpoint, the
// endpoints that leave, and the zones that are out of service. Call it at each
// change, and often enough that Members.Until doesn't pass. Requests that are
// queued at endpoints that this router no longer owns are refused with
// ReasonStale, and their requesters turn to the new owner. If the previous view
// had expired, the other routers may have replaced this one in the meantime, so
// it takes over its endpoints again. The slices of m must not change
// afterwards. If only Until has changed, it does the same as RenewFleetView.
func (o *Owners) SetMembers(now time.Time, m Members, deferred []Notice) []Notice {
	o.mu.Lock()
	defer o.mu.Unlock()
	limits := o.Limits.withDefaults()
	if v := o.view.Load(); v != nil && v.equals(&m, &limits) && o.renewView(now, m.Until) {
		return deferred
	}
	v := newView(now, m, limits)
	monotonic := o.viewClock.advanceAtMost(now, maxWait)
	v.validUntil = monotonic.Add(m.Until.Sub(now))
	v.previousExpired = !o.view.Load().isFresh(now, monotonic)
	o.view.Store(v)
	listed := make(map[hitchfleet.EndpointID]bool, len(m.Endpoints))
	for _, spec := range m.Endpoints {
		listed[spec.ID] = true
		deferred = o.configureEndpoint(now, v, spec, deferred)
	}
	deferred = o.removeUnlisted(now, listed, deferred)
	o.updatePoolMembers()
	return deferred
}

// configureEndpoint applies a new view to one listed endpoint.
func (o *Owners) configureEndpoint(now time.Time, v *view, spec hitchfleet.Endpoint, deferred []Notice) []Notice {
	s := o.shard(spec.ID)
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
	e.pool = o.poolOf(spec)
	e.tenants.updateWeights(v)
	op := o.newOpContext(s, e, now)
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
// until a later time. It returns false if the view had expired: only SetMembers
// sets a new one.
func (o *Owners) RenewFleetView(now, until time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renewView(now, until)
}

func (o *Owners) renewView(now, until time.Time) bool {
	v := o.view.Load()
	monotonic := o.viewClock.advanceAtMost(now, maxWait)
	if !v.isFresh(now, monotonic) {
		return false
	}
	renewed := *v
	renewed.receivedAt, renewed.members.Until = now, until
	renewed.validUntil = monotonic.Add(until.Sub(now))
	o.view.Store(&renewed)
	return true
}

// expireView marks the view as expired once its time has passed by the view's
// clock, even if the caller's clock was set back in the meantime.
func (o *Owners) expireView(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	monotonic := o.viewClock.advanceAtMost(now, maxWait)
	if v := o.view.Load(); v != nil && !v.expired && !monotonic.Before(v.validUntil) {
		expired := *v
		expired.expired = true
		o.view.Store(&expired)
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
func (o *Owners) removeUnlisted(now time.Time, listed map[hitchfleet.EndpointID]bool, deferred []Notice) []Notice {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			if listed[id] {
				continue
			}
			e.available = false
			op := o.newOpContext(s, e, now)
			deferred = e.refreshQueue(&op, deferred)
			if load := e.usage(); load.Requests == 0 && load.Cost == 0 {
				delete(s.endpoints, id)
			}
		}
		s.mu.Unlock()
	}
	return deferred
}

func (o *Owners) poolOf(spec hitchfleet.Endpoint) *pool {
	key := poolKey{region: spec.Region, route: spec.Route}
	p := o.pools[key]
	if p == nil {
		if o.pools == nil {
			o.pools = make(map[poolKey]*pool)
		}
		p = &pool{}
		o.pools[key] = p
	}
	return p
}

// updatePoolMembers rebuilds the list of members of each pool.
func (o *Owners) updatePoolMembers() {
	members := make(map[*pool][]member, len(o.pools))
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			members[e.pool] = append(members[e.pool], member{id: id, endpoint: e})
		}
		s.mu.Unlock()
	}
	for key, p := range o.pools {
		list := members[p]
		if len(list) == 0 {
			delete(o.pools, key)
		}
		p.members.Store(&list)
	}
}
