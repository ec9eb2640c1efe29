package hitchquarantine

import (
	"cmp"
	"slices"
	"time"
)

// Times and sizes of messages.
const (
	// repeatInterval is how often a hub repeats what has not changed, for instances that
	// have started or lost a message, and weakRepeatInterval how often it repeats a suspect
	// with a single crash: a crash has one cause, but many suspects.
	repeatInterval     = time.Second
	weakRepeatInterval = 5 * time.Second
	// missedRepeats is after how many intervals without a confirmation by a hub an instance
	// tells the hubs what it knows, as all of them may have restarted.
	missedRepeats = 2.5
	// MaxPerMessage limits a message to about a kilobyte.
	MaxPerMessage = 24
)

// News returns a channel that receives a value when there is something new to send.
func (t *Tracker) News() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.news == nil {
		t.news = make(chan struct{}, 1)
	}
	return t.news
}

// notify sends a value to News.
func (t *Tracker) notify() {
	select {
	case t.news <- struct{}{}:
	default:
	}
}

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
		if len(due) == MaxPerMessage {
			break
		}
		if s.isLossOnly() {
			continue
		}
		if isHub && s.isDueAtHub(now) || !isHub && s.isDue(now) {
			s.sentAt = now
			due = append(due, s.message(now))
		}
	}
	return due
}

// bySending orders suspects: those with more than one crash first, of these the ones that
// changed since they were sent, and then by how long ago they were sent.
func bySending(x, y *suspect) int {
	return cmp.Or(compareBool(x.isStrong(), y.isStrong()), compareBool(x.hasNews(), y.hasNews()), x.sentAt.Compare(y.sentAt))
}

// compareBool orders true before false.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// isStrong reports whether the suspect is likely to be the cause of crashes.
func (s *suspect) isStrong() bool { return s.isQuarantined() || len(s.crashes) > 1 && !s.isExplained }

// hasNews reports whether the suspect has changed since it was sent.
func (s *suspect) hasNews() bool { return s.changedAt.After(s.sentAt) }

// repeatInterval returns how often a hub repeats the suspect.
func (s *suspect) repeatInterval() time.Duration {
	if s.isStrong() {
		return repeatInterval
	}
	return weakRepeatInterval
}

// isDueAtHub reports whether a hub sends the suspect to all instances.
func (s *suspect) isDueAtHub(now time.Time) bool {
	return s.hasNews() || now.Sub(s.sentAt) >= s.repeatInterval()
}

// isDue reports whether an instance sends the suspect to the hubs: until one has confirmed
// it, and when none has for a while.
func (s *suspect) isDue(now time.Time) bool {
	timeout := time.Duration(missedRepeats * float64(s.repeatInterval()))
	return s.changedAt.After(s.confirmedAt) || now.Sub(s.confirmedAt) >= timeout
}

// Receive adds what another instance knows.
func (t *Tracker) Receive(now time.Time, msg SuspicionsMsg, isFromHub bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.levels()
	hasChanged := false
	for _, m := range msg.Suspicions[:min(len(msg.Suspicions), MaxPerMessage)] {
		s := t.suspect(now, m.Trait, m.maxEvicted())
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
		t.notify()
	}
}
