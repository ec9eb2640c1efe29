// Package hitchquarantine decides which parts of prompts are quarantined, since endpoints
// crash when they begin to answer a request that contains them. It has no socket or clock of
// its own: callers pass in crashes, answers, messages of other instances and the time.
//
// A crash hits all requests in flight at an endpoint. Each shared part of those that had no
// answer yet becomes a suspect. An answer that begins on a part clears it. A part that most
// crashes have in common without being cleared is quarantined: requests with it are refused
// until a deadline, from which on single requests try whether it has been fixed. If several
// parts have the same crashes, only requests with all of them are refused, so that others can
// clear the sound ones.
//
//	var t hitchquarantine.Tracker
//	t.RecordCrash(now, hitchfleet.RunIDOf(endpoint.ID, endpoint.Born), prompt.Shared())
//	if refusal := t.Admit(now, prompt.Shared()).Refusal; refusal != nil {
//		// ... refuse the request until refusal.ReleaseAt ...
//	}
package hitchquarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

// Times and limits of suspects.
const (
	// evidenceTTL is how long crashes count against a part.
	evidenceTTL = 10 * time.Minute
	// clearedTTL is how long it is told that a part was cleared.
	clearedTTL = 30 * time.Second
	// maxQuarantine limits a quarantine, which doubles with each failed trial.
	maxQuarantine = time.Hour
	// trialTime is how long a part is kept after its quarantine without a trial.
	trialTime = time.Hour
	// trialStep is how much later each further instance may try a part. Meanwhile it
	// learns the result of a trial before it.
	trialStep = 5 * time.Second
	// maxSuspects limits the memory and the messages.
	maxSuspects = 128
	// maxPartsPerRequest limits the suspects that one request adds.
	maxPartsPerRequest = 16
)

// The defaults of Limits.
const (
	DefaultCrashes           = 3
	DefaultQuarantineSeconds = 60
	// answeredDiscount is how many crashes less count against a part on which answers began
	// before the first of them.
	answeredDiscount = 2
)

// answeredLimits limits the parts of which it is known that answers have begun on them.
var answeredLimits = hitchrecent.Limits{Seconds: 120, Size: 8 << 10}

// Limits sets when parts are quarantined. The zero value stands for the defaults.
type Limits struct {
	// IsOff is set if no request is refused. Evidence is collected all the same.
	IsOff bool
	// Crashes is the number of crashes after which a part is quarantined.
	Crashes int
	// QuarantineSeconds is the length of the first quarantine.
	QuarantineSeconds int
}

// Tracker holds the suspects that an instance knows. The zero value knows none. Its methods
// are safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// rankOf returns how many other instances try a part before this one; nil means none.
	rankOf   func(part hitchfleet.PartID) int
	limits   Limits
	suspects map[hitchfleet.PartID]*suspect
	// answered holds the parts on which answers have begun.
	answered  hitchrecent.Map[hitchfleet.PartID, struct{}]
	decisions []Decision
}

// SetLimits replaces the limits.
func (t *Tracker) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// SetRank sets the function that returns how many other instances try a part before this
// one.
func (t *Tracker) SetRank(rank func(part hitchfleet.PartID) int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rankOf = rank
}

// RecordAnswer records that an endpoint began to answer a request with parts.
func (t *Tracker) RecordAnswer(now time.Time, parts []hitchfleet.PartID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range limitParts(parts) {
		t.answered.Add(now, answeredLimits, part, struct{}{})
		s := t.suspects[part]
		if s == nil || len(s.crashes) == 0 && !s.isQuarantined() {
			continue
		}
		if s.isQuarantined() {
			t.record(s, Released, "")
		}
		s.clear(s.epoch + 1)
		s.extend(now)
	}
}

// RecordCrash records that an endpoint crashed before it began to answer a request with
// parts.
func (t *Tracker) RecordCrash(now time.Time, crash hitchfleet.RunID, parts []hitchfleet.PartID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.levels()
	for _, part := range limitParts(parts) {
		s := t.suspect(now, part)
		if s == nil {
			continue
		}
		if s.isQuarantined() && !now.Before(s.releaseAt) {
			t.quarantine(now, s)
		}
		if s.addCrash(now, crash) {
			s.extend(now)
		}
	}
	t.attribute(now)
	t.recordChanges(before, "")
}

