package hitchbalance

import (
	"math"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// coldLimiter is a token bucket that limits this instance's requests to an endpoint
// in cold start, so that all instances together stay within the endpoint's limit.
// Each of n instances has a burst of one request and an equal share of the rate, so
// that the endpoint gets at most n + rate requests in any second. If that exceeds
// the limit, only some instances send requests to the endpoint.
type coldLimiter struct {
	// perSecond is this instance's share of the rate; 0 allows no requests.
	perSecond float64
	isLimited bool
	tokens    float64
	updatedAt time.Time
}

// updateColdLimit sets an endpoint's limit from the cold start rate of its service.
// An endpoint that isn't in cold start has none.
func (b *Balancer) updateColdLimit(now time.Time, e *endpoint, s hitchroute.Service) {
	if s.ColdPerSecond <= 0 || !now.Before(e.ColdUntil) {
		e.coldLimit, e.ownerColdLimit = coldLimiter{}, coldLimiter{}
		return
	}
	n := max(len(b.ring), 1)
	maxPerSecond := s.ColdPerSecond*max(b.limits.ColdFactor, 1) + b.limits.ColdSlack
	senders := min(n, max(int(math.Floor(maxPerSecond-s.ColdPerSecond)), 1))
	if !e.coldLimit.isLimited {
		e.coldLimit.tokens = 1
	}
	if !e.ownerColdLimit.isLimited {
		e.ownerColdLimit.tokens = coldOwnerBurst
	}
	e.ownerColdLimit.isLimited, e.ownerColdLimit.perSecond = true, s.ColdPerSecond
	e.coldLimit.isLimited = true
	e.coldLimit.perSecond = 0
	if b.ring.isSender(hitchfleet.KeyOf(string(b.self)), e.key, senders) {
		e.coldLimit.perSecond = s.ColdPerSecond / float64(senders)
	}
}

// ring is a consistent hash ring: the sorted keys of all instances. The first n
// instances at or after an endpoint's key are its senders. If an instance joins or
// leaves, at most one sender of each endpoint changes.
type ring []hitchfleet.Key

// newRing returns a ring of the instances.
func newRing(instances []hitchfleet.Instance) ring {
	r := make(ring, len(instances))
	for i, x := range instances {
		r[i] = x.Key()
	}
	slices.Sort(r)
	return r
}

// isSender reports whether an instance is one of the first n at or after a key. For
// an instance that isn't in the ring, it reports whether it would be.
func (r ring) isSender(self, key hitchfleet.Key, n int) bool {
	own, _ := slices.BinarySearch(r, self)
	first, _ := slices.BinarySearch(r, key)
	distance := own - first
	if distance < 0 {
		distance += len(r)
	}
	return distance < n
}

// hasToken refills the bucket and reports whether a request may be sent now.
func (l *coldLimiter) hasToken(now time.Time) bool {
	if !l.isLimited {
		return true
	}
	if l.updatedAt.IsZero() {
		l.updatedAt = now
	}
	l.tokens = min(l.tokens+l.perSecond*max(now.Sub(l.updatedAt).Seconds(), 0), 1)
	l.updatedAt = now
	return l.perSecond > 0 && l.tokens >= 1
}

// takeToken removes the token of one request.
func (l *coldLimiter) takeToken() {
	if l.isLimited {
		l.tokens--
	}
}
