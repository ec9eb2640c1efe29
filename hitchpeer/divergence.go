package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Anti-entropy: a table that differs from a neighbour's for divergenceDelay is
// synchronised with that neighbour, at most once every minSyncInterval.
const (
	divergenceDelay = 1500 * time.Millisecond
	minSyncInterval = 2 * time.Second
)

// divergenceTracker decides when to synchronise with a neighbour: once the tables
// have differed for longer than updates usually take to arrive.
type divergenceTracker struct {
	dueAt      map[hitchfleet.InstanceID]time.Time
	nextSyncAt time.Time
}

// isSyncDue records whether the neighbour's checksum equals this router's, and
// reports whether it is time to synchronise with the neighbour.
func (d *divergenceTracker) isSyncDue(now time.Time, neighbour hitchfleet.InstanceID, equal bool) bool {
	if equal {
		delete(d.dueAt, neighbour)
		return false
	}
	dueAt, differs := d.dueAt[neighbour]
	if !differs {
		if d.dueAt == nil {
			d.dueAt = make(map[hitchfleet.InstanceID]time.Time)
		}
		d.dueAt[neighbour] = now.Add(divergenceDelay)
		return false
	}
	if now.Before(dueAt) || now.Before(d.nextSyncAt) {
		return false
	}
	delete(d.dueAt, neighbour)
	d.nextSyncAt = now.Add(minSyncInterval)
	return true
}
