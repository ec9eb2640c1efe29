package hitchplace

import (
	"math"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind uint8

// The kinds of cache events.
const (
	CacheStored CacheEventKind = iota
	CacheEvicted
	CacheCleared
)

// CacheEvent is a change of an engine's prefix cache, as reported by the engine.
// Events arrive late, and some are lost; Seq shows how many are missing.
type CacheEvent struct {
	Endpoint hitchfleet.EndpointID
	// Seq increases by one with each event of an endpoint. It is 0 if the engine
	// doesn't number its events.
	Seq  uint64
	At   time.Time
	Kind CacheEventKind
	// Tokens is the number of tokens that were stored or evicted.
	Tokens int64
	// LastUse is when the evicted tokens were last used; zero if the engine doesn't
	// report it.
	LastUse time.Time
}

const (
	// idleTimeSmoothing is the weight of a new sample in the moving average of
	// idle times at eviction.
	idleTimeSmoothing = 0.05
	// missingSmoothing is the weight of a new sample in the moving average of
	// missing events.
	missingSmoothing = 0.05
	// storeRateTimeConstant is the time constant of the exponential average of the
	// rate at which tokens are stored.
	storeRateTimeConstant = 2 * time.Minute
)

// EvictionTracker estimates how long each engine's prefix cache keeps unused
// prefixes, the eviction age. It corresponds to the storage LRU expiration age of
// the Squid FAQ: a prefix that was unused for that long has been evicted to make
// room. The zero value is ready to use. Its methods are safe for concurrent use.
//
//	evictions.Observe(event)
//	if cutoff, ok := evictions.EvictionCutoff(now, endpoint); ok && entry.LastUse.Before(cutoff) {
//		// the prefix was evicted
//	}
type EvictionTracker struct {
	mu         sync.RWMutex
	byEndpoint map[hitchfleet.EndpointID]*cacheStats
}

// cacheStats holds the statistics of one engine's cache.
type cacheStats struct {
	seq       uint64
	clearedAt time.Time
	// firstEvent is the time of the first event, lastStore that of the last
	// CacheStored event.
	firstEvent, lastStore time.Time
	// cachedTokens is the estimated number of tokens in the cache.
	cachedTokens float64
	// decayedTokens is the sum of the stored tokens, which decays exponentially
	// with storeRateTimeConstant.
	decayedTokens float64
	// meanMissing is the moving average of the number of missing events before
	// each received one.
	meanMissing float64
	// meanIdleTime is the moving average of the idle times of evicted tokens, in
	// seconds.
	meanIdleTime float64
	hasEvicted   bool
}

// Observe updates the estimate with an event.
func (t *EvictionTracker) Observe(ev CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byEndpoint == nil {
		t.byEndpoint = make(map[hitchfleet.EndpointID]*cacheStats)
	}
	c := t.byEndpoint[ev.Endpoint]
	if c == nil {
		c = &cacheStats{firstEvent: ev.At, lastStore: ev.At}
		t.byEndpoint[ev.Endpoint] = c
	}
	c.apply(&ev)
}

// apply updates the statistics with an event, which also stands for the missing
// ones. Missing events are assumed to be spread over all kinds, rather than to be of
// the kind of the next received event.
func (c *cacheStats) apply(ev *CacheEvent) {
	if ev.Seq > 0 {
		if ev.Seq <= c.seq {
			return
		}
		if c.seq > 0 {
			c.meanMissing += missingSmoothing * (float64(ev.Seq-c.seq) - 1 - c.meanMissing)
		}
		c.seq = ev.Seq
	}
	scale := 1 + c.meanMissing
	switch ev.Kind {
	case CacheStored:
		c.addStored(ev.At, scale*float64(ev.Tokens))
	case CacheEvicted:
		c.hasEvicted = true
		c.cachedTokens = max(c.cachedTokens-scale*float64(ev.Tokens), 0)
		c.addIdleTime(ev)
	case CacheCleared:
		*c = cacheStats{seq: c.seq, clearedAt: ev.At, firstEvent: c.firstEvent, lastStore: c.lastStore, decayedTokens: c.decayedTokens, meanMissing: c.meanMissing}
	}
}

func (c *cacheStats) addStored(at time.Time, tokens float64) {
	c.cachedTokens += tokens
	if at.After(c.lastStore) {
		c.decayedTokens *= math.Exp(-at.Sub(c.lastStore).Seconds() / storeRateTimeConstant.Seconds())
		c.lastStore = at
	}
	c.decayedTokens += tokens
}

func (c *cacheStats) addIdleTime(ev *CacheEvent) {
	if ev.LastUse.IsZero() || ev.LastUse.After(ev.At) {
		return
	}
	idleTime := ev.At.Sub(ev.LastUse).Seconds()
	if c.meanIdleTime == 0 {
		c.meanIdleTime = idleTime
	}
	c.meanIdleTime += idleTimeSmoothing * (idleTime - c.meanIdleTime)
}

// storeRate returns the number of tokens stored per second. After the elapsed time,
// the weights of the decayed sum add up to
// storeRateTimeConstant * (1 - exp(-elapsed/storeRateTimeConstant)).
func (c *cacheStats) storeRate() float64 {
	elapsed := c.lastStore.Sub(c.firstEvent).Seconds()
	timeConstant := storeRateTimeConstant.Seconds()
	return c.decayedTokens / max(timeConstant*(1-math.Exp(-elapsed/timeConstant)), 1)
}

// evictionAge returns the idle time after which tokens are evicted, in seconds. If
// evictions don't report it, it is the time to fill the empty cache at the current
// rate. ok is false while nothing has been evicted.
func (c *cacheStats) evictionAge() (seconds float64, ok bool) {
	switch rate := c.storeRate(); {
	case c.meanIdleTime > 0:
		return c.meanIdleTime, true
	case c.hasEvicted && rate > 0:
		return c.cachedTokens / rate, true
	default:
		return 0, false
	}
}

// EvictionCutoff returns the time since which a prefix must have been used to
// still be cached at the endpoint. It returns false if there is no evidence that
// any prefix was evicted.
func (t *EvictionTracker) EvictionCutoff(now time.Time, endpoint hitchfleet.EndpointID) (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.byEndpoint[endpoint]
	if c == nil {
		return time.Time{}, false
	}
	cutoff := c.clearedAt
	if age, ok := c.evictionAge(); ok {
		if since := now.Add(-time.Duration(age * float64(time.Second))); since.After(cutoff) {
			cutoff = since
		}
	}
	return cutoff, !cutoff.IsZero()
}

// EvictionAge returns the idle time after which the endpoint evicts a prefix, in
// seconds. It returns false while nothing has been evicted.
func (t *EvictionTracker) EvictionAge(endpoint hitchfleet.EndpointID) (seconds float64, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	c := t.byEndpoint[endpoint]
	if c == nil {
		return 0, false
	}
	return c.evictionAge()
}

// SetEvictionAge sets the eviction age, in seconds, to the value that another
// router has observed. Later events update it. Values that aren't positive are
// ignored.
func (t *EvictionTracker) SetEvictionAge(endpoint hitchfleet.EndpointID, seconds float64) {
	if !(seconds > 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byEndpoint == nil {
		t.byEndpoint = make(map[hitchfleet.EndpointID]*cacheStats)
	}
	c := t.byEndpoint[endpoint]
	if c == nil {
		c = &cacheStats{}
		t.byEndpoint[endpoint] = c
	}
	c.meanIdleTime = seconds
}

// Remove deletes the statistics of an endpoint that was removed.
func (t *EvictionTracker) Remove(endpoint hitchfleet.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byEndpoint, endpoint)
}
