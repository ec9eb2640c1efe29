package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Belief is a change of what a Balancer believes of an endpoint or of the way to
// a zone.
type Belief struct {
	// Endpoint is empty if the belief is of a whole zone.
	Endpoint hitchfleet.EndpointID
	Zone     hitchfleet.AvailabilityZone
	// RestsUntil is until when nothing is sent there; the zero time if it is back.
	RestsUntil time.Time
	// Failures counts the failures in a row.
	Failures int
	// AnsweredAt is when the last answer came.
	AnsweredAt time.Time
}

// maxBeliefs bounds the changes that wait to be told.
const maxBeliefs = 256

// Beliefs returns the changes since the last call.
func (b *Balancer) Beliefs() []Belief {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.beliefs
	b.beliefs = nil
	return out
}

// believe notes a change.
func (b *Balancer) believe(id hitchfleet.EndpointID, zone hitchfleet.AvailabilityZone, h health) {
	if len(b.beliefs) >= maxBeliefs {
		return
	}
	belief := Belief{Endpoint: id, Zone: zone, Failures: h.broken, AnsweredAt: h.answeredAt}
	if h.broken > 0 {
		belief.RestsUntil = h.restsUntil
	}
	b.beliefs = append(b.beliefs, belief)
}

// answered takes in that an endpoint, and so its zone, can be reached.
func (b *Balancer) answered(now time.Time, e *endpoint, ticket uint64) {
	e.waits.end(ticket)
	if e.health.answered(now) {
		b.believe(e.ID, e.Zone, e.health)
	}
	if e.path.answered(now) {
		b.believe("", e.Zone, e.path.health)
	}
}

// fail takes in that a request to an endpoint broke.
func (b *Balancer) fail(now, sentAt time.Time, e *endpoint) {
	if e.health.fail(now, sentAt) {
		b.believe(e.ID, e.Zone, e.health)
	}
}

// failPath takes in that nothing came from an endpoint in time.
func (b *Balancer) failPath(now, sentAt time.Time, e *endpoint) {
	if e.path.fail(now, sentAt, e.ID) {
		b.believe("", e.Zone, e.path.health)
	}
}
