package hitchpeer

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Fetching of announced values.
const (
	pullTimeout  = 3 * time.Second
	wantTimeout  = 30 * time.Second
	maxAnnouncer = 8
)

// want is a value that was announced and is still to be fetched.
type want struct {
	entry   Entry
	from    []hitchfleet.InstanceID
	retryAt time.Time
	until   time.Time
}

func (g *Gossip) announced(now time.Time, entry Entry, from hitchfleet.InstanceID, effects *GossipEffects) {
	key := entry.key()
	w, known := g.wants[key]
	order := entry.Compare(w.entry)
	switch {
	case known && order < 0:
		return
	case known && order == 0:
		if len(w.from) < maxAnnouncer && !slices.Contains(w.from, from) {
			w.from = append(slices.Clone(w.from), from)
			g.wants[key] = w
		}
		return
	}
	g.wants[key] = want{
		entry: entry, from: []hitchfleet.InstanceID{from},
		retryAt: now.Add(pullTimeout), until: now.Add(wantTimeout),
	}
	effects.Pulls = append(effects.Pulls, Pull{From: from, Entry: entry})
}

func (g *Gossip) pulled(now time.Time, msg Pulled, effects *GossipEffects) {
	key := msg.Entry.key()
	if len(msg.Entry.Body) > 0 {
		g.accept(now, msg.Entry, msg.From, effects)
		return
	}
	if w, ok := g.wants[key]; ok {
		w.retryAt = now.Add(TickInterval)
		g.wants[key] = w
	}
}

// retryWants asks the next router that announced a value.
func (g *Gossip) retryWants(now time.Time, effects *GossipEffects) {
	for key, w := range g.wants {
		if !now.Before(w.until) {
			delete(g.wants, key)
			continue
		}
		if now.Before(w.retryAt) {
			continue
		}
		w.from = append(slices.Clone(w.from[1:]), w.from[0])
		w.retryAt = now.Add(pullTimeout)
		g.wants[key] = w
		effects.Pulls = append(effects.Pulls, Pull{From: w.from[0], Entry: w.entry})
	}
}

// Find returns the value of an origin and topic that is at least as new as the
// entry.
func (g *Gossip) Find(entry Entry) (Entry, bool) {
	h, ok := g.entries[entry.key()]
	if !ok || h.Compare(entry) < 0 {
		return Entry{}, false
	}
	return h.Entry, true
}
