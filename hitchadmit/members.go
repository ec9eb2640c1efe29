package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// SetMembers takes a new view of the fleet: who owns which endpoint, which of
// them leave and which zones are out. Call it at each change, and often enough
// that Members.Until doesn't pass. Queued asks at endpoints that this router no
// longer owns are refused as Stale: the asker turns to the new owner. If the last
// view had lapsed, the others may have replaced this router in the meantime: it
// takes its endpoints over anew. The slices of m must not change afterwards. If
// nothing but Until has changed, it does no more than Renew.
func (o *Owners) SetMembers(now time.Time, m Members, due []Notice) []Notice {
	o.mu.Lock()
	defer o.mu.Unlock()
	limits := o.Limits.withDefaults()
	if v := o.view.Load(); v != nil && v.isSame(&m, &limits) && o.renew(now, m.Until) {
		return due
	}
	v := newView(now, m, limits)
	steady := o.age.advanceAtMost(now, longestWait)
	v.until = steady.Add(m.Until.Sub(now))
	v.lapsed = !o.view.Load().fresh(now, steady)
	o.view.Store(v)
	listed := make(map[hitchfleet.EndpointID]bool, len(m.Endpoints))
	for _, spec := range m.Endpoints {
		listed[spec.ID] = true
		due = o.place(now, v, spec, due)
	}
	due = o.unlist(now, listed, due)
	o.regroup()
	return due
}

// place brings one listed endpoint up to date.
func (o *Owners) place(now time.Time, v *view, spec hitchfleet.Endpoint, due []Notice) []Notice {
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
	steady := s.clock.advance(now)
	owned := v.owns(spec)
	if owned && (!e.owned || v.lapsed) {
		e.takeOver(steady)
	}
	e.leavePool()
	e.spec, e.owned, e.open = spec, owned, v.isOpen(spec)
	e.pool = o.poolOf(spec)
	e.tenants.reweigh(v)
	ev := o.event(s, e, now)
	return e.settle(&ev, due)
}

// takeOver starts the ownership of an endpoint. What is known of its cold start
// counts only if a digest told it just now.
func (e *endpoint) takeOver(now time.Time) {
	e.takeover, e.handed = now.Add(TakeoverWindow), false
	if now.After(e.remote.deadline) && e.warmth.phase != phaseCold {
		e.warmth.phase = phaseUnknown
	}
}

// Renew lets the last view count until a later time: nothing in it has changed. It
// returns false if the view had lapsed; only SetMembers makes another.
func (o *Owners) Renew(now, until time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renew(now, until)
}

func (o *Owners) renew(now, until time.Time) bool {
	v := o.view.Load()
	steady := o.age.advanceAtMost(now, longestWait)
	if !v.fresh(now, steady) {
		return false
	}
	renewed := *v
	renewed.asOf, renewed.members.Until = now, until
	renewed.until = steady.Add(until.Sub(now))
	o.view.Store(&renewed)
	return true
}

// ageView notes when the view has become too old, also where the clock was set
// back in the meantime.
func (o *Owners) ageView(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	steady := o.age.advanceAtMost(now, longestWait)
	if v := o.view.Load(); v != nil && !v.over && !steady.Before(v.until) {
		old := *v
		old.over = true
		o.view.Store(&old)
	}
}

// leavePool takes the endpoint out of the sums of its pool.
func (e *endpoint) leavePool() {
	open := e.open
	e.open = false
	e.publish()
	e.open = open
}

// unlist closes the endpoints that are off the list, and forgets them once
// nothing is held there: an endpoint that flaps keeps its load.
func (o *Owners) unlist(now time.Time, listed map[hitchfleet.EndpointID]bool, due []Notice) []Notice {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			if listed[id] {
				continue
			}
			e.open = false
			ev := o.event(s, e, now)
			due = e.settle(&ev, due)
			if load := e.load(); load.Requests == 0 && load.Cost == 0 {
				delete(s.endpoints, id)
			}
		}
		s.mu.Unlock()
	}
	return due
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

// regroup renews each pool's list of members.
func (o *Owners) regroup() {
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
