package hitchdigest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

// TTLs and size limits of an aggregator.
const (
	// reportTTL is how long an instance's last report counts.
	reportTTL = 1500 * time.Millisecond
	// cachedPrefixTTL is how long digests repeat a cached prefix, because
	// datagrams may be lost.
	cachedPrefixTTL = 600 * time.Millisecond
	// maxLoadsPerDigest and maxCachedPerDigest limit one datagram to about a
	// kilobyte.
	maxLoadsPerDigest  = 120
	maxCachedPerDigest = 24
	// maxStoredCached bounds the cached prefixes that are stored for the next
	// digests.
	maxStoredCached = 2048
)

// Aggregator sums the reports of instances. The zero value is ready to use. Its
// methods are safe for concurrent use.
type Aggregator struct {
	mu      sync.Mutex
	reports map[hitchfleet.InstanceID]storedReport
	cached  []storedCached
}

type storedReport struct {
	loads     []Load
	expiresAt time.Time
}

type storedCached struct {
	CachedPrefix
	expiresAt time.Time
}

// AddReport records an instance's report, which replaces its previous one.
func (a *Aggregator) AddReport(now time.Time, r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reports == nil {
		a.reports = make(map[hitchfleet.InstanceID]storedReport)
	}
	isOld := func(_ hitchfleet.InstanceID, r storedReport) bool { return now.After(r.expiresAt) }
	if _, ok := a.reports[r.From]; ok || hitchrecent.HasRoom(a.reports, maxInstances, isOld) {
		a.reports[r.From] = storedReport{loads: r.Loads, expiresAt: now.Add(reportTTL)}
	}
	for _, c := range r.CachedPrefixes {
		a.addCached(c, now.Add(cachedPrefixTTL))
	}
}

// AddCacheUpdate records prefixes that were sent ahead of the next report, so
// that the digests repeat them.
func (a *Aggregator) AddCacheUpdate(now time.Time, update CacheUpdate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range update.CachedPrefixes {
		a.addCached(c, now.Add(cachedPrefixTTL))
	}
}

// addCached adds or replaces a cached prefix. It ignores prefixes that an engine
// is still prefilling, because only CacheUpdate shares those.
func (a *Aggregator) addCached(c CachedPrefix, expiresAt time.Time) {
	if !c.IsPrefilled {
		return
	}
	for i, stored := range a.cached {
		if stored.Endpoint == c.Endpoint && stored.Prefix == c.Prefix {
			a.cached[i] = storedCached{c, expiresAt}
			return
		}
	}
	if len(a.cached) < maxStoredCached {
		a.cached = append(a.cached, storedCached{c, expiresAt})
	}
}

// Digests returns the digests to send to every instance, each of which fits in a
// datagram of about a kilobyte.
func (a *Aggregator) Digests(now time.Time, status HubStatus) []Digest {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads, cached := a.sumLoads(now), a.currentCached(now)
	out := []Digest{{From: status.From, HubStatus: &status}}
	if len(status.Silence.Instances) == 0 {
		// The status is small, so that loads fit into the same datagram.
		out[0].Loads, loads = splitAt(loads, maxLoadsPerDigest)
		out[0].CachedPrefixes, cached = splitAt(cached, maxCachedPerDigest)
	}
	for len(loads) > 0 || len(cached) > 0 {
		d := Digest{From: status.From}
		d.Loads, loads = splitAt(loads, maxLoadsPerDigest)
		d.CachedPrefixes, cached = splitAt(cached, maxCachedPerDigest)
		out = append(out, d)
	}
	return out
}

// sumLoads returns the number of requests in flight at each endpoint and drops
// expired reports.
func (a *Aggregator) sumLoads(now time.Time) []Load {
	total := make(map[EndpointRef]uint16)
	for from, r := range a.reports {
		if now.After(r.expiresAt) {
			delete(a.reports, from)
			continue
		}
		for _, l := range r.loads {
			total[l.Endpoint] += l.InFlight
		}
	}
	out := make([]Load, 0, len(total))
	for endpoint, n := range total {
		out = append(out, Load{Endpoint: endpoint, InFlight: n})
	}
	slices.SortFunc(out, func(x, y Load) int { return cmp.Compare(x.Endpoint, y.Endpoint) })
	return out
}

// currentCached returns the cached prefixes that haven't expired and drops the
// others.
func (a *Aggregator) currentCached(now time.Time) []CachedPrefix {
	a.cached = slices.DeleteFunc(a.cached, func(c storedCached) bool { return now.After(c.expiresAt) })
	out := make([]CachedPrefix, len(a.cached))
	for i, c := range a.cached {
		out[i] = c.CachedPrefix
	}
	return out
}

// splitAt splits a list after n items.
func splitAt[T any](list []T, n int) (head, tail []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
