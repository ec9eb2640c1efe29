package hitchclaim

import (
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Finish records what became of a dispatched run and returns the answer for its
// caller. An Unknown outcome is kept and the call never runs again; a later
// Finish of the same run with the whole answer still replaces it. NotRun must come
// from hitchoutcome.DispatchTracker.
func (h *Home) Finish(now time.Time, run Run, result Result) Decision {
	s := h.shard(run.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[run.Key]
	if e == nil || e.record.Run != run {
		return refuse(unknownRefusal(run.Key))
	}
	switch {
	case e.state == entryRunning:
		return h.end(now, s, e, result)
	case e.state == entryUnknown && result.Outcome() == hitchoutcome.Ran:
		return h.keep(e, result)
	default:
		return e.repeat(Call{Body: e.body})
	}
}

func (h *Home) end(now time.Time, s *homeShard, e *entry, result Result) Decision {
	switch result.Outcome() {
	case hitchoutcome.Ran:
		close(e.done)
		return h.keep(e, result)
	case hitchoutcome.NotRun:
		return h.drop(s, e, s.withoutReturn(now, e, result.Refusal))
	default:
		close(e.done)
		e.state = entryUnknown
		e.record = e.record.WithState(RecordUnknown)
		return Decision{Action: ActionRefuse, Refusal: result.Refusal, Run: e.record.Run, Record: e.record}
	}
}

// withoutReturn takes the time to come back from a refusal whose key can't start
// again, which retires the key.
func (s *homeShard) withoutReturn(now time.Time, e *entry, refusal *hitchoutcome.Refusal) *hitchoutcome.Refusal {
	if s.mode != modeFenced && now.Before(e.record.Deadline) {
		return refusal
	}
	last := *refusal
	last.RetryAt = time.Time{}
	return &last
}

// keep stores the whole answer for repeats.
func (h *Home) keep(e *entry, result Result) Decision {
	e.state = entryFinished
	e.record = e.record.WithResult(result)
	e.cut = len(result.Body) > MaxReplayBody
	if !e.cut {
		e.result = result.clone()
		h.bytes.Add(int64(len(result.Body)))
	}
	return Decision{Action: ActionReplay, Result: result, Run: e.record.Run, Record: e.record}
}

// Fence ends the home: nothing starts any more under this incarnation. It is
// called when the journal turns out to be fenced. Finished answers are still
// replayed and running calls still end.
func (h *Home) Fence() { h.setMode(modeFenced, HomeID{}) }

// Close stops new runs ahead of a handover.
func (h *Home) Close() { h.setMode(modeClosed, HomeID{}) }

// MoveTo forwards all keys without an entry to the successor.
func (h *Home) MoveTo(successor HomeID) { h.setMode(modeMoved, successor) }

// setMode changes the mode in every shard. A home that is fenced or moved stays
// so.
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

// Running returns the number of calls that are journaled or dispatched and not
// over.
func (h *Home) Running() int {
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
