package hitchplace

import (
	"math"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// CacheEventKind tells the events of a prefix cache apart.
type CacheEventKind uint8

// The kinds of cache events.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent is what an engine says of its prefix cache. It comes late, and some
// don't come at all; Seq tells how many are missing.
type CacheEvent struct {
	Endpoint hitchfleet.EndpointID
	// Seq rises by one with each event of an endpoint; 0 if the engine doesn't count.
	Seq  uint64
	At   time.Time
	Kind CacheEventKind
	// Tokens were stored or evicted.
	Tokens int64
	// LastUse is when the evicted tokens were last used, if the engine tells.
	LastUse time.Time
}

const (
	// evictedGain is the weight of a new idle time at eviction in their average.
	evictedGain = 0.05
	// gapGain is the weight of a new gap in the average of missing events.
	gapGain = 0.05
	// rateMemory is the time over which the rate of stored tokens is averaged.
	rateMemory = 2 * time.Minute
)

// Residence estimates how long each engine's prefix cache keeps what isn't used.
// It is the storage LRU expiration age of Squid's FAQ: all that was not used for
// that long has been removed to make room. The zero value is ready. Its methods
// are safe for several goroutines.
//
//	residence.Observe(event)
//	if horizon, ok := residence.Horizon(now, endpoint); ok && entry.LastUse.Before(horizon) {
//		// the prefix is gone
//	}
type Residence struct {
	mu    sync.RWMutex
	byKey map[hitchfleet.EndpointID]*cacheAge
}

// cacheAge follows the cache of one engine.
type cacheAge struct {
	seq     uint64
	cleared time.Time
	// since is the time of the first event and last that of the last store.
	since, last time.Time
	// resident is the tokens in the cache, as far as events tell.
	resident float64
	// stored is the tokens stored, decayed with rateMemory.
	stored float64
	// missing is the moving average of events missing before each one.
	missing float64
	// evictedAge is the moving average of idle times at eviction, in seconds.
	evictedAge float64
	evicting   bool
}

// Observe takes one event.
func (r *Residence) Observe(ev CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = make(map[hitchfleet.EndpointID]*cacheAge)
	}
	c := r.byKey[ev.Endpoint]
	if c == nil {
		c = &cacheAge{since: ev.At, last: ev.At}
		r.byKey[ev.Endpoint] = c
	}
	c.observe(&ev)
}

// observe counts an event for itself and for the missing ones. Missing events are
// taken to be of all kinds alike, not of the kind that follows them.
func (c *cacheAge) observe(ev *CacheEvent) {
	if ev.Seq > 0 {
		if ev.Seq <= c.seq {
			return
		}
		if c.seq > 0 {
			c.missing += gapGain * (float64(ev.Seq-c.seq) - 1 - c.missing)
		}
		c.seq = ev.Seq
	}
	weight := 1 + c.missing
	switch ev.Kind {
	case CacheStored:
		c.store(ev.At, weight*float64(ev.Tokens))
	case CacheEvicted:
		c.evicting = true
		c.resident = max(c.resident-weight*float64(ev.Tokens), 0)
		c.sampleAge(ev)
	case CacheCleared:
		*c = cacheAge{seq: c.seq, cleared: ev.At, since: c.since, last: c.last, stored: c.stored, missing: c.missing}
	}
}

func (c *cacheAge) store(at time.Time, tokens float64) {
	c.resident += tokens
	if at.After(c.last) {
		c.stored *= math.Exp(-at.Sub(c.last).Seconds() / rateMemory.Seconds())
		c.last = at
	}
	c.stored += tokens
}

func (c *cacheAge) sampleAge(ev *CacheEvent) {
	if ev.LastUse.IsZero() || ev.LastUse.After(ev.At) {
		return
	}
	age := ev.At.Sub(ev.LastUse).Seconds()
	if c.evictedAge == 0 {
		c.evictedAge = age
	}
	c.evictedAge += evictedGain * (age - c.evictedAge)
}

// rate is the tokens stored in a second. The weights of the decayed sum add up to
// rateMemory * (1 - exp(-seen/rateMemory)) after the time seen.
func (c *cacheAge) rate() float64 {
	seen := c.last.Sub(c.since).Seconds()
	memory := rateMemory.Seconds()
	return c.stored / max(memory*(1-math.Exp(-seen/memory)), 1)
}

// age is the idle time after which tokens are evicted, in seconds: as evictions
// tell it, else the time from empty to full at the current rate. It is false
// while nothing was evicted.
func (c *cacheAge) age() (seconds float64, ok bool) {
	switch rate := c.rate(); {
	case c.evictedAge > 0:
		return c.evictedAge, true
	case c.evicting && rate > 0:
		return c.resident / rate, true
	default:
		return 0, false
	}
}

// Horizon returns the time since which a prefix must have been used to be still
// cached at the endpoint. It is false if nothing tells that any prefix is gone.
func (r *Residence) Horizon(now time.Time, endpoint hitchfleet.EndpointID) (time.Time, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	c := r.byKey[endpoint]
	if c == nil {
		return time.Time{}, false
	}
	horizon := c.cleared
	if age, ok := c.age(); ok {
		if t := now.Add(-time.Duration(age * float64(time.Second))); t.After(horizon) {
			horizon = t
		}
	}
	return horizon, !horizon.IsZero()
}

// Age returns the idle time after which the endpoint evicts, in seconds. It is
// false while nothing was evicted.
func (r *Residence) Age(endpoint hitchfleet.EndpointID) (seconds float64, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	c := r.byKey[endpoint]
	if c == nil {
		return 0, false
	}
	return c.age()
}

// Learn takes the idle time that another router has observed. Events that this
// router observes later go on from it.
func (r *Residence) Learn(endpoint hitchfleet.EndpointID, seconds float64) {
	if !(seconds > 0) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = make(map[hitchfleet.EndpointID]*cacheAge)
	}
	c := r.byKey[endpoint]
	if c == nil {
		c = &cacheAge{}
		r.byKey[endpoint] = c
	}
	c.evictedAge = seconds
}

// Forget drops what is known of an endpoint that is gone.
func (r *Residence) Forget(endpoint hitchfleet.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byKey, endpoint)
}
