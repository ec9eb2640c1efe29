package hitchquarantine

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// maxCrashes limits the crashes that are kept of a part.
const maxCrashes = 8

// Suspicion is what an instance knows of a trait, as it is sent to others.
type Suspicion struct {
	_     struct{} `cbor:",toarray"`
	Trait Trait
	// Epoch counts the answers that cleared the trait. What is known of an earlier epoch
	// doesn't count.
	Epoch uint32
	// Crashes are those at which requests with the trait had no answer yet.
	Crashes []hitchfleet.RunID
	// Losses are the runs of endpoints that lost requests with the trait without an answer, as
	// long as it isn't known whether they have crashed.
	Losses []hitchfleet.RunID
	// HasAnswered is set if answers to requests with the part began before the first of the
	// crashes.
	HasAnswered bool
	// Level counts how often the trait was quarantined in a row.
	Level uint8
	// ReleaseMilliseconds is the time until the end of the quarantine. The clocks of
	// instances differ, so that it isn't a deadline.
	ReleaseMilliseconds uint32
}

// SuspicionsMsg is a message to another instance.
type SuspicionsMsg struct {
	_          struct{} `cbor:",toarray"`
	From       hitchfleet.InstanceID
	Suspicions []Suspicion
}

// suspect is the state of a trait after a crash.
type suspect struct {
	trait       Trait
	epoch       uint32
	crashes     []hitchfleet.RunID // sorted
	losses      []hitchfleet.RunID // forgotten at lossesUntil
	lossesUntil time.Time
	hasAnswered bool
	level       uint8
	releaseAt   time.Time
	// firstCrashAt and lastCrashAt are when this instance learned of the crashes.
	firstCrashAt, lastCrashAt time.Time
	// isExplained is set while other traits explain all of the crashes.
	isExplained bool
	// turnUntil is until when the last turn lasts, unless there are more than turnCrashes
	// crashes by then.
	turnUntil   time.Time
	turnCrashes int
	// trialAt is the earliest time of the next trial at this instance.
	trialAt time.Time
	// expiresAt is when the suspect is forgotten.
	expiresAt time.Time
	// changedAt is when the state last changed, sentAt when it was last sent, and
	// confirmedAt when a hub last sent a state that includes it.
	changedAt, sentAt, confirmedAt time.Time
}

// isQuarantined reports whether requests with the trait are refused, unless as a trial.
func (s *suspect) isQuarantined() bool { return s.level > 0 }

// addCrash adds a crash and reports whether it is new, and there was room.
func (s *suspect) addCrash(now time.Time, crash hitchfleet.RunID) bool {
	s.losses = slices.DeleteFunc(s.losses, func(loss hitchfleet.RunID) bool { return loss == crash })
	i, found := slices.BinarySearch(s.crashes, crash)
	if found || len(s.crashes) >= maxCrashes {
		return false
	}
	s.lastCrashAt = now
	if len(s.crashes) == 0 {
		s.firstCrashAt = now
	}
	s.crashes = slices.Insert(s.crashes, i, crash)
	return true
}

// addLoss adds the run of an endpoint that lost a request, and reports whether it is new.
func (s *suspect) addLoss(now time.Time, run hitchfleet.RunID) bool {
	s.expireLosses(now)
	if slices.Contains(s.losses, run) || slices.Contains(s.crashes, run) || len(s.losses) >= maxCrashes {
		return false
	}
	s.losses, s.lossesUntil = append(s.losses, run), now.Add(lossTTL)
	s.expiresAt = later(s.expiresAt, s.lossesUntil)
	return true
}

// expireLosses forgets losses that weren't crashes.
func (s *suspect) expireLosses(now time.Time) {
	if !now.Before(s.lossesUntil) {
		s.losses = nil
	}
}

// isLossOnly reports whether no crash and no answer is known, but losses.
func (s *suspect) isLossOnly() bool { return len(s.crashes) == 0 && !s.isQuarantined() && s.epoch == 0 }

// startLevel replaces the crashes by those that count for a higher level.
func (s *suspect) startLevel(level uint8) {
	if s.level > 0 {
		s.crashes = nil
	}
	s.level, s.trialAt = level, time.Time{}
}

// needsTurn reports whether requests with the trait are tried one after the other: one of them
// may be the cause of a crash, or of losses at more than one endpoint. Losses have many causes,
// so that they don't count for all queries of a path.
func (s *suspect) needsTurn(now time.Time) bool {
	if s.trait.Kind != RequestTrait {
		return false
	}
	s.expireLosses(now)
	return len(s.crashes) > 0 && !s.isExplained || len(s.losses) > 1 && s.trait.Query != 0
}

// clear records that the trait isn't the cause of the crashes.
func (s *suspect) clear(epoch uint32) {
	s.epoch, s.crashes, s.level, s.releaseAt, s.trialAt = epoch, nil, 0, time.Time{}, time.Time{}
	s.hasAnswered, s.isExplained = s.trait.Kind == PartTrait, false
	s.losses, s.turnUntil = nil, time.Time{}
}

// extend sets when the suspect is forgotten.
func (s *suspect) extend(now time.Time) {
	s.changedAt = now
	switch {
	case s.isQuarantined():
		s.expiresAt = later(now, s.releaseAt).Add(trialTime)
	case len(s.crashes) > 0 && !s.isExplained:
		s.expiresAt = now.Add(evidenceTTL)
	default:
		s.expiresAt = now.Add(clearedTTL)
	}
}

// message returns the suspect as it is sent to other instances.
func (s *suspect) message(now time.Time) Suspicion {
	s.expireLosses(now)
	return Suspicion{
		Trait: s.trait, Epoch: s.epoch, Crashes: slices.Clone(s.crashes), Losses: slices.Clone(s.losses), HasAnswered: s.hasAnswered,
		Level: s.level, ReleaseMilliseconds: uint32(max(s.releaseAt.Sub(now), 0).Milliseconds()),
	}
}

// merge adds what another instance knows, and reports whether that changed anything.
func (s *suspect) merge(now time.Time, m Suspicion) (changed bool) {
	if m.Epoch < s.epoch {
		return false
	}
	if m.Epoch > s.epoch {
		s.clear(m.Epoch)
		s.hasAnswered = m.HasAnswered
		changed = true
	}
	if m.HasAnswered && !s.hasAnswered {
		s.hasAnswered, changed = true, true
	}
	if m.Level > s.level {
		release := min(time.Duration(m.ReleaseMilliseconds)*time.Millisecond, maxQuarantine)
		s.startLevel(m.Level)
		s.releaseAt, changed = now.Add(release), true
	}
	if m.Level < s.level && s.level > 1 {
		return changed // its crashes are those of an earlier quarantine
	}
	for _, crash := range m.Crashes[:min(len(m.Crashes), maxCrashes)] {
		changed = s.addCrash(now, crash) || changed
	}
	for _, run := range m.Losses[:min(len(m.Losses), maxCrashes)] {
		s.addLoss(now, run)
	}
	return changed
}

// maxEvicted returns how many crashes a suspect may have whose place the message takes.
func (m Suspicion) maxEvicted() int {
	if m.Level > 0 || len(m.Crashes) > 0 {
		return maxCrashes
	}
	return 0
}

// includes reports whether a message has all that this instance knows.
func (s *suspect) includes(m Suspicion) bool {
	if m.Epoch != s.epoch {
		return m.Epoch > s.epoch
	}
	isMissing := func(crash hitchfleet.RunID) bool { return !slices.Contains(m.Crashes, crash) }
	return m.Level >= s.level && (len(m.Crashes) >= maxCrashes || !slices.ContainsFunc(s.crashes, isMissing))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
