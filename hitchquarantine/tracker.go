// Package hitchquarantine decides which requests are refused, since endpoints crash when they
// begin to answer them: those with a part of a prompt, or a whole request that comes again.
// Its Tracker has no socket or clock: callers pass in crashes, answers, messages of other
// instances and the time.
//
// A crash hits all requests in flight at an endpoint. Each trait of those that had no answer
// yet becomes a suspect: their shared parts, and the requests themselves. An answer that begins
// clears the traits of its request. A trait that most crashes have in common without being
// cleared is quarantined: requests with it are refused until a deadline, from which on single
// requests try whether it has been fixed. If several traits have the same crashes, only
// requests with all of them are refused, so that others can clear the sound ones. A request
// that may have crashed one endpoint needs a turn, so that it isn't tried side by side.
//
//	var t hitchquarantine.Tracker
//	t.RecordCrash(now, hitchfleet.RunIDOf(endpoint.ID, endpoint.Born), identity.Traits())
//	if refusal := t.Admit(now, identity.Traits()).Refusal; refusal != nil {
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
	// evidenceTTL is how long crashes count against a trait.
	evidenceTTL = 10 * time.Minute
	// clearedTTL is how long it is told that a trait was cleared.
	clearedTTL = 30 * time.Second
	// maxQuarantine limits a quarantine, which doubles with each failed trial.
	maxQuarantine = time.Hour
	// ambiguousQuarantine is the first quarantine of requests of which only one is the cause.
	ambiguousQuarantine = 5 * time.Second
	// trialTime is how long a trait is kept after its quarantine without a trial.
	trialTime = time.Hour
	// trialStep is how much later each further instance may try a trait. Meanwhile it
	// learns the result of a trial before it.
	trialStep = 5 * time.Second
	// maxSuspects limits the memory and the messages.
	maxSuspects = 512
	// maxTraitsPerRequest limits the suspects that one request adds.
	maxTraitsPerRequest = 18
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

// Limits sets when traits are quarantined. The zero value stands for the defaults.
type Limits struct {
	// IsOff is set if no request is refused. Evidence is collected all the same.
	IsOff bool
	// Crashes is the number of crashes after which a trait is quarantined.
	Crashes int
	// QuarantineSeconds is the length of the first quarantine.
	QuarantineSeconds int
}

// Tracker holds the suspects that an instance knows. The zero value knows none. Its methods
// are safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// rankOf returns how many other instances try a trait before this one; nil means none.
	rankOf   func(trait Trait) int
	limits   Limits
	suspects map[Trait]*suspect
	// answered holds the parts on which answers have begun.
	answered  hitchrecent.Map[Trait, struct{}]
	decisions []Decision
	// news receives a value when there is something to send at once. It is nil until News is
	// called.
	news chan struct{}
}

// SetLimits replaces the limits.
func (t *Tracker) SetLimits(l Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = l
}

// SetRank sets the function that returns how many other instances try a trait before this
// one.
func (t *Tracker) SetRank(rank func(trait Trait) int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rankOf = rank
}

// RecordAnswer records that an endpoint began to answer a request with traits.
func (t *Tracker) RecordAnswer(now time.Time, traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range limitTraits(traits) {
		if trait.Kind == PartTrait {
			t.answered.Add(now, answeredLimits, trait, struct{}{})
		}
		s := t.suspects[trait]
		if s == nil {
			continue
		}
		s.losses = nil
		if len(s.crashes) == 0 && !s.isQuarantined() {
			continue
		}
		if s.isQuarantined() {
			t.record(s, Released, "")
		}
		s.clear(s.epoch + 1)
		s.extend(now)
		t.notify()
	}
}

// RecordCrash records that an endpoint crashed before it began to answer a request with
// traits.
func (t *Tracker) RecordCrash(now time.Time, crash hitchfleet.RunID, traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.levels()
	for _, trait := range limitTraits(traits) {
		if s := t.suspect(now, trait, maxCrashes); s != nil {
			t.addCrash(now, s, crash)
		}
	}
	t.attribute(now)
	t.recordChanges(before, "")
	t.notify()
}

