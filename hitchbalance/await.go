package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
)

// longPrefillTokens is the number of tokens from which on a prefill is long: other
// requests wait for it, and cache updates about it are sent at once.
const longPrefillTokens = 500

// recordPrompt records the prefixes of a picked request's prompt as sent to the
// engine, and sets the fields of the pick that depend on the engine's cache. A
// probe of a failed engine and a request to an engine in cold start don't wait
// for another request's prefill.
func (b *Balancer) recordPrompt(now time.Time, e *endpoint, p *Pick, prompt Prompt) {
	known, cached := e.cache.knownDepth(b.prefixKeys, now), e.cache.cachedDepth(b.prefixKeys, now)
	p.UncachedTokens = prompt.tokensAfter(cached)
	isProbe := e.health.failures > 0 || now.Before(e.ColdUntil)
	if p.UncachedTokens-prompt.tokensAfter(known) >= longPrefillTokens && !isProbe {
		p.PendingPrefix = b.prefixKeys[known-1]
	}
	p.updates = b.promptUpdates(e, prompt, now)
	p.newPrefixes = e.cache.recordRequest(b.prefixKeys, prompt, now)
	p.isLongPrefill = len(p.newPrefixes) > 0 && p.UncachedTokens-prompt.tokensAfter(len(b.prefixKeys)) >= longPrefillTokens
}

// AwaitPrefill returns a channel that is closed when the known state of any engine's
// cache changes. It returns false once the prefix that the pick waits for is
// prefilled, or its prefill failed or timed out.
func (b *Balancer) AwaitPrefill(now time.Time, p Pick) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointOf(p)
	if e == nil {
		return nil, false
	}
	if prefix, ok := e.cache.byKey[p.PendingPrefix]; !ok || prefix.isPrefilled(now) {
		return nil, false
	}
	if b.cacheChanged == nil {
		b.cacheChanged = make(chan struct{})
	}
	return b.cacheChanged, true
}

// ObservePrefill records that the engine has prefilled the prompt of a request. It is
// to be called when the first event of the response arrives.
func (b *Balancer) ObservePrefill(now time.Time, p Pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.endpointOf(p); e != nil {
		b.recordPrefill(now, e, p)
	}
}

// recordPrefill marks the prefixes of a request as prefilled and queues the cache
// updates for the other instances.
func (b *Balancer) recordPrefill(now time.Time, e *endpoint, p Pick) {
	if !e.cache.markPrefilled(p.newPrefixes, now) {
		return
	}
	b.notifyCacheChange()
	for _, key := range p.newPrefixes {
		b.queueCacheUpdate(hitchdigest.CachedPrefix{Endpoint: e.ref, Prefix: key, IsPrefilled: true})
	}
	if p.isLongPrefill {
		b.signalUrgent()
	}
}

// dropPrefill removes the prefixes of a request that ended before the engine had
// prefilled them, and tells the other instances, whose requests may wait for that, unless they
// haven't heard of it.
func (b *Balancer) dropPrefill(now time.Time, e *endpoint, p Pick) {
	dropped := e.cache.dropPending(p.newPrefixes, now)
	if len(dropped) == 0 {
		return
	}
	b.notifyCacheChange()
	if len(p.updates) > 0 {
		return
	}
	for _, key := range dropped {
		b.queueCacheUpdate(hitchdigest.CachedPrefix{Endpoint: e.ref, Prefix: key})
	}
	b.signalUrgent()
}

// notifyCacheChange wakes the requests that wait for a prefill.
func (b *Balancer) notifyCacheChange() {
	if b.cacheChanged != nil {
		close(b.cacheChanged)
		b.cacheChanged = nil
	}
}
