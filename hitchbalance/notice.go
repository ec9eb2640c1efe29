package hitchbalance

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Notice is what an endpoint says about itself in a response.
//
// Load pattern: many endpoints are replaced at the same time, or shed load together.
// Their entries in the store show that later, or never.
type Notice struct {
	// IsLeaving is set if the endpoint is shutting down.
	IsLeaving bool
	// PausedUntil is until when the endpoint wants no requests from this instance; the
	// zero time if it asks for no pause.
	PausedUntil time.Time
}

// merge returns the notice after another one of the same endpoint. An endpoint that has
// said that it leaves is leaving until it restarts, as responses may overtake each
// other. Of two pauses the longer one counts.
func (n Notice) merge(next Notice) Notice {
	return Notice{
		IsLeaving:   n.IsLeaving || next.IsLeaving,
		PausedUntil: later(n.PausedUntil, next.PausedUntil),
	}
}

// afterRestart returns the notice that counts after the endpoint's restart: it no longer
// leaves. A pause stays, as the restarted endpoint may have asked for it before this
// instance learned of the restart.
func (n Notice) afterRestart() Notice { return Notice{PausedUntil: n.PausedUntil} }

// noticeTTL is how long the notice of an endpoint that is no longer listed is kept.
const noticeTTL = time.Minute

// endpointNotice is the notice of one run of an endpoint.
type endpointNotice struct {
	Notice
	born      int64
	expiresAt time.Time
}

// ObserveNotice records what the endpoint of a pick said. It reports whether this is
// new.
func (b *Balancer) ObserveNotice(now time.Time, p Pick, n Notice) (isNew bool) {
	if !n.IsLeaving && !now.Before(n.PausedUntil) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.notices == nil {
		b.notices = make(map[hitchfleet.EndpointID]endpointNotice)
	}
	known := b.notices[p.Endpoint.ID]
	switch {
	case known.born > p.Endpoint.Born:
		return false // a late response of the run before
	case known.born < p.Endpoint.Born:
		known = endpointNotice{Notice: known.afterRestart(), born: p.Endpoint.Born}
	}
	merged := known.merge(n)
	isNew = merged != known.Notice
	b.notices[p.Endpoint.ID] = endpointNotice{Notice: merged, born: p.Endpoint.Born, expiresAt: now.Add(noticeTTL)}
	return isNew
}

// noticeOf returns the notice that counts for an endpoint.
func (b *Balancer) noticeOf(e *endpoint) Notice {
	n := b.notices[e.ID]
	if n.born != e.Born {
		return n.afterRestart()
	}
	return n.Notice
}

// expireNotices drops the old notices of endpoints that aren't in the fleet.
func (b *Balancer) expireNotices(now time.Time) {
	for id, n := range b.notices {
		if b.byID[id] == nil && !now.Before(n.expiresAt) {
			delete(b.notices, id)
		}
	}
}
