package hitchbalance

import (
	"slices"
	"time"
)

// wait is a request that has no answer yet.
type wait struct {
	ticket uint64
	sentAt time.Time
	// by is when the answer is expected; the zero time if nobody knows.
	by time.Time
}

// waits are an endpoint's requests without an answer, the oldest first.
type waits []wait

// end removes a request.
func (w *waits) end(ticket uint64) {
	*w = slices.DeleteFunc(*w, func(x wait) bool { return x.ticket == ticket })
}

// overdue returns when the first request was sent whose answer is overdue while
// no other came since, and false if there is none.
func (w waits) overdue(now, answeredAt time.Time) (sentAt time.Time, ok bool) {
	for _, x := range w {
		if !x.by.IsZero() && now.After(x.by) && x.sentAt.After(answeredAt) {
			return x.sentAt, true
		}
	}
	return time.Time{}, false
}

// Expect says by when an answer to a request is expected. While it is overdue,
// other requests prefer other endpoints.
func (b *Balancer) Expect(p Pick, by time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointOf(p)
	if e == nil {
		return
	}
	for i := range e.waits {
		if e.waits[i].ticket == p.ticket {
			e.waits[i].by = by
		}
	}
}

// Answered takes in the first byte of an answer.
func (b *Balancer) Answered(now time.Time, p Pick) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.endpointOf(p); e != nil {
		b.answered(now, e, p.ticket)
	}
}
