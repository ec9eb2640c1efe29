package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
)

// digestLife is how long the sums of a digest count.
const digestLife = 1500 * time.Millisecond

// shared is what the instances together have in flight at an endpoint.
type shared struct {
	inFlight int
	at       time.Time
	// reportedOwn is this instance's part of the sum.
	reportedOwn int
}

// Report returns what this instance tells the hubs. It names each cached prefix
// once.
func (b *Balancer) Report() hitchdigest.Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := hitchdigest.Report{From: b.self, Cached: b.takeNews()}
	for _, e := range b.byID {
		e.shared.reportedOwn = e.own
		if e.own > 0 {
			r.Loads = append(r.Loads, hitchdigest.Load{Endpoint: e.ref, InFlight: uint16(min(e.own, 1<<16-1))})
		}
	}
	return r
}

// Learn takes in a hub's digest.
func (b *Balancer) Learn(now time.Time, d hitchdigest.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learnedAt = now
	for _, l := range d.Loads {
		if e := b.byRef[l.Endpoint]; e != nil {
			e.shared.inFlight, e.shared.at = int(l.InFlight), now
		}
	}
	b.learnCached(now, d.Cached)
}

// LearnNews takes in what another instance says of caches.
func (b *Balancer) LearnNews(now time.Time, n hitchdigest.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.From != b.self {
		b.learnCached(now, n.Cached)
	}
}

func (b *Balancer) learnCached(now time.Time, cached []hitchdigest.Cached) {
	for _, c := range cached {
		if e := b.byRef[c.Endpoint]; e != nil {
			e.cached.learn(c, now)
		}
	}
	if len(cached) > 0 {
		b.wake()
	}
}

// Urgent returns a channel that gets a value when there are news that others
// should know at once.
func (b *Balancer) Urgent() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.urgent == nil {
		b.urgent = make(chan struct{}, 1)
	}
	return b.urgent
}

// News returns what others should know at once.
func (b *Balancer) News() hitchdigest.News {
	b.mu.Lock()
	defer b.mu.Unlock()
	return hitchdigest.News{From: b.self, Cached: b.takeNews()}
}

// takeNews returns the oldest news, as many as a datagram holds.
func (b *Balancer) takeNews() []hitchdigest.Cached {
	n := min(len(b.news), maxReported)
	out := b.news[:n:n]
	b.news = b.news[n:]
	return out
}

// Hurry has Urgent's channel get a value.
func (b *Balancer) Hurry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hurry()
}

// hurry says that there are news that others should know at once.
func (b *Balancer) hurry() {
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

// tell notes which prefixes a request brings to an engine, for the next report.
func (b *Balancer) tell(e *endpoint, prompt Prompt, now time.Time) {
	for i, key := range b.chain {
		part := e.cached.byKey[key]
		if now.Sub(part.usedAt) < cachedRefresh {
			continue
		}
		c := hitchdigest.Cached{Endpoint: e.ref, Prefix: key, IsRead: now.Sub(part.usedAt) <= cachedLife && part.isRead(now)}
		if !c.IsRead {
			c.Tokens = prompt.Parts[i].Tokens
		}
		b.say(c)
	}
}

// say notes what the next report says of a prefix.
func (b *Balancer) say(c hitchdigest.Cached) {
	for i, old := range b.news {
		if old.Endpoint == c.Endpoint && old.Prefix == c.Prefix {
			b.news[i] = c
			return
		}
	}
	if len(b.news) < maxNews {
		b.news = append(b.news, c)
	}
}

const (
	// cachedRefresh is how old the others' knowledge of a cached prefix may get
	// while it is in use.
	cachedRefresh = cachedLife / 3
	// maxReported bounds what one report says of cached prefixes, and maxNews what
	// waits for the next ones.
	maxReported = 64
	maxNews     = 1024
)
