package hitchbalance

import "time"

// Times of an endpoint that fails.
const (
	// firstRest is how long a broken endpoint gets nothing; each further failure
	// doubles it, up to lastRest.
	firstRest = 500 * time.Millisecond
	lastRest  = 4 * time.Second
	// trialLife is how long one request tests an endpoint after its rest before
	// another may.
	trialLife = time.Second
)

// health is what an instance's own requests say of an endpoint, or of all
// endpoints of a zone. After a failure it rests; then one request at a time tests
// it until one is answered.
type health struct {
	broken     int
	restsFrom  time.Time
	restsUntil time.Time
	trialUntil time.Time
	// answeredAt is when an answer came last.
	answeredAt time.Time
}

// answered takes in the first byte of an answer, and tells whether it ends the
// tests after a rest.
func (h *health) answered(now time.Time) (isBack bool) {
	isBack = h.broken > 0
	h.broken = 0
	h.answeredAt = now
	return isBack
}

// fail takes in that a request broke, and tells whether a rest begins. A request
// that was sent before the present rest began says nothing new.
func (h *health) fail(now, sentAt time.Time) (rests bool) {
	if h.broken > 0 && !sentAt.After(h.restsFrom) {
		return false
	}
	h.restsFrom = now
	h.restsUntil = now.Add(min(firstRest<<min(h.broken, 8), lastRest))
	h.trialUntil = time.Time{}
	h.broken++
	return true
}

// isResting tells whether a request should go elsewhere. One that may not be
// repeated is the last to test an endpoint.
func (h *health) isResting(now time.Time, mayRepeat bool) bool {
	if h.broken == 0 {
		return false
	}
	until := h.restsUntil
	if !mayRepeat {
		until = until.Add(trialLife)
	}
	return now.Before(until) || now.Before(h.trialUntil)
}

// begin notes that a request is sent, which is a test if the rest is over.
func (h *health) begin(now time.Time) {
	if h.broken > 0 {
		h.trialUntil = now.Add(trialLife)
	}
}

// leftInOrder tells whether an endpoint whose entry was removed likely left in
// order and goes on for a while. One that crashed is missed only after three
// heartbeats, and has answered nothing since.
func (h *health) leftInOrder(removedAt time.Time, heartbeat time.Duration) bool {
	return h.broken == 0 && removedAt.Sub(h.answeredAt) < 2*heartbeat
}