// Refusal says which part of a request is quarantined, and until when.
type Refusal struct {
	Part      hitchfleet.PartID
	ReleaseAt time.Time
}

// Admission says whether a request may be sent to an endpoint.
type Admission struct {
	// IsTrial is set if the request tries whether a part has been fixed.
	IsTrial bool
	// Refusal is nil if the request is admitted.
	Refusal *Refusal
}

// Admit decides whether a request with parts may be sent to an endpoint. After the end of a
// quarantine it admits one request at a time as a trial.
func (t *Tracker) Admit(now time.Time, parts []hitchfleet.PartID) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.IsOff || len(t.suspects) == 0 {
		return Admission{}
	}
	var trials []*suspect
	for _, part := range limitParts(parts) {
		s := t.suspects[part]
		if s == nil || !s.isQuarantined() || !now.Before(s.expiresAt) || !t.hasAllOf(parts, s) {
			continue
		}
		trialAt := later(s.releaseAt.Add(time.Duration(t.rank(part))*trialStep), s.trialAt)
		if now.Before(trialAt) {
			return Admission{Refusal: &Refusal{Part: part, ReleaseAt: trialAt}}
		}
		trials = append(trials, s)
	}
	for _, s := range trials {
		s.trialAt = now.Add(2 * trialStep)
		t.record(s, Tried, "")
	}
	return Admission{IsTrial: len(trials) > 0}
}

// hasAllOf reports whether parts are all those of which one is the cause, but it isn't known
// which: they have the same crashes, and no answer has cleared any of them.
func (t *Tracker) hasAllOf(parts []hitchfleet.PartID, s *suspect) bool {
	for part, other := range t.suspects {
		if other.isQuarantined() && slices.Equal(other.crashes, s.crashes) && !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

func (t *Tracker) rank(part hitchfleet.PartID) int {
	if t.rankOf == nil {
		return 0
	}
	return t.rankOf(part)
}

// Quarantined returns the number of quarantined parts.
func (t *Tracker) Quarantined(now time.Time) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if s.isQuarantined() && now.Before(s.expiresAt) {
			n++
		}
	}
	return n
}

// suspect returns the state of a part, which is created on first use. It returns nil if
// there is no room.
func (t *Tracker) suspect(now time.Time, part hitchfleet.PartID) *suspect {
	s := t.suspects[part]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.evict() {
			return nil
		}
		if t.suspects == nil {
			t.suspects = make(map[hitchfleet.PartID]*suspect)
		}
		s = &suspect{part: part}
		t.suspects[part] = s
	}
	t.answered.Expire(now, answeredLimits)
	_, hasAnswered := t.answered.Get(part)
	s.hasAnswered = s.hasAnswered || hasAnswered
	return s
}

// evict forgets the suspect that changed first among those that aren't quarantined.
func (t *Tracker) evict() bool {
	var oldest *suspect
	for _, s := range t.suspects {
		if !s.isQuarantined() && (oldest == nil || s.changedAt.Before(oldest.changedAt)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.suspects, oldest.part)
	return true
}

// expire forgets the suspects whose time is over.
func (t *Tracker) expire(now time.Time) {
	for part, s := range t.suspects {
		if !now.Before(s.expiresAt) {
			delete(t.suspects, part)
		}
	}
}

// quarantine refuses requests with a part, for twice as long each further time.
func (t *Tracker) quarantine(now time.Time, s *suspect) {
	seconds := cmp.Or(t.limits.QuarantineSeconds, DefaultQuarantineSeconds)
	length := min(time.Duration(seconds)*time.Second<<min(s.level, 16), maxQuarantine)
	s.startLevel(s.level + 1)
	s.releaseAt = now.Add(length)
}

// limitParts returns the last parts of a list, which the fewest requests have.
func limitParts(parts []hitchfleet.PartID) []hitchfleet.PartID {
	return parts[max(len(parts)-maxPartsPerRequest, 0):]
}

// sorted returns the suspects by part, so that decisions don't depend on the map's order.
func (t *Tracker) sorted() []*suspect {
	list := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y *suspect) int { return cmp.Compare(x.part, y.part) })
	return list
}
