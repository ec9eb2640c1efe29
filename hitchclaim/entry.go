package hitchclaim

import (
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// entryState is the place of a key in its life:
//
//	journaling -> running -> finished
//	                      -> unknown -> finished or retired, by Resolve
//	                      -> retired, or removed, if proved NotRun
type entryState uint8

const (
	entryJournaling entryState = iota
	entryRunning
	entryFinished
	entryUnknown
	entryRetired
)

// entry is what a home knows of one key.
type entry struct {
	state  entryState
	body   Digest
	record Record
	result Result
	// until is when the caller of the run stops waiting.
	until time.Time
	// done is closed once the run is over.
	done chan struct{}
	// cut is set if the call ran and its answer was too large to keep.
	cut bool
}

// over tells whether nothing can happen to the key any more at the time, so that
// its entry may be forgotten.
func (e *entry) over(now time.Time) bool {
	switch e.state {
	case entryJournaling, entryRunning:
		return false
	default:
		return !now.Before(e.record.Deadline.Add(Retention))
	}
}

// repeat decides on a call whose key has an entry.
func (e *entry) repeat(call Call) Decision {
	if e.body != call.Body {
		return refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyReused, time.Time{},
			"the key was used with another request, and this one was not run"))
	}
	switch e.state {
	case entryFinished:
		return e.replay()
	case entryUnknown:
		return refuse(unknownRefusal(e.record.Run.Key))
	case entryRetired:
		return refuse(e.result.Refusal)
	default:
		return Decision{Action: ActionWait, Done: e.done, Until: call.Deadline, Refusal: &hitchoutcome.Refusal{
			Reason:  hitchoutcome.ReasonTimeout,
			Outcome: hitchoutcome.Unknown,
			Detail:  "the first call with this key is still running; repeat with the same key",
			RetryAt: call.Deadline,
		}}
	}
}

func (e *entry) replay() Decision {
	if e.cut {
		return refuse(&hitchoutcome.Refusal{
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
