package hitchbalance

import "time"

// Times of an endpoint that fails.
const (
	firstSuspicion = 500 * time.Millisecond
	lastSuspicion  = 4 * time.Second
)

// health is what an instance's own requests say of an endpoint. After a broken
// connection the endpoint gets nothing for a while, twice as long after each
// further one.
type health struct {
	broken       int
	suspectUntil time.Time
	// answeredAt is when the endpoint gave an answer last.
	answeredAt time.Time
}

func (h *health) settle(now time.Time, r Result) {
	switch r {
	case ResultOK, ResultFailed, ResultRefused:
		h.broken = 0
		h.suspectUntil = time.Time{}
		h.answeredAt = now
	case ResultUnreachable, ResultLost:
		wait := min(firstSuspicion<<min(h.broken, 8), lastSuspicion)
		h.broken++
		h.suspectUntil = now.Add(wait)
	}
}

func (h *health) isSuspect(now time.Time) bool { return now.Before(h.suspectUntil) }

// leftInOrder tells whether an endpoint whose entry was removed likely left in
// order and goes on for a while. One that crashed is missed only after three
// heartbeats, and has answered nothing since.
func (h *health) leftInOrder(removedAt time.Time, heartbeat time.Duration) bool {
	return h.broken == 0 && removedAt.Sub(h.answeredAt) < 2*heartbeat
}
