package hitchserver

import (
	"sync"
	"time"
)

// freeHeadBytes is the memory up to which a head is always read. A larger one draws on the budget.
const freeHeadBytes = 16 << 10

// HeadBudget bounds the memory of the large heads that the connections of all servers of a process hold together. If
// it is used up, the connection without a whole request that has held most for longest is closed. The zero value has no bound.
//
// Load pattern: very many clients send heads of thousands of short lines, each of which takes a hundred times the memory of its
// bytes. Without a bound the instance runs out of memory, and all its requests with it.
type HeadBudget struct {
	// Bytes is the bound in bytes.
	Bytes int64

	mu   sync.Mutex
	used int64
	// reading holds the connections that draw on the budget for a request that isn't whole.
	reading map[*conn]struct{}
	evicted int64
}

// Evicted returns the number of connections that were closed since the start for want of memory.
func (b *HeadBudget) Evicted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// hold sets the memory that the head of a connection's request takes, and whether the request is
// whole. It reports whether the budget has as much.
func (b *HeadBudget) hold(c *conn, bytes int64, isWhole bool) bool {
	if b == nil || b.Bytes <= 0 {
		return true
	}
	victims, ok := b.makeRoom(c, max(bytes-freeHeadBytes, 0), isWhole)
	for _, victim := range victims {
		victim.evict()
	}
	if !ok {
		c.evict()
	}
	return ok
}

// makeRoom sets what a connection holds, and returns the connections to close for that.
func (b *HeadBudget) makeRoom(c *conn, bytes int64, isWhole bool) (victims []*conn, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.lostHead {
		return nil, false
	}
	b.set(c, bytes, isWhole)
	for now := time.Now(); b.used > b.Bytes; {
		victim := b.heaviest(c, now)
		b.set(victim, 0, true)
		victim.lostHead = true
		b.evicted++
		if victim == c {
			return victims, false
		}
		victims = append(victims, victim)
	}
	return victims, true
}

// keep notes that the request of a connection is whole, which is no longer closed to make room. It reports whether it
// hasn't been closed before.
func (b *HeadBudget) keep(c *conn) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, c)
	return !c.lostHead
}

// release gives back what a connection holds.
func (b *HeadBudget) release(c *conn) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(c, 0, true)
}

// set sets what a connection holds. It is called with mu held.
func (b *HeadBudget) set(c *conn, bytes int64, isWhole bool) {
	b.used += bytes - c.heldBytes
	c.heldBytes = bytes
	if bytes == 0 || isWhole {
		delete(b.reading, c)
		return
	}
	if b.reading == nil {
		b.reading = make(map[*conn]struct{})
	}
	b.reading[c] = struct{}{}
}

// heaviest returns the connection that has held most for longest, among those without a whole request and c. It is
// called with mu held.
func (b *HeadBudget) heaviest(c *conn, now time.Time) *conn {
	out, most := c, c.weight(now)
	for other := range b.reading {
		if weight := other.weight(now); weight > most {
			out, most = other, weight
		}
	}
	return out
}
