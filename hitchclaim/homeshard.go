package hitchclaim

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// homeMode says what a home does with keys that it hasn't seen.
type homeMode uint8

const (
	// modeOpen runs them.
	modeOpen homeMode = iota
	// modeClosed refuses them ahead of a handover.
	modeClosed
	// modeHandingOver refuses them as Unknown: the successor may run them already.
	modeHandingOver
	// modeFenced refuses them for good.
	modeFenced
	// modeMoved forwards them to the successor.
	modeMoved
)

// homeShard is a part of a home's keys under one lock.
type homeShard struct {
	mu      sync.Mutex
	entries map[KeyID]*entry
	mode    homeMode
	// successor is where modeMoved leads.
	successor HomeID
	// adopted holds the lost homes whose keys this home may run.
	adopted map[HomeID]bool
	// spent is the latest deadline that a key was refused for. No key with a
	// deadline up to it may start, even if the clock steps back.
	spent time.Time
	// forgotten is the latest deadline of an entry that was forgotten. A key with
	// a later deadline and no entry never ran.
	forgotten time.Time
}

// admit decides whether a key without an entry may start. It returns false
// and the refusal if not.
func (s *homeShard) admit(now time.Time, call Call) (d Decision, ok bool) {
	deadline := call.Key.Deadline
	switch {
	case s.mode == modeMoved:
		return Decision{Action: ActionForward, Home: s.successor}, false
	case s.mode == modeHandingOver:
		return refuse(handingOverRefusal(now)), false
	case !now.Before(deadline) || !deadline.After(s.spent):
		return refuse(s.expired(deadline)), false
	case s.mode == modeClosed:
		return refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonLeaving, now.Add(refusalDelay),
			"the key's home is leaving; repeat with the same key")), false
	case s.mode == modeFenced:
		return refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonHomeLost, time.Time{},
			"the key's home has ended, and the call will never run; use a new key")), false
	default:
		return Decision{}, true
	}
}

func handingOverRefusal(now time.Time) *hitchoutcome.Refusal {
	return &hitchoutcome.Refusal{
		Reason:  hitchoutcome.ReasonLeaving,
		Outcome: hitchoutcome.Unknown,
		Detail:  "the key's home is handing over; repeat with the same key",
		RetryAt: now.Add(refusalDelay),
	}
}

// expired spends the deadline, so that no key with it starts afterwards.
func (s *homeShard) expired(deadline time.Time) *hitchoutcome.Refusal {
	s.spent = later(s.spent, deadline)
	r := hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyExpired, time.Time{}, "the key has expired, and its call was not run")
	if !deadline.After(s.forgotten) {
		r = r.WithDetail("the key has expired, and its outcome is no longer kept")
		r.Outcome = hitchoutcome.Unknown
	}
	return r
}

// sweep forgets the entries that are over. It returns their number and the bytes
// of their bodies.
func (s *homeShard) sweep(now time.Time) (n int, size int64) {
	for id, e := range s.entries {
		if !e.over(now) {
			continue
		}
		s.forgotten = later(s.forgotten, e.record.Deadline)
		s.spent = later(s.spent, e.record.Deadline)
		size += int64(len(e.result.Body))
		delete(s.entries, id)
		n++
	}
	return n, size
}
