package hitchbalance

import (
	"iter"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// cachedLife is how long a part counts as cached at an engine after this
// instance sent a request with it there.
const cachedLife = 30 * time.Second

// maxCachedParts bounds what is remembered for one engine.
const maxCachedParts = 4096

// cachedParts remembers which prefixes of prompts an engine has read for this
// instance, with the time of the last request.
type cachedParts struct {
	byKey map[hitchfleet.Key]time.Time
}

func (c *cachedParts) put(chain []hitchfleet.Key, now time.Time) {
	if c.byKey == nil || len(c.byKey) >= maxCachedParts {
		c.byKey = make(map[hitchfleet.Key]time.Time)
	}
	for _, key := range chain {
		c.byKey[key] = now
	}
}

// depth returns how many prefixes of a chain the engine is known to cache.
func (c *cachedParts) depth(chain []hitchfleet.Key, now time.Time) int {
	for n := len(chain); n > 0; n-- {
		if at, ok := c.byKey[chain[n-1]]; ok && now.Sub(at) <= cachedLife {
			return n
		}
	}
	return 0
}

// source returns an engine from which the chosen one can copy the cached parts
// of a prompt, or nothing if the chosen one has them itself. The engine that is
// known to cache the longest prefix comes first, then the first of the rendezvous
// order among those that come before the chosen one or were there before it
// joined: an instance that has just started knows nothing of caches.
func (b *Balancer) source(now time.Time, chosen *endpoint, key hitchfleet.Key, chain []hitchfleet.Key) hitchfleet.Endpoint {
	has := chosen.cached.depth(chain, now)
	if has == len(chain) {
		return hitchfleet.Endpoint{}
	}
	var used, ranked *endpoint
	var usedAt time.Time
	var best uint64
	depth := has
	own := hitchfleet.Score(key, chosen.key)
	for e := range b.sources(now, chosen) {
		n := e.cached.depth(chain, now)
		if n > depth || n == depth && n > has && e.cached.byKey[chain[n-1]].After(usedAt) {
			used, usedAt, depth = e, e.cached.byKey[chain[n-1]], n
		}
		score := hitchfleet.Score(key, e.key)
		if e.goneAt.IsZero() && (score > own || e.joined.Before(chosen.joined)) && score > best {
			ranked, best = e, score
		}
	}
	switch {
	case used != nil:
		return used.Endpoint
	case ranked != nil:
		return ranked.Endpoint
	default:
		return hitchfleet.Endpoint{}
	}
}

// goneSourceLife is how long an endpoint that has left the fleet is asked for
// what it caches. Some leave without a word and end their work first.
const goneSourceLife = 4 * time.Second

// sources returns the endpoints from which the chosen one may copy.
func (b *Balancer) sources(now time.Time, chosen *endpoint) iter.Seq[*endpoint] {
	mayBe := func(e *endpoint) bool {
		return e != chosen && e.Service == chosen.Service && !e.health.isResting(now, true) && !e.path.isResting(now, true)
	}
	return func(yield func(*endpoint) bool) {
		for _, e := range b.byID {
			if mayBe(e) && !slices.Contains(b.outBy[e.Service], e) && !yield(e) {
				return
			}
		}
		for _, e := range b.gone {
			if mayBe(e) && now.Sub(e.goneAt) < goneSourceLife && !yield(e) {
				return
			}
		}
	}
}