// addCrash adds a crash to a suspect. One after the end of a quarantine extends it.
func (t *Tracker) addCrash(now time.Time, s *suspect, crash hitchfleet.RunID) {
	if s.isQuarantined() && !now.Before(s.releaseAt) {
		t.quarantine(now, s)
	}
	if s.addCrash(now, crash) {
		s.extend(now)
	}
}

// RecordLoss records that an endpoint has lost a request with traits before it began to answer
// it, and may have crashed.
func (t *Tracker) RecordLoss(now time.Time, run hitchfleet.RunID, traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, trait := range limitTraits(traits) {
		if s := t.suspect(now, trait, 0); s != nil {
			s.addLoss(now, run)
		}
	}
}

// ConfirmCrash records that an endpoint has crashed which has lost requests.
func (t *Tracker) ConfirmCrash(now time.Time, crash hitchfleet.RunID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	before := t.levels()
	for _, s := range t.sorted() {
		if slices.Contains(s.losses, crash) {
			t.addCrash(now, s, crash)
		}
	}
	t.attribute(now)
	t.recordChanges(before, "")
	t.notify()
}

// Refusal says which trait of a request is quarantined, and until when.
type Refusal struct {
	Trait     Trait
	ReleaseAt time.Time
}

// crashRest is how long an endpoint that has crashed counts as down. It is about as long as one
// takes to start again.
const crashRest = 4 * time.Second

// Crashed returns how many of some runs of endpoints have crashed of late, and until when the last
// of them counts as down.
func (t *Tracker) Crashed(now time.Time, runs []hitchfleet.RunID) (n int, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range runs {
		var at time.Time
		for _, s := range t.suspects {
			if slices.Contains(s.crashes, run) {
				at = later(at, s.lastCrashAt)
			}
		}
		if now.Before(at.Add(crashRest)) {
			n++
			until = later(until, at.Add(crashRest))
		}
	}
	return n, until
}

// Admission says whether a request may be sent to an endpoint.
type Admission struct {
	// IsTrial is set if the request tries whether a trait has been fixed.
	IsTrial bool
	// NeedsTurn is set if the request may have crashed an endpoint, so that it is sent only in
	// a turn of TurnTrait.
	NeedsTurn bool
	TurnTrait Trait
	// IsExplained is set if the crashes of TurnTrait all count against a trait of other requests
	// too that has more of them, which is the likely cause.
	IsExplained bool
	// RestsUntil is until when the request isn't tried, as too much of its service has crashed.
	// The zero time means that it may be tried now.
	RestsUntil time.Time
	// Refusal is nil if the request is admitted.
	Refusal *Refusal
}

// HasSuspects reports whether there is any suspect, so that Admit depends on the traits of a
// request.
func (t *Tracker) HasSuspects() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) > 0
}

// Admit decides whether a request with traits may be sent to an endpoint. After the end of a
// quarantine it admits one request at a time as a trial.
func (t *Tracker) Admit(now time.Time, traits []Trait) (a Admission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits.IsOff || len(t.suspects) == 0 {
		return Admission{}
	}
	var trials []*suspect
	for _, trait := range limitTraits(traits) {
		s := t.suspects[trait]
		if s == nil || !now.Before(s.expiresAt) {
			continue
		}
		if !s.isQuarantined() {
			if s.needsTurn(now) && !a.NeedsTurn {
				a.NeedsTurn, a.TurnTrait, a.IsExplained = true, trait, t.isExplained(traits, s)
			}
			continue
		}
		if !t.hasAllOf(traits, s) {
			continue
		}
		trialAt := later(s.releaseAt.Add(time.Duration(t.rank(trait))*trialStep), s.trialAt)
		if now.Before(trialAt) {
			return Admission{Refusal: &Refusal{Trait: trait, ReleaseAt: trialAt}}
		}
		trials = append(trials, s)
	}
	for _, s := range trials {
		s.trialAt = now.Add(2 * trialStep)
		t.record(s, Tried, "")
	}
	if len(trials) > 0 {
		return Admission{IsTrial: true}
	}
	return a
}

