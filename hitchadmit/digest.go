package hitchadmit

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Digest returns the loads of the endpoints that this router owns, for the
// other routers to pass to ApplyDigest. Send it about once a second.
func (c *Controller) Digest(now time.Time) Digest {
	var d Digest
	if v := c.view.Load(); v != nil {
		d.From = v.fleet.Self
	}
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		s.clock.advance(now)
		for id, e := range s.endpoints {
			if e.owned && !e.handedOver {
				d.Loads = append(d.Loads, EndpointLoad{
					Endpoint: id,
					Load:     e.usage().Cost,
					Granted:  e.granted.Cost,
					Cold:     e.coldStart.phase == phaseCold,
				})
			}
		}
		s.mu.Unlock()
	}
	return d
}

// ApplyDigest applies another router's digest. If both routers consider
// themselves the owner of an endpoint, the other's grants are added to its
// load.
func (c *Controller) ApplyDigest(now time.Time, d Digest) {
	if v := c.view.Load(); v == nil || d.From == v.fleet.Self {
		return
	}
	for i := range d.Loads {
		c.applyLoad(now, &d.Loads[i])
	}
}

func (c *Controller) applyLoad(now time.Time, l *EndpointLoad) {
	s := c.shard(l.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[l.Endpoint]
	if e == nil {
		return
	}
	monotonic := s.clock.advance(now)
	deadline := monotonic.Add(DigestTTL)
	if e.owned {
		e.usageFromOtherOwner = expiringUsage{usage: Usage{Cost: max(l.Granted, 0)}, deadline: deadline}
		if l.Cold && e.coldStart.phase != phaseWarm {
			e.coldStart.markCold()
		}
		e.updatePool()
		return
	}
	e.digestUsage = expiringUsage{usage: Usage{Cost: max(l.Load, 0)}, deadline: e.digestDeadline(monotonic)}
	e.lastDigestAt = monotonic
	switch {
	case l.Cold:
		e.coldStart.markCold()
	case e.coldStart.isColdOrUnknown():
		e.coldStart.startRampUp(monotonic, 0)
	}
	e.updatePool()
}

// digestDeadline returns the time until which a digest that arrives now is
// valid: DigestTTL, or three times the interval since the previous digest if
// that is longer, because gossip spreads loads slowly in a large fleet.
func (e *endpoint) digestDeadline(now time.Time) time.Time {
	const missedDigests = 3
	ttl := DigestTTL
	if !e.lastDigestAt.IsZero() {
		ttl = min(max(ttl, missedDigests*now.Sub(e.lastDigestAt)), MaxDigestTTL)
	}
	return now.Add(ttl)
}

// HandOverEndpoints stops granting, and returns the handovers that let the next
// owners grant immediately. Call it when the router starts to leave, and send
// each Handover to the router that owns the endpoint next.
func (c *Controller) HandOverEndpoints(now time.Time, deferred []DeferredDecision) ([]Handover, []DeferredDecision) {
	var all []Handover
	var self hitchfleet.InstanceID
	if v := c.view.Load(); v != nil {
		self = v.fleet.Self
	}
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			op := c.newOpContext(s, e, now)
			if !e.owned || e.handedOver {
				continue
			}
			if op.settled {
				all = append(all, Handover{From: self, Endpoint: id, Granted: e.usage(), Cold: e.coldStart.phase == phaseCold})
			}
			e.handedOver = true
			deferred = e.refreshQueue(&op, deferred)
		}
		s.mu.Unlock()
	}
	return all, deferred
}

// AcceptHandover takes over an endpoint from an owner that has left. If this
// router isn't the endpoint's owner yet, it changes nothing and returns false,
// and the sender tries again.
func (c *Controller) AcceptHandover(now time.Time, h Handover) bool {
	s := c.shard(h.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[h.Endpoint]
	if e == nil || !e.owned {
		return false
	}
	monotonic := s.clock.advance(now)
	e.takeoverUntil = monotonic
	e.usageFromOtherOwner = expiringUsage{usage: h.Granted, deadline: monotonic.Add(DigestTTL)}
	if h.Cold {
		e.coldStart.markCold()
	}
	e.updatePool()
	return true
}
