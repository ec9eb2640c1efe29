package hitchclaim

import (
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// entryState is the state of a key at its home. The transitions are:
//
//	journaling -> running -> finished
//	                      -> unknown -> finished, by a late response or ResolveDoubt
//	                                 -> retired, by ResolveDoubt
//	                      -> retired, or the entry is deleted, if proved NotRun
//	           -> retired, or the entry is deleted, if not dispatched
type entryState uint8

const (
	entryJournaling entryState = iota
	entryRunning
	entryFinished
	entryUnknown
	entryRetired
)

// entry is the state of one key at its home.
type entry struct {
	state         entryState
	requestDigest Digest
	record        Record
	result        Result
	// callerDeadline is when the caller that started the run stops waiting.
	callerDeadline time.Time
	// done is closed once the run has an outcome.
	done chan struct{}
	// responseMissing is set if the call ran and its response isn't available for
	// replay: it was too large to keep, or the outcome was resolved by an operator.
	responseMissing bool
}

// isExpired reports whether the entry may be deleted: the run has an outcome and the
// key's retention has passed.
func (e *entry) isExpired(now time.Time) bool {
	switch e.state {
	case entryJournaling, entryRunning:
		return false
	default:
		return !now.Before(e.record.Deadline.Add(Retention))
	}
}

// decideRepeat returns the decision on a call whose key already has an entry.
func (e *entry) decideRepeat(call Call) Decision {
	if e.requestDigest != call.RequestDigest {
		return refusalDecision(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyReused, time.Time{},
			"the key was used with another request, and this one was not run"))
	}
	switch e.state {
	case entryFinished:
		return e.replayDecision()
	case entryUnknown:
		return refusalDecision(unknownRefusal(e.record.Run.Key))
	case entryRetired:
		return refusalDecision(e.result.Refusal)
	default:
		return Decision{Action: ActionWait, Done: e.done, Deadline: call.Deadline, Refusal: &hitchoutcome.Refusal{
			Reason:  hitchoutcome.ReasonTimeout,
			Outcome: hitchoutcome.Unknown,
			Detail:  "the first call with this key is still running; repeat with the same key",
			RetryAt: call.Deadline,
		}}
	}
}

func (e *entry) replayDecision() Decision {
	if e.responseMissing {
		return refusalDecision(&hitchoutcome.Refusal{
			Reason:  hitchoutcome.ReasonTooLarge,
			Outcome: hitchoutcome.Ran,
			Detail:  "the call ran once, and its answer was too large to keep",
		})
	}
	return Decision{Action: ActionReplay, Result: e.result}
}

func unknownRefusal(id KeyID) *hitchoutcome.Refusal {
	return &hitchoutcome.Refusal{
		Reason:  hitchoutcome.ReasonEndpointLost,
		Outcome: hitchoutcome.Unknown,
		Detail:  "the call was dispatched and its outcome is in doubt; it won't be run again; ask for key " + id.String(),
	}
}

func retiredRefusal() *hitchoutcome.Refusal {
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonEndpointLost, time.Time{},
		"the call was not run and never will; use a new key")
}