// isExplained reports whether all crashes of a suspect count against another one too that has more
// of them, and is no trait of the same request.
func (t *Tracker) isExplained(traits []Trait, s *suspect) bool {
	for trait, other := range t.suspects {
		isCause := len(s.crashes) > 0 && len(other.crashes) > len(s.crashes) && !slices.Contains(traits, trait)
		if isCause && !slices.ContainsFunc(s.crashes, func(run hitchfleet.RunID) bool { return !slices.Contains(other.crashes, run) }) {
			return true
		}
	}
	return false
}

// hasAllOf reports whether traits are all those of which one is the cause, but it isn't known
// which: they have the same crashes, and no answer has cleared any of them. Traits of other
// requests don't count, as no request has both.
func (t *Tracker) hasAllOf(traits []Trait, s *suspect) bool {
	for trait, other := range t.suspects {
		if other.isQuarantined() && slices.Equal(other.crashes, s.crashes) && !trait.isOfOtherRequest(s.trait) && !slices.Contains(traits, trait) {
			return false
		}
	}
	return true
}

func (t *Tracker) rank(trait Trait) int {
	if t.rankOf == nil {
		return 0
	}
	return t.rankOf(trait)
}

// Quarantined returns the number of quarantined traits.
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

// suspect returns the state of a trait, which is created on first use. It may take the place of
// one with at most maxCrashes crashes, and returns nil if there is no room.
func (t *Tracker) suspect(now time.Time, trait Trait, maxCrashes int) *suspect {
	s := t.suspects[trait]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.evict(maxCrashes) {
			return nil
		}
		if t.suspects == nil {
			t.suspects = make(map[Trait]*suspect)
		}
		s = &suspect{trait: trait}
		t.suspects[trait] = s
	}
	t.answered.Expire(now, answeredLimits)
	_, hasAnswered := t.answered.Get(trait)
	s.hasAnswered = s.hasAnswered || hasAnswered
	return s
}

// evict forgets a suspect that isn't quarantined and has at most maxCrashes crashes: the one
// with the fewest, and of these the one that changed first.
func (t *Tracker) evict(maxCrashes int) bool {
	var least *suspect
	for _, s := range t.suspects {
		if s.isQuarantined() || len(s.crashes) > maxCrashes {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(len(s.crashes), len(least.crashes)), s.changedAt.Compare(least.changedAt)) < 0 {
			least = s
		}
	}
	if least == nil {
		return false
	}
	delete(t.suspects, least.trait)
	return true
}

// expire forgets the suspects whose time is over.
func (t *Tracker) expire(now time.Time) {
	for trait, s := range t.suspects {
		if !now.Before(s.expiresAt) {
			delete(t.suspects, trait)
		}
	}
}

// quarantine refuses requests with a trait, for twice as long each further time.
func (t *Tracker) quarantine(now time.Time, s *suspect) {
	seconds := cmp.Or(t.limits.QuarantineSeconds, DefaultQuarantineSeconds)
	length := min(time.Duration(seconds)*time.Second<<min(s.level, 16), maxQuarantine)
	s.startLevel(s.level + 1)
	s.releaseAt = now.Add(length)
}

// limitTraits returns the last traits of a list, which the fewest requests have.
func limitTraits(traits []Trait) []Trait {
	return traits[max(len(traits)-maxTraitsPerRequest, 0):]
}

// sorted returns the suspects by trait, so that decisions don't depend on the map's order.
func (t *Tracker) sorted() []*suspect {
	list := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y *suspect) int { return x.trait.compare(y.trait) })
	return list
}
