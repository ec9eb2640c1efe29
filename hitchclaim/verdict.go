package hitchclaim

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Verdict is what fenced journals tell of a key.
type Verdict struct {
	// Outcome is NotRun only if the key's call has not run and never will.
	Outcome hitchoutcome.Outcome
	// Record is the journal's record of the key, or zero.
	Record Record
	// Ask names the home that may run the key's call, after a handover. It is zero
	// if the verdict is final.
	Ask HomeID
}

// Judge tells what became of a key of a lost home. The ledgers are those of the
// key's home, of its successor, of that one's successor and so on, as far as they
// are fenced. While the last of them names a successor, Verdict.Ask is set: forward
// the call to it, which has the answers whole, or fence it too if it is lost.
//
//	verdict := hitchclaim.Judge(now, key, ledger)
//	refusal := verdict.Refusal(now)
func Judge(now time.Time, key Key, ledgers ...Ledger) Verdict {
	if len(ledgers) == 0 || ledgers[0].Home != key.Home {
		return Verdict{}
	}
	for i, ledger := range ledgers[:len(ledgers)-1] {
		if successor, moved := ledger.Successor(); !moved || ledgers[i+1].Home != successor {
			return Verdict{}
		}
	}
	last := ledgers[len(ledgers)-1]
	successor, moved := last.Successor()
	// Two homes that leave at once may name each other: then neither runs a call.
	isCycle := slices.ContainsFunc(ledgers, func(l Ledger) bool { return l.Home == successor })
	if moved && !isCycle {
		return Verdict{Ask: successor}
	}
	for _, ledger := range ledgers[:len(ledgers)-1] {
		if verdict, final := ledger.judge(now, key); final {
			return verdict
		}
	}
	verdict, _ := last.judge(now, key)
	return verdict
}

// judge returns what one ledger tells, and whether a successor can't know more.
func (l Ledger) judge(now time.Time, key Key) (v Verdict, final bool) {
	record, found := l.Record(key.ID())
	v.Record = record
	switch {
	case !l.IsFenced():
		return Verdict{}, true
	case found && record.State == RecordRan:
		v.Outcome = hitchoutcome.Ran
		return v, true
	case found && record.State == RecordRetired:
		v.Outcome = hitchoutcome.NotRun
		return v, true
	case found && record.State != RecordNotRun:
		return v, true
	case !key.Deadline.After(l.head().Forgotten) || !now.Before(key.Deadline.Add(Retention-ClockSkew)):
		// The record may have been removed.
		return v, true
	case key.Policy == JournalRequired:
		v.Outcome = hitchoutcome.NotRun
		return v, false
	default:
		return v, false
	}
}

// Refusal returns the answer to a caller of the key.
func (v Verdict) Refusal(now time.Time) *hitchoutcome.Refusal {
	switch {
	case v.Ask != HomeID{}:
		return &hitchoutcome.Refusal{
			Reason:  hitchoutcome.ReasonHomeLost,
			Detail:  "the key has moved to " + v.Ask.String() + "; repeat with the same key",
			RetryAt: now.Add(refusalDelay),
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

// Replay returns the answer that a journal kept, if it kept the body.
func (v Verdict) Replay() (result Result, ok bool) {
	if v.Outcome != hitchoutcome.Ran || v.Record.Body == nil {
		return Result{}, false
	}
	return Result{Status: v.Record.Status, Body: v.Record.Body}, true
}
