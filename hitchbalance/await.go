package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// leastAwaited is the smallest part of a prompt worth waiting for, in tokens.
const leastAwaited = 500

// begin notes which parts of a prompt a pick brings to its engine, and whether
// others are being read there already.
func (b *Balancer) begin(now time.Time, e *endpoint, p *Pick, prompt Prompt) {
	depth, read := e.cached.depth(b.chain, now), e.cached.readDepth(b.chain, now)
	p.Unread = prompt.unread(read)
	isTest := e.health.broken > 0 || now.Before(e.ColdUntil)
	if p.Unread-prompt.unread(depth) >= leastAwaited && !isTest {
		p.Awaits = b.chain[depth-1]
	}
	b.tell(e, prompt, now)
	p.brings = e.cached.begin(b.chain, prompt, now)
	p.isLong = len(p.brings) > 0 && p.Unread-prompt.unread(len(b.chain)) >= leastAwaited
	if p.isLong {
		b.hurry()
	}
}

// Await returns a channel that is closed when what is known of caches changes,
// and false once the engine has read what the pick awaits, or won't.
func (b *Balancer) Await(now time.Time, p Pick) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointOf(p)
	if e == nil {
		return nil, false
	}
	if part, ok := e.cached.byKey[p.Awaits]; !ok || part.isRead(now) {
		return nil, false
	}
	if b.cacheChanged == nil {
		b.cacheChanged = make(chan struct{})
	}
	return b.cacheChanged, true
}

// Read takes in that the engine has read the prompt of a request: its first event
// came.
func (b *Balancer) Read(now time.Time, p Pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.endpointOf(p); e != nil {
		b.read(now, e, p)
	}
}

// read takes in that an engine has read the prompt of a request.
func (b *Balancer) read(now time.Time, e *endpoint, p Pick) {
	if !e.cached.read(p.brings, now) {
		return
	}
	b.wake()
	for _, key := range p.brings {
		b.say(hitchdigest.Cached{Endpoint: e.ref, Prefix: key, IsRead: true})
	}
	if p.isLong {
		b.hurry()
	}
}

// unread takes in that a request ended before the engine read its prompt.
func (b *Balancer) unread(now time.Time, e *endpoint, keys []hitchfleet.Key) {
	if e.cached.drop(keys, now) {
		b.wake()
	}
}

// wake lets all look again that await a prompt.
func (b *Balancer) wake() {
	if b.cacheChanged != nil {
		close(b.cacheChanged)
		b.cacheChanged = nil
	}
}
