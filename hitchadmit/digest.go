package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Digest returns the loads of this router's endpoints, for the others to Learn.
// Send it every second or so.
func (o *Owners) Digest(now time.Time) Digest {
	var d Digest
	if v := o.view.Load(); v != nil {
		d.From = v.members.Self
	}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		s.clock.advance(now)
		for id, e := range s.endpoints {
			if e.owned && !e.handed {
				d.Loads = append(d.Loads, EndpointLoad{
					Endpoint: id,
					Load:     e.load().Cost,
					Granted:  e.granted.Cost,
					Cold:     e.warmth.phase == phaseCold,
				})
			}
		}
		s.mu.Unlock()
	}
	return d
}

// Learn takes another router's digest. At an endpoint that both own in their own
// view, the other's grants count as load.
func (o *Owners) Learn(now time.Time, d Digest) {
	if v := o.view.Load(); v == nil || d.From == v.members.Self {
		return
	}
	for i := range d.Loads {
		o.learn(now, &d.Loads[i])
	}
}

func (o *Owners) learn(now time.Time, l *EndpointLoad) {
	s := o.shard(l.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[l.Endpoint]
	if e == nil {
		return
	}
	steady := s.clock.advance(now)
	deadline := steady.Add(DigestLife)
	if e.owned {
		e.claim = holder{holding: Holding{Cost: max(l.Granted, 0)}, deadline: deadline}
		if l.Cold && e.warmth.phase != phaseWarm {
			e.warmth.chill()
		}
		e.publish()
		return
	}
	e.remote = holder{holding: Holding{Cost: max(l.Load, 0)}, deadline: e.digestDeadline(steady)}
	e.learned = steady
	switch {
	case l.Cold:
		e.warmth.chill()
	case e.warmth.cold():
		e.warmth.warmUp(steady, 0)
	}
	e.publish()
}

// digestDeadline is how long a digest counts that arrives now: DigestLife, or three
// times as long as the last one has taken if they come less often, as gossip of a
// large fleet spreads loads slowly.
func (e *endpoint) digestDeadline(now time.Time) time.Time {
	const missed = 3
	life := DigestLife
	if !e.learned.IsZero() {
		life = min(max(life, missed*now.Sub(e.learned)), MaxDigestLife)
	}
	return now.Add(life)
}

// Leave returns what the router's successors need to go on at once, and stops
// granting. Call it when the router starts to leave, and send each Handover to
// the endpoint's owner among the others.
func (o *Owners) Leave(now time.Time, due []Notice) ([]Handover, []Notice) {
	var all []Handover
	var self hitchfleet.InstanceID
	if v := o.view.Load(); v != nil {
		self = v.members.Self
	}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			ev := o.event(s, e, now)
			if !e.owned || e.handed {
				continue
			}
			if ev.settled {
				all = append(all, Handover{From: self, Endpoint: id, Granted: e.load(), Cold: e.warmth.phase == phaseCold})
			}
			e.handed = true
			due = e.settle(&ev, due)
		}
		s.mu.Unlock()
	}
	return all, due
}

// Accept takes an endpoint over from an owner that has left. It does nothing,
// and returns false, while this router isn't the endpoint's owner: the sender
// tries again.
func (o *Owners) Accept(now time.Time, h Handover) bool {
	s := o.shard(h.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[h.Endpoint]
	if e == nil || !e.owned {
		return false
	}
	steady := s.clock.advance(now)
	e.takeover = steady
	e.claim = holder{holding: h.Granted, deadline: steady.Add(DigestLife)}
	if h.Cold {
		e.warmth.chill()
	}
	e.publish()
	return true
}
