package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Anti-entropy: a table that differs from a neighbour's for divergenceAfter is
// synchronised with it, at most once every syncSpacing.
const (
	divergenceAfter = 1500 * time.Millisecond
	syncSpacing     = 2 * time.Second
)

// divergence tells when a difference between two tables has lasted too long for
// news that is still on its way.
type divergence struct {
	syncAt map[hitchfleet.InstanceID]time.Time
	nextAt time.Time
}

// due reports whether it is time to synchronise with a neighbour.
func (d *divergence) due(now time.Time, with hitchfleet.InstanceID, same bool) bool {
	if same {
		delete(d.syncAt, with)
		return false
	}
	at, differs := d.syncAt[with]
	if !differs {
		if d.syncAt == nil {
			d.syncAt = make(map[hitchfleet.InstanceID]time.Time)
		}
		d.syncAt[with] = now.Add(divergenceAfter)
		return false
	}
	if now.Before(at) || now.Before(d.nextAt) {
		return false
	}
	delete(d.syncAt, with)
	d.nextAt = now.Add(syncSpacing)
	return true
}
