package hitchadmit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// shardCount is the number of locks that the endpoints are spread over.
const shardCount = 64

// Owners decides on the asks for the endpoints that one router owns. The zero
// value is ready with the default Limits; it grants nothing before SetMembers.
// All methods are safe for several goroutines. They append what falls due to the
// notices passed in and return them, so that a caller may reuse its buffer.
type Owners struct {
	// Limits are read by each SetMembers.
	Limits Limits

	view   atomic.Pointer[view]
	shards [shardCount]shard

	mu    sync.Mutex // guards the fields below and orders SetMembers
	pools map[poolKey]*pool
	// age is the clock of the view. It counts all time that passes, as a paused
	// router must not grant on an old view.
	age clock
}

type shard struct {
	mu        sync.Mutex
	clock     clock
	endpoints map[hitchfleet.EndpointID]*endpoint
}

func (o *Owners) shard(id hitchfleet.EndpointID) *shard {
	return &o.shards[xxhash.Sum64String(string(id))%shardCount]
}

// event starts a change of one endpoint. The shard's lock must be held.
func (o *Owners) event(s *shard, e *endpoint, now time.Time) event {
	steady := s.clock.advance(now)
	v := o.view.Load()
	return event{
		now:     steady,
		real:    now,
		view:    v,
		settled: v != nil && v.settled && e != nil && !steady.Before(e.takeover),
	}
}

// Ask decides on an ask for a slot. A Queued ask gets its Notice later, before
// its deadline. The notices are refusals of asks that it pushed out of the queue.
func (o *Owners) Ask(now time.Time, a Ask, due []Notice) (Decision, []Notice) {
	a.sane()
	s := o.shard(a.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[a.Endpoint]
	ev := o.event(s, e, now)
	if a.SentAt.IsZero() {
		a.SentAt = now
	}
	if e == nil {
		return refuse(&a, ev.now, ev.now.Add(minRetry), hitchoutcome.ReasonStale), due
	}
	return e.ask(&ev, &a, due)
}

// change applies f to an endpoint and appends what falls due by it.
func (o *Owners) change(now time.Time, id hitchfleet.EndpointID, due []Notice, f func(*endpoint, *event)) []Notice {
	s := o.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[id]
	if e == nil {
		return due
	}
	ev := o.event(s, e, now)
	f(e, &ev)
	return e.settle(&ev, due)
}

// Release takes a slot back and returns the grants that it makes room for. A
// second Release of the same slot does nothing.
func (o *Owners) Release(now time.Time, r Release, due []Notice) []Notice {
	s := o.shard(r.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[r.Endpoint]
	if e == nil {
		return due
	}
	ev := o.event(s, e, now)
	e.release(ev.now, r.ID)
	if i := e.queue.find(r.ID); i >= 0 {
		e.unqueue(i)
	}
	return e.settle(&ev, due)
}

// Heartbeat renews the grants that an asker holds.
func (o *Owners) Heartbeat(now time.Time, h Heartbeat, due []Notice) []Notice {
	return o.change(now, h.Endpoint, due, func(e *endpoint, ev *event) {
		for _, id := range h.Grants {
			if g, ok := e.grants[id]; ok && g.asker == h.Asker {
				g.deadline = ev.now.Add(GrantLife)
				e.grants[id] = g
			}
		}
		e.setForeign(ev.now, h.Asker, h.Foreign)
	})
}

// FirstToken takes a first-token time. Slow ones in a row reveal a cold start
// that the endpoint doesn't report; at most half of a route's endpoints are taken
// as cold by it.
func (o *Owners) FirstToken(now time.Time, f FirstToken, due []Notice) []Notice {
	return o.change(now, f.Endpoint, due, func(e *endpoint, ev *event) {
		mayChill := e.pool != nil && 2*(e.pool.serving.Load()-1) >= e.pool.open.Load()
		e.warmth.firstToken(ev.now, e.spec.Kind, f.At.Sub(f.DispatchedAt), mayChill)
	})
}

// Report takes an endpoint's report of itself, and corrects it by what was
// granted since the report's AsOf. AsOf is by the clock of this router.
func (o *Owners) Report(now time.Time, r LoadReport, due []Notice) []Notice {
	return o.change(now, r.Endpoint, due, func(e *endpoint, ev *event) {
		s := o.shard(r.Endpoint)
		if now.Sub(r.AsOf) < ReportLife {
			e.report(ev.now, s.clock.inside(r.AsOf), r)
		}
	})
}

// Settled tells whether this router knows what its endpoints hold: no takeover is
// under way at any of them, and each has reported. Until then it refuses some asks.
func (o *Owners) Settled(now time.Time) bool {
	for i := range o.shards {
		if !o.shardSettled(&o.shards[i], now) {
			return false
		}
	}
	return o.view.Load() != nil
}

func (o *Owners) shardSettled(s *shard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		ev := o.event(s, e, now)
		if e.owned && !e.handed && (!ev.settled || e.warmth.phase == phaseUnknown) {
			return false
		}
	}
	return true
}

// Tick ends what has passed its deadline, at all endpoints, and returns the
// grants and refusals that fall due by it. Call it a few times a second.
func (o *Owners) Tick(now time.Time, due []Notice) []Notice {
	o.ageView(now)
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for _, e := range s.endpoints {
			ev := o.event(s, e, now)
			due = e.settle(&ev, due)
		}
		s.mu.Unlock()
	}
	return due
}
