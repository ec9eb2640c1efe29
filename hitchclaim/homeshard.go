package hitchclaim

import (
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// homeMode determines how a home handles keys without an entry.
type homeMode uint8

const (
	// modeOpen runs their calls.
	modeOpen homeMode = iota
	// modeClosed refuses them as NotRun while the home drains before a handover.
	modeClosed
	// modeHandingOver refuses them as Unknown, as the successor may have run them
	// already.
	modeHandingOver
	// modeFenced refuses them permanently.
	modeFenced
	// modeMoved forwards them to the successor.
	modeMoved
)

// homeShard holds a part of a home's keys, guarded by its own lock.
type homeShard struct {
	mu      sync.Mutex
	entries map[KeyID]*entry
	mode    homeMode
	// successor is the home that modeMoved forwards to.
	successor HomeID
	// adopted holds the homes whose keys this home took over, directly or through
	// another home.
	adopted map[HomeID]bool
	// expiredUpTo is the latest deadline that was treated as passed. No key with a
	// deadline up to it may start, even if the clock steps back.
	expiredUpTo time.Time
	// removedUpTo is the latest deadline of a deleted entry. A key with a later
	// deadline and no entry never ran.
	removedUpTo time.Time
}

// admitNewKey reports whether a key without an entry may start. If not, it also
// returns the decision to refuse or forward the call.
func (s *homeShard) admitNewKey(now time.Time, call Call) (d Decision, ok bool) {
	deadline := call.Key.Deadline
	switch {
	case s.mode == modeMoved:
		return Decision{Action: ActionForward, Home: s.successor}, false
	case s.mode == modeHandingOver:
		return refusalDecision(handingOverRefusal(now)), false
	case !now.Before(deadline) || !deadline.After(s.expiredUpTo):
		return refusalDecision(s.refuseExpired(deadline)), false
	case s.mode == modeClosed:
		return refusalDecision(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonLeaving, now.Add(retryDelay),
			"the key's home is leaving; repeat with the same key")), false
	case s.mode == modeFenced:
		return refusalDecision(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonHomeLost, time.Time{},
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
		RetryAt: now.Add(retryDelay),
	}
}

// refuseExpired returns the refusal of a key whose deadline has passed. It raises
// expiredUpTo, so that no key with this deadline can start later.
func (s *homeShard) refuseExpired(deadline time.Time) *hitchoutcome.Refusal {
	s.expiredUpTo = later(s.expiredUpTo, deadline)
	r := hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyExpired, time.Time{}, "the key has expired, and its call was not run")
	if !deadline.After(s.removedUpTo) {
		r = r.WithDetail("the key has expired, and its outcome is no longer kept")
		r.Outcome = hitchoutcome.Unknown
	}
	return r
}

// sweepExpired deletes the expired entries. It returns their number and the total
// size of their response bodies.
func (s *homeShard) sweepExpired(now time.Time) (n int, size int64) {
	for id, e := range s.entries {
		if !e.isExpired(now) {
			continue
		}
		s.removedUpTo = later(s.removedUpTo, e.record.Deadline)
		s.expiredUpTo = later(s.expiredUpTo, e.record.Deadline)
		size += int64(len(e.result.Body))
		delete(s.entries, id)
		n++
	}
	return n, size
}
