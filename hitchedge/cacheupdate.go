package hitchedge

import (
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
)

// Limits of cache updates, which announce cached prompt prefixes ahead of the next
// report.
const (
	// minCacheUpdateInterval is the minimum time between two cache updates.
	minCacheUpdateInterval = 5 * time.Millisecond
	// entryIntervalPerInstance is multiplied by the number of instances in the region,
	// up to maxEntryInterval. Each entry of an update extends the interval after it by
	// the product, so that the primary hub sends at most about 200 KB of cache updates
	// per second, and in regions of more than 40 instances each instance receives at
	// most 5 KB per second.
	entryIntervalPerInstance = 100 * time.Microsecond
	maxEntryInterval         = 4 * time.Millisecond
	// maxCacheUpdateEntries limits a cache update to about a kilobyte.
	maxCacheUpdateEntries = 48
)

// cacheUpdateInterval returns the time to wait after a cache update with the given
// number of entries was sent to the instances of a region.
func cacheUpdateInterval(entries, instances int) time.Duration {
	perEntry := min(time.Duration(instances)*entryIntervalPerInstance, maxEntryInterval)
	return max(time.Duration(entries)*perEntry, minCacheUpdateInterval)
}

// cacheUpdateRelay holds the entries that the primary hub has yet to relay to all
// instances. It keeps the newest ones, as many as fit into one datagram: the prefill
// of older prefixes has likely completed by now. The zero value is empty.
type cacheUpdateRelay struct {
	mu      sync.Mutex
	pending []hitchdigest.CachedPrefix
}

// add appends the entries of a cache update and drops the oldest ones beyond the
// limit.
func (r *cacheUpdateRelay) add(update hitchdigest.CacheUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, update.CachedPrefixes...)
	r.pending = r.pending[max(len(r.pending)-maxCacheUpdateEntries, 0):]
}

// takeAll returns the entries to relay and empties the relay.
func (r *cacheUpdateRelay) takeAll() []hitchdigest.CachedPrefix {
	r.mu.Lock()
	defer r.mu.Unlock()
	prefixes := r.pending
	r.pending = nil
	return prefixes
}

// sendCacheUpdates sends this instance's cache update to the primary hub. On the
// primary hub, it sends all pending updates to every instance of the region. It
// returns how long to wait before the next update.
func (e *Edge) sendCacheUpdates(socket *net.UDPConn, r *region) time.Duration {
	update := e.balancer.TakeCacheUpdate()
	if !r.isPrimaryHub(e.Settings.Self.ID) {
		if len(r.roles.Hubs) > 0 && len(update.CachedPrefixes) > 0 {
			e.send(socket, hitchdigest.Packet{CacheUpdate: &update}, r.roles.Hubs[0])
		}
		return minCacheUpdateInterval
	}
	e.aggregator.AddCacheUpdate(time.Now(), update)
	e.cacheUpdateRelay.add(update)
	update.CachedPrefixes = e.cacheUpdateRelay.takeAll()
	if len(update.CachedPrefixes) > 0 {
		e.send(socket, hitchdigest.Packet{CacheUpdate: &update}, r.instances...)
	}
	return cacheUpdateInterval(len(update.CachedPrefixes), len(r.instances))
}

// handleCacheUpdate applies a cache update, and schedules its relay if this instance
// is the primary hub.
func (e *Edge) handleCacheUpdate(update hitchdigest.CacheUpdate) {
	now := time.Now()
	e.balancer.ApplyCacheUpdate(now, update)
	if !e.currentRegion().isPrimaryHub(e.Settings.Self.ID) {
		return
	}
	e.aggregator.AddCacheUpdate(now, update)
	e.cacheUpdateRelay.add(update)
	e.balancer.SignalUrgentUpdate()
}
