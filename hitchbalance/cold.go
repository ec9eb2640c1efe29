package hitchbalance

import (
	"math"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// coldGate bounds what this instance sends to an endpoint in cold start, so
// that all instances together stay within what the endpoint bears. Each of n
// instances may send one request at once, and then its part of the rate: in any
// second at most n + rate. Where that is too many, only some instances send.
type coldGate struct {
	// perSecond is this instance's part of the rate; 0 sends nothing.
	perSecond float64
	isBounded bool
	tokens    float64
	updated   time.Time
}

// limitCold sets an endpoint's gate.
func (b *Balancer) limitCold(now time.Time, e *endpoint, s hitchroute.Service) {
	if s.ColdPerSecond <= 0 || !now.Before(e.ColdUntil) {
		e.cold = coldGate{}
		return
	}
	n := max(len(b.ring), 1)
	bound := s.ColdPerSecond*max(b.limits.ColdFactor, 1) + b.limits.ColdSlack
	senders := min(n, max(int(math.Floor(bound-s.ColdPerSecond)), 1))
	if !e.cold.isBounded {
		e.cold.tokens = 1
	}
	e.cold.isBounded = true
	e.cold.perSecond = 0
	if b.ring.has(hitchfleet.KeyOf(string(b.self)), e.key, senders) {
		e.cold.perSecond = s.ColdPerSecond / float64(senders)
	}
}

// ring is the keys of all instances in order. The first n instances behind an
// endpoint's key are its senders: when an instance joins or leaves, one sender of
// each endpoint changes at most.
type ring []hitchfleet.Key

// ringOf returns the ring of instances.
func ringOf(instances []hitchfleet.Instance) ring {
	r := make(ring, len(instances))
	for i, x := range instances {
		r[i] = x.Key()
	}
	slices.Sort(r)
	return r
}

// has tells whether an instance is one of the first n behind a key, or would be
// if the ring knew it.
func (r ring) has(self, key hitchfleet.Key, n int) bool {
	own, _ := slices.BinarySearch(r, self)
	first, _ := slices.BinarySearch(r, key)
	between := own - first
	if between < 0 {
		between += len(r)
	}
	return between < n
}

// allows tells whether a request may go to the endpoint now.
func (g *coldGate) allows(now time.Time) bool {
	if !g.isBounded {
		return true
	}
	if g.updated.IsZero() {
		g.updated = now
	}
	g.tokens = min(g.tokens+g.perSecond*max(now.Sub(g.updated).Seconds(), 0), 1)
	g.updated = now
	return g.perSecond > 0 && g.tokens >= 1
}

// take uses one request's allowance.
func (g *coldGate) take() {
	if g.isBounded {
		g.tokens--
	}
}
