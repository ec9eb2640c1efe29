package hitchquota

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Times of requests in flight at endpoints that limit them.
const (
	// fullDelay is when it may be asked again for a permit at an endpoint without room, and
	// fullReturnDelay when a refused caller may return.
	fullDelay       = 25 * time.Millisecond
	fullReturnDelay = 300 * time.Millisecond
	// holdingTTL is how long what an instance has in flight counts without a message of it,
	// which sends one each second.
	holdingTTL = 4 * time.Second
	// placeLearnTime is how long a new issuer gives no permits, in which it learns from the
	// questions what is in flight, and placeSettleTime how long it gives half of them, as some
	// instances don't ask.
	placeLearnTime  = 150 * time.Millisecond
	placeSettleTime = 1200 * time.Millisecond
)

// Holding is what an instance has in flight at an endpoint.
type Holding struct {
	_ struct{} `cbor:",toarray"`
	// Sequence counts the messages of the instance.
	Sequence uint32
	// Held is the number of requests in flight, and Pending that of open questions for permits,
	// besides the one that comes with the holding.
	Held, Pending uint16
}

// places are the requests in flight at a run of an endpoint.
type places struct {
	since   time.Time
	holders map[hitchfleet.InstanceID]*holder
}

// holder is what one instance has in flight.
type holder struct {
	held int
	// sequence is that of the newest message, and grantedAt that of the question with the last
	// permit.
	sequence, grantedAt uint32
	updatedAt           time.Time
}

// placesOf returns the places of a run, which are created on first use. It is called with mu
// held.
func (i *Issuer) placesOf(now time.Time, run hitchfleet.RunID) *places {
	if p := i.places[run]; p != nil {
		return p
	}
	if i.places == nil {
		i.places = make(map[hitchfleet.RunID]*places)
	}
	for other, p := range i.places {
		if p.expire(now); len(p.holders) == 0 && now.Sub(p.since) > bucketTTL {
			delete(i.places, other)
		}
	}
	p := &places{since: now, holders: make(map[hitchfleet.InstanceID]*holder)}
	i.places[run] = p
	return p
}

// hasRoom reports whether one more request may be in flight, and records what an instance that
// asks for that has.
func (p *places) hasRoom(now time.Time, limit int, from hitchfleet.InstanceID, h Holding) bool {
	p.update(now, from, h)
	p.expire(now)
	switch age := now.Sub(p.since); {
	case age < placeLearnTime:
		limit = 0
	case age < placeSettleTime:
		limit = max(limit/2, 1)
	}
	total := 0
	for _, holder := range p.holders {
		total += holder.held
	}
	return total < limit
}

// take records that an instance has got a permit.
func (p *places) take(now time.Time, from hitchfleet.InstanceID, h Holding) {
	holder := p.holder(now, from)
	holder.held++
	holder.grantedAt = max(holder.grantedAt, h.Sequence)
}

// update records what an instance has in flight, unless a newer message says so. While questions
// of it are open, it may not have seen its last permits.
func (p *places) update(now time.Time, from hitchfleet.InstanceID, h Holding) {
	holder := p.holder(now, from)
	if h.Sequence < holder.sequence {
		return
	}
	holder.sequence, holder.updatedAt = h.Sequence, now
	if h.Pending == 0 && h.Sequence > holder.grantedAt || int(h.Held) > holder.held {
		holder.held = int(h.Held)
	}
}

// holder returns the entry of an instance, which is created on first use.
func (p *places) holder(now time.Time, id hitchfleet.InstanceID) *holder {
	if p.holders[id] == nil {
		p.holders[id] = &holder{updatedAt: now}
	}
	return p.holders[id]
}

// expire forgets the instances that have sent nothing for long.
func (p *places) expire(now time.Time) {
	for id, holder := range p.holders {
		if now.Sub(holder.updatedAt) >= holdingTTL {
			delete(p.holders, id)
		}
	}
}

// Holdings counts this instance's questions for permits, so that the owners of endpoints know
// what it has in flight there. The zero value is ready to use.
type Holdings struct {
	mu       sync.Mutex
	sequence uint32
	pending  map[hitchfleet.RunID]int
	// kept counts the places of requests that have ended, which others may take at once.
	kept map[hitchfleet.RunID]int
}

// Keep keeps the place of a request that has ended for the next one of this instance.
func (h *Holdings) Keep(run hitchfleet.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept == nil {
		h.kept = make(map[hitchfleet.RunID]int)
	}
	h.kept[run]++
}

// TakeKept takes a kept place, and returns false if there is none.
func (h *Holdings) TakeKept(run hitchfleet.RunID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept[run] == 0 {
		return false
	}
	if h.kept[run]--; h.kept[run] == 0 {
		delete(h.kept, run)
	}
	return true
}

// Begin records that a question for a permit is open, until the returned function is called.
func (h *Holdings) Begin(run hitchfleet.RunID) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == nil {
		h.pending = make(map[hitchfleet.RunID]int)
	}
	h.pending[run]++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.pending[run]--; h.pending[run] == 0 {
			delete(h.pending, run)
		}
	}
}

// Holding returns what to say of a run with a number of picked requests, of which those with an
// open question aren't in flight yet. own is 1 if it is said with a question, and 0 otherwise.
func (h *Holdings) Holding(run hitchfleet.RunID, picked, own int) Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	pending := h.pending[run]
	return Holding{Sequence: h.sequence, Held: uint16(max(picked-pending, 0) + h.kept[run]), Pending: uint16(max(pending-own, 0))}
}
