package hitchquarantine

import (
	"cmp"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// attribute quarantines the traits that explain the crashes: time and again the one that has
// most of the unexplained crashes. Sound traits that are in the same requests, or in others at the
// same endpoints, have fewer crashes, or none that isn't explained.
func (t *Tracker) attribute(now time.Time) {
	suspects := t.sorted()
	explained := make(map[hitchfleet.RunID]bool)
	isCause := make(map[*suspect]bool)
	for {
		cause := t.nextCause(suspects, isCause, explained)
		if cause == nil {
			break
		}
		for _, s := range suspects {
			isCause[s] = isCause[s] || t.isAsSuspect(s, cause)
		}
		for _, crash := range cause.crashes {
			explained[crash] = true
		}
	}
	for _, s := range suspects {
		s.isExplained = !isCause[s] && !slices.ContainsFunc(s.crashes, func(crash hitchfleet.RunID) bool { return !explained[crash] })
		switch {
		case isCause[s] && !s.isQuarantined():
			t.quarantine(now, s)
			if t.isAmongSeveral(s, isCause) {
				s.releaseAt = now.Add(ambiguousQuarantine)
			}
			s.extend(now)
		case s.level == 1 && !isCause[s] && len(s.crashes) > 0:
			s.level, s.releaseAt = 0, time.Time{}
			s.extend(now)
		}
	}
}

// nextCause returns the suspect that explains the most crashes, if these are enough, or nil.
func (t *Tracker) nextCause(suspects []*suspect, isCause map[*suspect]bool, explained map[hitchfleet.RunID]bool) (best *suspect) {
	bestCount := 0
	for _, s := range suspects {
		if isCause[s] {
			continue
		}
		if count := s.unexplained(explained); count >= t.threshold(s) && count > bestCount {
			best, bestCount = s, count
		}
	}
	return best
}

// isAmongSeveral reports whether another request may be the cause as well as a suspect.
func (t *Tracker) isAmongSeveral(s *suspect, isCause map[*suspect]bool) bool {
	for other := range isCause {
		if isCause[other] && s.trait.isOfOtherRequest(other.trait) && slices.Equal(s.crashes, other.crashes) {
			return true
		}
	}
	return false
}

// isAsSuspect reports whether a suspect has the same crashes as a cause, so that either may
// be it.
func (t *Tracker) isAsSuspect(s, cause *suspect) bool {
	return s.hasAnswered == cause.hasAnswered && slices.Equal(s.crashes, cause.crashes)
}

// threshold returns the number of unexplained crashes for which a trait is quarantined, or
// stays so.
func (t *Tracker) threshold(s *suspect) int {
	if s.isQuarantined() {
		return 1
	}
	return cmp.Or(t.limits.Crashes, DefaultCrashes)
}

// unexplained returns the number of crashes that count against a suspect and that no other
// trait explains.
func (s *suspect) unexplained(explained map[hitchfleet.RunID]bool) (n int) {
	for _, crash := range s.crashes {
		if !explained[crash] {
			n++
		}
	}
	if s.hasAnswered && s.trait.Kind == PartTrait {
		n -= answeredDiscount
	}
	return n
}
