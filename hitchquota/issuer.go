package hitchquota

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Rates and limits of issuers.
const (
	// minPerSecond is the rate of permits for an endpoint that wants fewer requests, or none:
	// its next response says whether that still holds.
	minPerSecond = 0.1
	// burstSeconds is for how long permits that nobody asked for are kept, beside one.
	burstSeconds = 0.5
	// maxReturnDelay limits how far in the future refused callers are asked to return.
	maxReturnDelay = 10 * time.Second
	// bucketTTL is how long an issuer keeps an endpoint for which nobody asks.
	bucketTTL = time.Minute
)

// Permit is the answer to a question for one request to an endpoint.
type Permit struct {
	IsGranted bool
	// IsFull is set if there is none as too many requests are in flight at the endpoint.
	IsFull bool
	// AvailableAt is when the next permit may be asked for, and ReturnAt when a caller that is
	// refused may return: later if others were refused before it.
	AvailableAt, ReturnAt time.Time
}

// Issuer gives permits for requests to endpoints, for each at the rate that the endpoint
// names. The zero value is ready to use. Its methods are safe for concurrent use.
type Issuer struct {
	// StartsEmpty is set if the first permit for an endpoint has to be waited for, as other
	// issuers may give some too. It is set before the first call.
	StartsEmpty bool

	mu      sync.Mutex
	buckets map[hitchfleet.RunID]*bucket
	// places are the requests in flight at endpoints that limit them.
	places map[hitchfleet.RunID]*places
}

// bucket is a token bucket for the requests to one endpoint.
type bucket struct {
	permits   float64
	updatedAt time.Time
	// promisedAt is when the last of the refused callers may return.
	promisedAt time.Time
}

// Issue gives a permit for a request to a run of an endpoint, at the rate of its quota.
func (i *Issuer) Issue(now time.Time, run hitchfleet.RunID, q Quota) Permit {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issue(now, run, q)
}

// IssueTo gives an instance a permit, if the quota also has room for one more request in flight.
func (i *Issuer) IssueTo(now time.Time, run hitchfleet.RunID, q Quota, from hitchfleet.InstanceID, h Holding) Permit {
	i.mu.Lock()
	defer i.mu.Unlock()
	if q.MaxInFlight > 0 && !i.placesOf(now, run).hasRoom(now, q.MaxInFlight, from, h) {
		return Permit{IsFull: true, AvailableAt: now.Add(fullDelay), ReturnAt: now.Add(fullReturnDelay)}
	}
	permit := i.issue(now, run, q)
	if q.MaxInFlight > 0 && permit.IsGranted {
		i.placesOf(now, run).take(now, from, h)
	}
	return permit
}

// Hold records what an instance has in flight at a run of an endpoint that limits it.
func (i *Issuer) Hold(now time.Time, run hitchfleet.RunID, from hitchfleet.InstanceID, h Holding) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.placesOf(now, run).update(now, from, h)
}

// issue is Issue, called with mu held.
func (i *Issuer) issue(now time.Time, run hitchfleet.RunID, q Quota) Permit {
	if !q.IsLimited {
		return Permit{IsGranted: true}
	}
	rate := max(q.PerSecond, minPerSecond)
	b := i.bucket(now, run)
	b.refill(now, rate)
	if b.permits >= 1 {
		b.permits--
		return Permit{IsGranted: true}
	}
	interval := time.Duration(float64(time.Second) / rate)
	available := now.Add(time.Duration((1 - b.permits) * float64(interval)))
	b.promisedAt = later(available, b.promisedAt.Add(interval))
	if latest := now.Add(maxReturnDelay); b.promisedAt.After(latest) {
		b.promisedAt = latest
	}
	return Permit{AvailableAt: available, ReturnAt: later(b.promisedAt, available)}
}

// bucket returns the bucket of a run, which is created on first use.
func (i *Issuer) bucket(now time.Time, run hitchfleet.RunID) *bucket {
	b := i.buckets[run]
	if b != nil {
		return b
	}
	if i.buckets == nil {
		i.buckets = make(map[hitchfleet.RunID]*bucket)
	}
	for other, b := range i.buckets {
		if now.Sub(b.updatedAt) > bucketTTL {
			delete(i.buckets, other)
		}
	}
	b = &bucket{updatedAt: now}
	if !i.StartsEmpty {
		b.permits = 1
	}
	i.buckets[run] = b
	return b
}

// refill adds the permits of the time since the last call.
func (b *bucket) refill(now time.Time, rate float64) {
	b.permits = min(b.permits+max(now.Sub(b.updatedAt), 0).Seconds()*rate, 1+rate*burstSeconds)
	b.updatedAt = now
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
