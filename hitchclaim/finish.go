package hitchclaim

import (
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// FinishRun records the result of a dispatched run and returns the response for its
// caller. After an Unknown outcome the call never runs again; a later FinishRun of the
// same run with the complete response still replaces the outcome. A result with outcome
// NotRun must come from hitchoutcome.DispatchTracker.
func (h *Home) FinishRun(now time.Time, run Run, result Result) Decision {
	s := h.shard(run.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[run.Key]
	if e == nil || e.record.Run != run {
		return refusalDecision(unknownRefusal(run.Key))
	}
	switch {
	case e.state == entryRunning:
		return h.recordResult(now, s, e, result)
	case e.state == entryUnknown && result.Outcome() == hitchoutcome.Ran:
		return h.storeResponse(e, result)
	default:
		return e.decideRepeat(Call{RequestDigest: e.requestDigest})
	}
}

func (h *Home) recordResult(now time.Time, s *homeShard, e *entry, result Result) Decision {
	switch result.Outcome() {
	case hitchoutcome.Ran:
		close(e.done)
		return h.storeResponse(e, result)
	case hitchoutcome.NotRun:
		return h.endNotRun(s, e, s.withoutRetry(now, e, result.Refusal))
	default:
		close(e.done)
		e.state = entryUnknown
		e.record = e.record.WithState(RecordUnknown)
		return Decision{Action: ActionRefuse, Refusal: result.Refusal, Run: e.record.Run, Record: e.record}
	}
}

// withoutRetry clears RetryAt of a refusal if the key can't be run again, because the
// home is fenced or the key's deadline has passed. This retires the key.
func (s *homeShard) withoutRetry(now time.Time, e *entry, refusal *hitchoutcome.Refusal) *hitchoutcome.Refusal {
	if s.mode != modeFenced && now.Before(e.record.Deadline) {
		return refusal
	}
	final := *refusal
	final.RetryAt = time.Time{}
	return &final
}

// storeResponse keeps the complete response for replay.
func (h *Home) storeResponse(e *entry, result Result) Decision {
	e.state = entryFinished
	e.record = e.record.WithResult(result)
	e.responseMissing = len(result.Body) > MaxReplayBodyBytes
	if !e.responseMissing {
		e.result = result.clone()
		h.replayBytes.Add(int64(len(result.Body)))
	}
	return Decision{Action: ActionReplay, Result: result, Run: e.record.Run, Record: e.record}
}

// Fence stops the home from starting runs under this incarnation. It must be called
// when the home's journal is found to be fenced. Responses are still replayed, and
// running calls still finish.
func (h *Home) Fence() { h.setMode(modeFenced, HomeID{}) }

// RefuseNewKeys refuses new runs in preparation for a handover.
func (h *Home) RefuseNewKeys() { h.setMode(modeClosed, HomeID{}) }

// ForwardTo makes the home forward calls whose key has no entry to the successor.
func (h *Home) ForwardTo(successor HomeID) { h.setMode(modeMoved, successor) }

// setMode changes the mode of every shard. It can't undo modeFenced or modeMoved.
func (h *Home) setMode(mode homeMode, successor HomeID) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		if mode > s.mode && s.mode != modeFenced {
			s.mode, s.successor = mode, successor
		}
		s.mu.Unlock()
	}
}

// RunningCount returns the number of runs without an outcome: those that wait for their
// journal record or were dispatched.
func (h *Home) RunningCount() int {
	n := 0
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if e.state == entryJournaling || e.state == entryRunning {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
