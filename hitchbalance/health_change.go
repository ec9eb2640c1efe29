package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// HealthChange is a change in the health of an endpoint or a zone as a Balancer sees it.
type HealthChange struct {
	// Endpoint is empty if the change concerns a whole zone.
	Endpoint hitchfleet.EndpointID
	Zone     hitchfleet.AvailabilityZone
	// EjectedUntil is the end of the ejection; the zero time after a recovery.
	EjectedUntil time.Time
	// Failures counts the consecutive failures.
	Failures int
	// LastResponseAt is when the last response arrived.
	LastResponseAt time.Time
	// BadShare is the share of bad results of an endpoint that is passed over for these, or is used again after that.
	BadShare float64
}

// maxHealthChanges bounds the changes kept for the next call of TakeHealthChanges.
const maxHealthChanges = 256

// TakeHealthChanges returns the health changes since the last call.
func (b *Balancer) TakeHealthChanges() []HealthChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.healthChanges
	b.healthChanges = nil
	return out
}

// addHealthChange keeps a change of a health for TakeHealthChanges.
func (b *Balancer) addHealthChange(id hitchfleet.EndpointID, zone hitchfleet.AvailabilityZone, h health) {
	b.addChange(HealthChange{Endpoint: id, Zone: zone, Failures: h.failures, EjectedUntil: h.endOfEjection(), LastResponseAt: h.lastResponseAt})
}

// addChange keeps a change for TakeHealthChanges unless there are maxHealthChanges.
func (b *Balancer) addChange(change HealthChange) {
	if len(b.healthChanges) < maxHealthChanges {
		b.healthChanges = append(b.healthChanges, change)
	}
}

// ForgetFailures makes all endpoints and zones count as reachable, as it was this instance's own
// path that failed.
func (b *Balancer) ForgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.byID {
		e.health = health{lastResponseAt: e.health.lastResponseAt}
	}
	for _, z := range b.zones {
		*z = zoneHealth{health: health{lastResponseAt: z.lastResponseAt}}
	}
}

// recordResponse records a response, which shows that the endpoint and its zone are
// reachable.
func (b *Balancer) recordResponse(now time.Time, e *endpoint, pickID uint64) {
	e.pending.remove(pickID)
	if e.health.recordResponse(now) {
		b.addHealthChange(e.ID, e.Zone, e.health)
	}
	if e.zone.recordResponse(now) {
		b.addHealthChange("", e.Zone, e.zone.health)
	}
}

// recordFailure records a failed request to an endpoint.
func (b *Balancer) recordFailure(now, sentAt time.Time, e *endpoint) {
	if e.health.recordFailure(now, sentAt) {
		b.addHealthChange(e.ID, e.Zone, e.health)
	}
}

// recordZoneFailure records that an endpoint gave no response in time, which may be
// a fault of the network to its zone.
func (b *Balancer) recordZoneFailure(now, sentAt time.Time, e *endpoint) {
	if e.zone.recordFailure(now, sentAt, e.ID) {
		b.addHealthChange("", e.Zone, e.zone.health)
	}
}
