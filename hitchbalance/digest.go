package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
)

// digestTTL is how long the load sums of a digest are used.
const digestTTL = 1500 * time.Millisecond

// fleetLoad is the number of requests that all instances together have in flight
// at an endpoint, as the last digest gave it.
type fleetLoad struct {
	inFlight  int
	updatedAt time.Time
	// ownReported is the number of own requests in this instance's last report,
	// and so its share of the sum.
	ownReported int
}

// Report returns this instance's report for the hubs: its requests in flight and
// the queued cache updates, which it removes from the queue.
func (b *Balancer) Report() hitchdigest.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := hitchdigest.Report{From: b.self, CachedPrefixes: b.takeCacheUpdates()}
	for _, e := range b.byID {
		e.fleetLoad.ownReported = e.ownInFlight
		if e.ownInFlight > 0 {
			r.Loads = append(r.Loads, hitchdigest.Load{Endpoint: e.ref, InFlight: uint16(min(e.ownInFlight, 1<<16-1))})
		}
	}
	return r
}

// ApplyDigest applies a hub's digest: the load sums of endpoints and the cached prefixes.
func (b *Balancer) ApplyDigest(now time.Time, d hitchdigest.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.digestAt = now
	for _, l := range d.Loads {
		if e := b.byRef[l.Endpoint]; e != nil {
			e.fleetLoad.inFlight, e.fleetLoad.updatedAt = int(l.InFlight), now
		}
	}
	b.applyCached(now, d.CachedPrefixes)
}

// ApplyCacheUpdate applies another instance's cache update. Own updates are ignored.
func (b *Balancer) ApplyCacheUpdate(now time.Time, update hitchdigest.CacheUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if update.From != b.self {
		b.applyCached(now, update.CachedPrefixes)
	}
}

func (b *Balancer) applyCached(now time.Time, cached []hitchdigest.CachedPrefix) {
	for _, c := range cached {
		if e := b.byRef[c.Endpoint]; e != nil {
			e.cache.applyUpdate(c, now)
		}
	}
	if len(cached) > 0 {
		b.notifyCacheChange()
	}
}

// UrgentUpdates returns a channel that receives a value when there are cache updates
// that shouldn't wait for the next report.
func (b *Balancer) UrgentUpdates() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.urgentUpdates == nil {
		b.urgentUpdates = make(chan struct{}, 1)
	}
	return b.urgentUpdates
}

// TakeCacheUpdate removes cache updates from the queue and returns them, to be sent
// at once.
func (b *Balancer) TakeCacheUpdate() hitchdigest.CacheUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return hitchdigest.CacheUpdate{From: b.self, CachedPrefixes: b.takeCacheUpdates()}
}

// takeCacheUpdates removes the oldest cache updates from the queue and returns
// them, as many as fit into one datagram.
func (b *Balancer) takeCacheUpdates() []hitchdigest.CachedPrefix {
	n := min(len(b.cacheUpdates), maxUpdatesPerMessage)
	out := b.cacheUpdates[:n:n]
	b.cacheUpdates = b.cacheUpdates[n:]
	return out
}

// SignalUrgentUpdate sends a value to the channel of UrgentUpdates.
func (b *Balancer) SignalUrgentUpdate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.signalUrgent()
}

// signalUrgent signals that queued cache updates shouldn't wait for the next report.
func (b *Balancer) signalUrgent() {
	select {
	case b.urgentUpdates <- struct{}{}:
	default:
	}
}

// promptUpdates returns a cache update for each prefix of a request to an engine, except
// those that were used within cacheUpdateInterval.
func (b *Balancer) promptUpdates(e *endpoint, prompt Prompt, now time.Time) (updates []hitchdigest.CachedPrefix) {
	for i, key := range b.prefixKeys {
		prefix := e.cache.byKey[key]
		if now.Sub(prefix.usedAt) < cacheUpdateInterval {
			continue
		}
		c := hitchdigest.CachedPrefix{Endpoint: e.ref, Prefix: key, IsPrefilled: now.Sub(prefix.usedAt) <= cachedPrefixTTL && prefix.isPrefilled(now)}
		if !c.IsPrefilled {
			c.PrefillTokens = prompt.Parts[i].Tokens
		}
		updates = append(updates, c)
	}
	return updates
}

// Announce queues the cache updates of a request that wasn't certain to be sent when it was
// picked.
func (b *Balancer) Announce(p Pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.announce(&p)
}

func (b *Balancer) announce(p *Pick) {
	for _, c := range p.updates {
		b.queueCacheUpdate(c)
	}
	if p.isLongPrefill && len(p.updates) > 0 {
		b.signalUrgent()
	}
	p.updates = nil
}

// queueCacheUpdate queues a cache update in place of an earlier one for the same
// prefix and engine.
func (b *Balancer) queueCacheUpdate(c hitchdigest.CachedPrefix) {
	for i, old := range b.cacheUpdates {
		if old.Endpoint == c.Endpoint && old.Prefix == c.Prefix {
			b.cacheUpdates[i] = c
			return
		}
	}
	if len(b.cacheUpdates) < maxQueuedUpdates {
		b.cacheUpdates = append(b.cacheUpdates, c)
	}
}

const (
	// cacheUpdateInterval is how old the other instances' state of a cached prefix may
	// become while the prefix is in use.
	cacheUpdateInterval = cachedPrefixTTL / 3
	// maxUpdatesPerMessage bounds the cache updates in one datagram, and
	// maxQueuedUpdates those that wait for the next ones.
	maxUpdatesPerMessage = 64
	maxQueuedUpdates     = 1024
)
