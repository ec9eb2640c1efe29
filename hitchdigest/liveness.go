package hitchdigest

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// silentAfter is how long a hub hears nothing from an instance before it says so.
const silentAfter = time.Second

// Hearing is what a hub knows of when instances reported last. The zero value is
// ready. Its methods are safe for several goroutines.
type Hearing struct {
	mu      sync.Mutex
	heardAt map[hitchfleet.InstanceID]time.Time
}

// Hear notes that an instance reported.
func (h *Hearing) Hear(now time.Time, id hitchfleet.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heardAt == nil {
		h.heardAt = make(map[hitchfleet.InstanceID]time.Time)
	}
	h.heardAt[id] = now
}

// Silent returns the instances that haven't reported for a while: they are frozen,
// cut off or gone, long before their leases end. It is empty if that is most of
// them, as the hub itself is cut off then, or has just woken.
func (h *Hearing) Silent(now time.Time, instances []hitchfleet.Instance) (silent []hitchfleet.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	heardAt := make(map[hitchfleet.InstanceID]time.Time, len(instances))
	for _, i := range instances {
		at, ok := h.heardAt[i.ID]
		if !ok {
			at = now
		}
		heardAt[i.ID] = at
		if now.Sub(at) > silentAfter {
			silent = append(silent, i.ID)
		}
	}
	h.heardAt = heardAt
	if 2*len(silent) > len(instances) {
		return nil
	}
	return silent
}

// Liveness is what the hubs say of silent instances. The zero value knows of none.
// Its methods are safe for several goroutines.
type Liveness struct {
	mu    sync.Mutex
	words []hubWord
}

// hubWord is the last word of one hub.
type hubWord struct {
	hub    hitchfleet.InstanceID
	at     time.Time
	silent []hitchfleet.InstanceID
}

// wordLife is how long a hub's word counts.
const wordLife = 1500 * time.Millisecond

// Learn takes in a hub's word.
func (l *Liveness) Learn(now time.Time, head Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.words = slices.DeleteFunc(l.words, func(w hubWord) bool { return w.hub == head.From || now.Sub(w.at) >= wordLife })
	l.words = append(l.words, hubWord{hub: head.From, at: now, silent: head.Silent})
}

// IsSilent tells whether all hubs that are heard say that an instance is silent:
// one of them may be cut off from it.
func (l *Liveness) IsSilent(now time.Time, id hitchfleet.InstanceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isSilent := false
	for _, w := range l.words {
		if now.Sub(w.at) >= wordLife {
			continue
		}
		if !slices.Contains(w.silent, id) {
			return false
		}
		isSilent = true
	}
	return isSilent
}
