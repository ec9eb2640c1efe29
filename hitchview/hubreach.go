package hitchview

import "time"

// hubReach holds since when hubs say that they reach the store, by their address. The zero
// value has none.
type hubReach map[string]reachPeriod

// reachPeriod is a period without a gap in which a hub said so.
type reachPeriod struct{ from, lastAt time.Time }

// record adds a hub's status.
func (r *hubReach) record(now time.Time, status HubStatus) {
	if *r == nil {
		*r = make(hubReach)
	}
	for addr, p := range *r {
		if now.Sub(p.lastAt) > minHubTimeout {
			delete(*r, addr)
		}
	}
	p, ok := (*r)[status.Addr]
	switch {
	case !status.IsStoreReachable:
		delete(*r, status.Addr)
		return
	case !ok:
		p.from = now
	}
	p.lastAt = now
	(*r)[status.Addr] = p
}

// since returns since when a hub has reached the store, or the zero time if none does.
func (r hubReach) since(now time.Time) (from time.Time) {
	for _, p := range r {
		if now.Sub(p.lastAt) <= minHubTimeout && (from.IsZero() || p.from.Before(from)) {
			from = p.from
		}
	}
	return from
}
