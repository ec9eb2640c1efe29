package hitchbalance

import (
	"iter"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// cachedLife is how long a part counts as cached at an engine after this
// instance sent a request with it there.
const cachedLife = 30 * time.Second

// maxCachedParts bounds what is remembered for one engine.
const maxCachedParts = 4096

// readLife is how long a part counts as being read if nobody says that it is.
const readLife = 2 * time.Second

// cachedPart is a prefix that an engine has cached or is reading.
type cachedPart struct {
	usedAt time.Time
	// readUntil is until when the engine reads it at the latest; the zero time once
	// it is read.
	readUntil time.Time
}

// isRead tells whether the engine has read the part.
func (p cachedPart) isRead(now time.Time) bool { return !now.Before(p.readUntil) }

// cachedParts remembers which prefixes of prompts an engine has read or reads,
// with the time of the last request.
type cachedParts struct {
	byKey   map[hitchfleet.Key]cachedPart
	backlog backlog
}

// begin notes that a request with a prompt goes to the engine, and returns the
// prefixes that it is the first to bring.
func (c *cachedParts) begin(chain []hitchfleet.Key, prompt Prompt, now time.Time) (first []hitchfleet.Key) {
	for i, key := range chain {
		part, ok := c.byKey[key]
		if !ok || now.Sub(part.usedAt) > cachedLife {
			part.readUntil = now.Add(readLife)
			first = append(first, key)
			c.backlog.add(key, prompt.Parts[i].Tokens, part.readUntil)
		}
		part.usedAt = now
		c.put(key, part)
	}
	return first
}

// learn takes in what another instance says of a prefix.
func (c *cachedParts) learn(news hitchdigest.Cached, now time.Time) {
	part, ok := c.byKey[news.Prefix]
	switch {
	case news.IsRead:
		part.readUntil = time.Time{}
		c.backlog.remove(news.Prefix)
	case !ok || now.Sub(part.usedAt) > cachedLife:
		part.readUntil = now.Add(readLife)
		c.backlog.add(news.Prefix, news.Tokens, part.readUntil)
	}
	part.usedAt = now
	c.put(news.Prefix, part)
}

// read notes that the engine has read prefixes, and tells whether that is news.
func (c *cachedParts) read(keys []hitchfleet.Key, now time.Time) (isNews bool) {
	for _, key := range keys {
		if part, ok := c.byKey[key]; ok && !part.isRead(now) {
			part.readUntil = time.Time{}
			c.byKey[key] = part
			c.backlog.remove(key)
			isNews = true
		}
	}
	return isNews
}

// drop forgets prefixes that the engine hasn't read, and tells whether there were
// any.
func (c *cachedParts) drop(keys []hitchfleet.Key, now time.Time) (isNews bool) {
	for _, key := range keys {
		if part, ok := c.byKey[key]; ok && !part.isRead(now) {
			delete(c.byKey, key)
			c.backlog.remove(key)
			isNews = true
		}
	}
	return isNews
}

func (c *cachedParts) put(key hitchfleet.Key, part cachedPart) {
	if c.byKey == nil || len(c.byKey) >= maxCachedParts {
		c.byKey = make(map[hitchfleet.Key]cachedPart)
	}
	c.byKey[key] = part
}

// depth returns how many prefixes of a chain the engine is known to cache or to
// read.
func (c *cachedParts) depth(chain []hitchfleet.Key, now time.Time) int {
	for n := len(chain); n > 0; n-- {
		if part, ok := c.byKey[chain[n-1]]; ok && now.Sub(part.usedAt) <= cachedLife {
			return n
		}
	}
	return 0
}

// readDepth returns how many prefixes of a chain the engine is known to cache.
func (c *cachedParts) readDepth(chain []hitchfleet.Key, now time.Time) int {
	for n := len(chain); n > 0; n-- {
		if part, ok := c.byKey[chain[n-1]]; ok && now.Sub(part.usedAt) <= cachedLife && part.isRead(now) {
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
		n := e.cached.readDepth(chain, now)
		if n > depth || n == depth && n > has && e.cached.byKey[chain[n-1]].usedAt.After(usedAt) {
			used, usedAt, depth = e, e.cached.byKey[chain[n-1]].usedAt, n
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
