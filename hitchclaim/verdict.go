package hitchclaim

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Verdict is the outcome of a key as derived from the journals of fenced homes.
type Verdict struct {
	// Outcome is NotRun only if the key's call has not run and never will.
	Outcome hitchoutcome.Outcome
	// Record is the journal's record of the key, or zero.
	Record Record
	// Successor is the home that may run the key's call after a handover, and that the call
	// must be forwarded to. It is zero if the verdict is final.
	Successor HomeID
}

// DetermineOutcome derives the outcome of a key of a failed home from journals. The
// snapshots are those of the key's home, of its successor, of that home's successor and
// so on, as far as they are fenced. If the last of them names a successor,
// Verdict.Successor is set: forward the call to that home, which has the complete
// responses, or fence it too if it has failed.
//
//	verdict := hitchclaim.DetermineOutcome(now, key, snapshot)
//	refusal := verdict.Refusal(now)
func DetermineOutcome(now time.Time, key Key, snapshots ...JournalSnapshot) Verdict {
	if len(snapshots) == 0 || snapshots[0].Home != key.Home {
		return Verdict{}
	}
	for i, snapshot := range snapshots[:len(snapshots)-1] {
		if successor, moved := snapshot.Successor(); !moved || snapshots[i+1].Home != successor {
			return Verdict{}
		}
	}
	last := snapshots[len(snapshots)-1]
	successor, moved := last.Successor()
	// Two homes that leave at the same time may name each other as successor. Then
	// neither of them runs a call.
	isCycle := slices.ContainsFunc(snapshots, func(js JournalSnapshot) bool { return js.Home == successor })
	if moved && !isCycle {
		return Verdict{Successor: successor}
	}
	for _, snapshot := range snapshots[:len(snapshots)-1] {
		if verdict, final := snapshot.verdictFor(now, key); final {
			return verdict
		}
	}
	verdict, _ := last.verdictFor(now, key)
	return verdict
}

// verdictFor derives the outcome of a key from one journal. It also reports whether
// the verdict is final, so that the successor's journal needn't be considered.
func (js JournalSnapshot) verdictFor(now time.Time, key Key) (v Verdict, final bool) {
	record, found := js.Record(key.ID())
	v.Record = record
	switch {
	case !js.IsFenced():
		return Verdict{}, true
	case found && record.State == RecordRan:
		v.Outcome = hitchoutcome.Ran
		return v, true
	case found && record.State == RecordRetired:
		v.Outcome = hitchoutcome.NotRun
		return v, true
	case found && record.State != RecordNotRun:
		return v, true
	case !key.Deadline.After(js.lastSegment().RemovedUpTo) || !now.Before(key.Deadline.Add(Retention-MaxClockSkew)):
		// The record may have been deleted.
		return v, true
	case key.Policy == JournalRequired:
		v.Outcome = hitchoutcome.NotRun
		return v, false
	default:
		return v, false
	}
}

// Refusal returns the refusal for a caller of the key.
func (v Verdict) Refusal(now time.Time) *hitchoutcome.Refusal {
	switch {
	case v.Successor != HomeID{}:
		return &hitchoutcome.Refusal{
			Reason:  hitchoutcome.ReasonHomeLost,
			Detail:  "the key has moved to " + v.Successor.String() + "; repeat with the same key",
			RetryAt: now.Add(retryDelay),
		}
	case v.Outcome == hitchoutcome.NotRun:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonHomeLost, time.Time{},
			"the key's home is lost, and the call was not run and never will; use a new key")
	case v.Outcome == hitchoutcome.Ran:
		return &hitchoutcome.Refusal{
			Reason:  hitchoutcome.ReasonHomeLost,
			Outcome: hitchoutcome.Ran,
			Detail:  "the call ran once, and its answer is lost with the key's home",
		}
	default:
		return &hitchoutcome.Refusal{
			Reason: hitchoutcome.ReasonHomeLost,
			Detail: "the key's home is lost and the outcome is in doubt; the call won't be run again",
		}
	}
}

// Replay returns the response from the journal record, if the record has a body.
func (v Verdict) Replay() (result Result, ok bool) {
	if v.Outcome != hitchoutcome.Ran || v.Record.Body == nil {
		return Result{}, false
	}
	return Result{Status: v.Record.Status, Body: v.Record.Body}, true
}
