package hitchpeer

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of fetching announced values.
const (
	pullTimeout     = 3 * time.Second
	announcementTTL = 30 * time.Second
	maxAnnouncers   = 8
)

// pendingPull is a value that was announced and hasn't been fetched yet.
type pendingPull struct {
	entry      Entry
	announcers []hitchfleet.InstanceID
	retryAt    time.Time
	expiresAt  time.Time
}

func (g *Gossip) recordAnnouncement(now time.Time, entry Entry, from hitchfleet.InstanceID, effects *GossipEffects) {
	key := entry.key()
	pending, known := g.pulls[key]
	order := entry.Compare(pending.entry)
	switch {
	case known && order < 0:
		return
	case known && order == 0:
		if len(pending.announcers) < maxAnnouncers && !slices.Contains(pending.announcers, from) {
			pending.announcers = append(slices.Clone(pending.announcers), from)
			g.pulls[key] = pending
		}
		return
	}
	g.pulls[key] = pendingPull{
		entry: entry, announcers: []hitchfleet.InstanceID{from},
		retryAt: now.Add(pullTimeout), expiresAt: now.Add(announcementTTL),
	}
	effects.Pulls = append(effects.Pulls, Pull{From: from, Entry: entry})
}

func (g *Gossip) completePull(now time.Time, msg PullCompleted, effects *GossipEffects) {
	key := msg.Entry.key()
	if len(msg.Entry.Body) > 0 {
		g.merge(now, msg.Entry, msg.From, effects)
		return
	}
	if pending, ok := g.pulls[key]; ok {
		pending.retryAt = now.Add(TickInterval)
		g.pulls[key] = pending
	}
}

// retryPulls drops expired announcements and requests each value that is due from
// the next router that announced it.
func (g *Gossip) retryPulls(now time.Time, effects *GossipEffects) {
	for key, pending := range g.pulls {
		if !now.Before(pending.expiresAt) {
			delete(g.pulls, key)
			continue
		}
		if now.Before(pending.retryAt) {
			continue
		}
		pending.announcers = append(slices.Clone(pending.announcers[1:]), pending.announcers[0])
		pending.retryAt = now.Add(pullTimeout)
		g.pulls[key] = pending
		effects.Pulls = append(effects.Pulls, Pull{From: pending.announcers[0], Entry: pending.entry})
	}
}

// Find returns the stored value of the entry's origin and topic if it is at least as
// new as the entry.
func (g *Gossip) Find(entry Entry) (Entry, bool) {
	stored, ok := g.entries[entry.key()]
	if !ok || stored.Compare(entry) < 0 {
		return Entry{}, false
	}
	return stored.Entry, true
}
