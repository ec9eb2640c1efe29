package hitchbalance

import (
	"iter"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// cachedPrefixTTL is how long a prefix counts as cached at an engine after the last
// known request with it.
const cachedPrefixTTL = 30 * time.Second

// maxCachedPrefixes bounds the prefixes kept for one engine.
const maxCachedPrefixes = 4096

// prefillTimeout is how long the prefill of a prefix counts as pending without a
// confirmation. After that the prefix counts as prefilled.
const prefillTimeout = 2 * time.Second

// cachedPrefix is a prefix that an engine has cached or is prefilling.
type cachedPrefix struct {
	usedAt time.Time
	// prefillUntil is when the prefill ends at the latest; the zero time once the
	// prefix is prefilled.
	prefillUntil time.Time
}

// isPrefilled reports whether the engine has prefilled the prefix.
func (p cachedPrefix) isPrefilled(now time.Time) bool { return !now.Before(p.prefillUntil) }

// prefixCache holds the prefixes that an engine is known to have cached or to be
// prefilling, with the time of their last use.
type prefixCache struct {
	byKey   map[hitchfleet.Key]cachedPrefix
	backlog backlog
}

// recordRequest records that a request is sent to the engine. It returns those of the
// prompt's prefixes that the engine neither has cached nor is prefilling.
func (c *prefixCache) recordRequest(prefixKeys []hitchfleet.Key, prompt Prompt, now time.Time) (added []hitchfleet.Key) {
	for i, key := range prefixKeys {
		prefix, ok := c.byKey[key]
		if !ok || now.Sub(prefix.usedAt) > cachedPrefixTTL {
			prefix.prefillUntil = now.Add(prefillTimeout)
			added = append(added, key)
			c.backlog.add(key, prompt.Parts[i].Tokens, prefix.prefillUntil)
		}
		prefix.usedAt = now
		c.set(key, prefix)
	}
	return added
}

// applyUpdate applies another instance's update about a prefix.
func (c *prefixCache) applyUpdate(update hitchdigest.CachedPrefix, now time.Time) {
	prefix, ok := c.byKey[update.Prefix]
	switch {
	case update.IsDropped():
		c.dropPending([]hitchfleet.Key{update.Prefix}, now)
		return
	case update.IsPrefilled:
		prefix.prefillUntil = time.Time{}
		c.backlog.remove(update.Prefix)
	case !ok || now.Sub(prefix.usedAt) > cachedPrefixTTL:
		prefix.prefillUntil = now.Add(prefillTimeout)
		c.backlog.add(update.Prefix, update.PrefillTokens, prefix.prefillUntil)
	}
	prefix.usedAt = now
	c.set(update.Prefix, prefix)
}

// markPrefilled marks prefixes as prefilled, and reports whether any was pending.
func (c *prefixCache) markPrefilled(keys []hitchfleet.Key, now time.Time) (changed bool) {
	for _, key := range keys {
		if prefix, ok := c.byKey[key]; ok && !prefix.isPrefilled(now) {
			prefix.prefillUntil = time.Time{}
			c.byKey[key] = prefix
			c.backlog.remove(key)
			changed = true
		}
	}
	return changed
}

// dropPending removes those of the prefixes whose prefill is pending, and returns them.
func (c *prefixCache) dropPending(keys []hitchfleet.Key, now time.Time) (dropped []hitchfleet.Key) {
	for _, key := range keys {
		if prefix, ok := c.byKey[key]; ok && !prefix.isPrefilled(now) {
			delete(c.byKey, key)
			c.backlog.remove(key)
			dropped = append(dropped, key)
		}
	}
	return dropped
}

// set sets the state of a prefix. If the cache is full, all other prefixes are dropped.
func (c *prefixCache) set(key hitchfleet.Key, prefix cachedPrefix) {
	if c.byKey == nil || len(c.byKey) >= maxCachedPrefixes {
		c.byKey = make(map[hitchfleet.Key]cachedPrefix)
	}
	c.byKey[key] = prefix
}

// knownDepth returns how many of a prompt's prefixes the engine has cached or is
// prefilling.
func (c *prefixCache) knownDepth(prefixKeys []hitchfleet.Key, now time.Time) int {
	for n := len(prefixKeys); n > 0; n-- {
		if prefix, ok := c.byKey[prefixKeys[n-1]]; ok && now.Sub(prefix.usedAt) <= cachedPrefixTTL {
			return n
		}
	}
	return 0
}

// cachedDepth returns how many of a prompt's prefixes the engine has cached.
func (c *prefixCache) cachedDepth(prefixKeys []hitchfleet.Key, now time.Time) int {
	for n := len(prefixKeys); n > 0; n-- {
		if prefix, ok := c.byKey[prefixKeys[n-1]]; ok && now.Sub(prefix.usedAt) <= cachedPrefixTTL && prefix.isPrefilled(now) {
			return n
		}
	}
	return 0
}

// cacheSource returns an engine from which the chosen one can copy cached prefixes of
// a prompt, or the zero Endpoint if the chosen one has them all or no engine
// qualifies. It prefers the engine that is known to have the longest prefix cached.
// If none is known, as in an instance that has just started, it returns the first
// engine in the prompt's rendezvous order among those that come before the chosen
// one in it or joined the fleet before it.
func (b *Balancer) cacheSource(now time.Time, chosen *endpoint, key hitchfleet.Key, prefixKeys []hitchfleet.Key) hitchfleet.Endpoint {
	ownDepth := chosen.cache.knownDepth(prefixKeys, now)
	if ownDepth == len(prefixKeys) {
		return hitchfleet.Endpoint{}
	}
	var cached, likely *endpoint
	var usedAt time.Time
	var best uint64
	depth := ownDepth
	own := hitchfleet.Score(key, chosen.key)
	for e := range b.sourceCandidates(now, chosen) {
		n := e.cache.cachedDepth(prefixKeys, now)
		if n > depth || n == depth && n > ownDepth && e.cache.byKey[prefixKeys[n-1]].usedAt.After(usedAt) {
			cached, usedAt, depth = e, e.cache.byKey[prefixKeys[n-1]].usedAt, n
		}
		score := hitchfleet.Score(key, e.key)
		if e.removedAt.IsZero() && (score > own || e.joinedBefore(chosen)) && score > best {
			likely, best = e, score
		}
	}
	switch {
	case cached != nil:
		return cached.Endpoint
	case likely != nil:
		return likely.Endpoint
	default:
		return hitchfleet.Endpoint{}
	}
}

// minBornGapMilliseconds is how much earlier than another engine an engine must have
// started to count as the older one. Engines that started together have the same
// prompts.
const minBornGapMilliseconds = 1000

// joinedBefore reports whether an engine joined the fleet before another one. The
// engines' start times say so also to an instance that itself started after both.
func (e *endpoint) joinedBefore(other *endpoint) bool {
	if e.Born > 0 && other.Born > 0 {
		return other.Born-e.Born >= minBornGapMilliseconds
	}
	return e.firstSeen.Before(other.firstSeen)
}

// removedSourceTTL is how long engines may copy from the cache of an endpoint that
// left the fleet. Some endpoints leave unannounced and finish their requests first.
const removedSourceTTL = 4 * time.Second

// sourceCandidates returns the endpoints from whose caches the chosen one may copy.
func (b *Balancer) sourceCandidates(now time.Time, chosen *endpoint) iter.Seq[*endpoint] {
	isEligible := func(e *endpoint) bool {
		return e != chosen && e.Service == chosen.Service && !e.health.isEjected(now, true) && !e.zone.isEjected(now, true)
	}
	return func(yield func(*endpoint) bool) {
		for _, e := range b.byID {
			if isEligible(e) && !slices.Contains(b.zoneOutByService[e.Service], e) && !yield(e) {
				return
			}
		}
		for _, e := range b.removed {
			if isEligible(e) && now.Sub(e.removedAt) < removedSourceTTL && !yield(e) {
				return
			}
		}
	}
}
