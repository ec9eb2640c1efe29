package hitchdigest

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times and sizes of an aggregator.
const (
	// reportLife is how long an instance's last report counts.
	reportLife = 1500 * time.Millisecond
	// cachedRepeat is how long a digest repeats a cached prefix, as datagrams get
	// lost.
	cachedRepeat = 600 * time.Millisecond
	// maxLoads and maxCached bound one datagram to about a kilobyte.
	maxLoads  = 120
	maxCached = 24
	// maxHeld bounds the cached prefixes that wait to be told.
	maxHeld = 2048
)

// Aggregator adds up the reports of instances. The zero value is ready. Its
// methods are safe for several goroutines.
type Aggregator struct {
	mu      sync.Mutex
	reports map[hitchfleet.InstanceID]heldReport
	cached  []heldCached
}

type heldReport struct {
	loads []Load
	until time.Time
}

type heldCached struct {
	Cached
	until time.Time
}

// Take takes in a report.
func (a *Aggregator) Take(now time.Time, r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reports == nil {
		a.reports = make(map[hitchfleet.InstanceID]heldReport)
	}
	a.reports[r.From] = heldReport{loads: r.Loads, until: now.Add(reportLife)}
	for _, c := range r.Cached {
		a.hold(c, now.Add(cachedRepeat))
	}
}

// TakeNews takes in news, which digests repeat.
func (a *Aggregator) TakeNews(now time.Time, n News) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range n.Cached {
		a.hold(c, now.Add(cachedRepeat))
	}
}

// hold keeps what is said of a prefix, in place of what was said before. What is
// being read is told by news only.
func (a *Aggregator) hold(c Cached, until time.Time) {
	if !c.IsRead {
		return
	}
	for i, held := range a.cached {
		if held.Endpoint == c.Endpoint && held.Prefix == c.Prefix {
			a.cached[i] = heldCached{c, until}
			return
		}
	}
	if len(a.cached) < maxHeld {
		a.cached = append(a.cached, heldCached{c, until})
	}
}

// Digests returns what to send to every instance now, in datagrams of about a
// kilobyte.
func (a *Aggregator) Digests(now time.Time, head Head) []Digest {
	a.mu.Lock()
	defer a.mu.Unlock()
	loads, cached := a.sum(now), a.recent(now)
	var out []Digest
	for len(out) == 0 || len(loads) > 0 || len(cached) > 0 {
		d := Digest{Head: head}
		d.Loads, loads = cut(loads, maxLoads)
		d.Cached, cached = cut(cached, maxCached)
		out = append(out, d)
	}
	return out
}

// sum returns the requests in flight by endpoint.
func (a *Aggregator) sum(now time.Time) []Load {
	total := make(map[Ref]uint16)
	for from, r := range a.reports {
		if now.After(r.until) {
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

// recent returns the cached prefixes that are still told.
func (a *Aggregator) recent(now time.Time) []Cached {
	a.cached = slices.DeleteFunc(a.cached, func(c heldCached) bool { return now.After(c.until) })
	out := make([]Cached, len(a.cached))
	for i, c := range a.cached {
		out[i] = c.Cached
	}
	return out
}

// cut splits a list after n items.
func cut[T any](list []T, n int) (head, tail []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}
