package hitchquarantine

import (
	"slices"
	"time"
)

// Times and sizes of messages.
const (
	// repeatInterval is how often a hub repeats what has not changed, for instances that
	// have started or lost a message.
	repeatInterval = time.Second
	// confirmTimeout is after how long without a confirmation by a hub an instance tells
	// the hubs what it knows, as all of them may have restarted.
	confirmTimeout = 2500 * time.Millisecond
	// maxPerMessage limits a message to about a kilobyte.
	maxPerMessage = 24
)

// Due returns what is to be sent now: by a hub to all instances, or by another instance to
// the hubs.
func (t *Tracker) Due(now time.Time, isHub bool) (due []Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.suspects) == 0 {
		return nil
	}
	t.expire(now)
	suspects := t.sorted()
	slices.SortStableFunc(suspects, bySending)
	for _, s := range suspects {
		if len(due) == maxPerMessage {
			break
		}
		if isHub && s.isDueAtHub(now) || !isHub && s.isDue(now) {
			s.sentAt = now
			due = append(due, s.message(now))
		}
	}
	return due
}

// bySending orders suspects: those that changed since they were sent first, and then by how
// long ago they were sent.
func bySending(x, y *suspect) int {
	isNew, isOtherNew := x.changedAt.After(x.sentAt), y.changedAt.After(y.sentAt)
	switch {
	case isNew && !isOtherNew:
		return -1
	case isOtherNew && !isNew:
		return 1
	default:
		return x.sentAt.Compare(y.sentAt)
	}
}

// isDueAtHub reports whether a hub sends the suspect to all instances.
func (s *suspect) isDueAtHub(now time.Time) bool {
	return s.changedAt.After(s.sentAt) || now.Sub(s.sentAt) >= repeatInterval
}

// isDue reports whether an instance sends the suspect to the hubs: until one has confirmed
// it, and when none has for a while.
func (s *suspect) isDue(now time.Time) bool {
	return s.changedAt.After(s.confirmedAt) || now.Sub(s.confirmedAt) >= confirmTimeout
}

// Receive adds what another instance knows.
func (t *Tracker) Receive(now time.Time, msg SuspicionsMsg, isFromHub bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.levels()
	hasChanged := false
	for _, m := range msg.Suspicions[:min(len(msg.Suspicions), maxPerMessage)] {
		s := t.suspect(now, m.Part)
		if s == nil {
			continue
		}
		if s.merge(now, m) {
			s.extend(now)
			hasChanged = true
		}
		if isFromHub && s.includes(m) {
			s.confirmedAt = now
		}
	}
	if hasChanged {
		t.attribute(now)
		t.recordChanges(before, msg.From)
	}
}
