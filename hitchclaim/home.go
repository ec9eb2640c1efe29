package hitchclaim

import (
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	homeShardCount = 64
	// DefaultCapacity is the default maximum number of keys at a home.
	DefaultCapacity = 20000
	// MaxReplayBodyBytes is the maximum size of a response body that is kept for
	// replay.
	MaxReplayBodyBytes = 256 << 10
	// maxTotalReplayBytes is the total size of the kept response bodies from which
	// on no new key may start.
	maxTotalReplayBytes = 16 << 20
	// journalTimeout is how long a call waits for the commit of its journal record.
	journalTimeout = 2 * time.Second
	// retryDelay is how long a refused caller must wait before a retry.
	retryDelay = time.Second
)

// Home is the state machine for the keys of one incarnation of a router. It decides
// whether each call is run, replayed, forwarded or refused. The zero value with Self
// set is ready to use. Its methods are safe for concurrent use.
//
//	d := home.BeginCall(now, call)                     // ActionJournal
//	d = home.AuthorizeDispatch(now, d.Run, committed)  // ActionDispatch
//	d = home.FinishRun(now, d.Run, result)             // ActionReplay or ActionRefuse
//
// Each BeginCall that returns ActionJournal must be followed by AuthorizeDispatch, and
// each ActionDispatch by FinishRun, whatever happens in between.
type Home struct {
	Self HomeID
	// Capacity is the maximum number of keys. Zero means DefaultCapacity.
	Capacity int

	shards        [homeShardCount]homeShard
	lastRunNumber atomic.Uint64
	entryCount    atomic.Int64
	replayBytes   atomic.Int64
}

func (h *Home) shard(id KeyID) *homeShard { return &h.shards[id[0]%homeShardCount] }

// BeginCall decides how to handle a call: run it, wait for the first call with the same
// key, replay that call's response, forward it to the key's home, or refuse it.
func (h *Home) BeginCall(now time.Time, call Call) Decision {
	if err := call.Key.CheckScope(call.Organisation, call.Route); err != nil {
		return refusalDecision(err.(*KeyError).Refusal())
	}
	if call.Deadline.IsZero() {
		call.Deadline = call.Key.Deadline
	}
	id := call.Key.ID()
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Key.Home != h.Self && !s.adopted[call.Key.Home] {
		return Decision{Action: ActionForward, Home: call.Key.Home}
	}
	if e := s.entries[id]; e != nil {
		return e.decideRepeat(call)
	}
	if d, ok := s.admitNewKey(now, call); !ok {
		return d
	}
	if !h.reserveEntry(now, s) {
		return refusalDecision(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, now.Add(retryDelay),
			"the home holds as many keys as it may; repeat with the same key"))
	}
	return h.startRun(now, s, id, call)
}

// reserveEntry counts one more entry, or returns false if the home is full after
// expired entries of the shard were deleted.
func (h *Home) reserveEntry(now time.Time, s *homeShard) bool {
	if h.isFull() {
		h.releaseEntries(s.sweepExpired(now))
	}
	if h.isFull() {
		return false
	}
	h.entryCount.Add(1)
	return true
}

func (h *Home) isFull() bool {
	capacity := h.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	return h.entryCount.Load() >= int64(capacity) || h.replayBytes.Load() >= maxTotalReplayBytes
}

func (h *Home) releaseEntries(n int, size int64) {
	h.entryCount.Add(-int64(n))
	h.replayBytes.Add(-size)
}

func (h *Home) startRun(now time.Time, s *homeShard, id KeyID, call Call) Decision {
	record := Record{
		Run:          Run{Key: id, Number: h.lastRunNumber.Add(1)},
		Organisation: call.Organisation,
		Route:        call.Route,
		Deadline:     call.Key.Deadline,
		Policy:       call.Key.Policy,
	}
	if s.entries == nil {
		s.entries = make(map[KeyID]*entry)
	}
	s.entries[id] = &entry{requestDigest: call.RequestDigest, record: record, callerDeadline: call.Deadline, done: make(chan struct{})}
	return Decision{
		Action:   ActionJournal,
		Run:      record.Run,
		Record:   record,
		Deadline: earlier(now.Add(journalTimeout), earlier(call.Deadline, call.Key.Deadline)),
	}
}

// AuthorizeDispatch decides whether a run may be dispatched, once its journal record was
// committed or its write failed. No run is dispatched after the key's deadline, nor
// after the home was closed or fenced.
func (h *Home) AuthorizeDispatch(now time.Time, run Run, committed bool) Decision {
	s := h.shard(run.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[run.Key]
	if e == nil || e.record.Run != run || e.state != entryJournaling {
		return refusalDecision(unknownRefusal(run.Key))
	}
	if refusal := s.dispatchRefusal(now, e, committed); refusal != nil {
		d := h.endNotRun(s, e, refusal)
		if s.mode == modeMoved {
			d.Action, d.Home = ActionForward, s.successor
		}
		return d
	}
	e.state = entryRunning
	return Decision{Action: ActionDispatch, Run: run, Deadline: earlier(e.callerDeadline, e.record.Deadline)}
}

// dispatchRefusal returns the refusal of a run that must not be dispatched, or nil if
// it may be.
func (s *homeShard) dispatchRefusal(now time.Time, e *entry, committed bool) *hitchoutcome.Refusal {
	retryAt := now.Add(retryDelay)
	switch {
	case s.mode == modeFenced:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonHomeLost, time.Time{}, "the key's home has ended; use a new key")
	case s.mode == modeHandingOver || s.mode == modeMoved:
		return handingOverRefusal(now)
	case s.mode != modeOpen:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonLeaving, retryAt, "the key's home is leaving; repeat with the same key")
	case !now.Before(e.record.Deadline) || !e.record.Deadline.After(s.expiredUpTo):
		s.expiredUpTo = later(s.expiredUpTo, e.record.Deadline)
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyExpired, time.Time{}, "the key expired before dispatch, and its call was not run")
	case !now.Before(e.callerDeadline):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTimeout, now, "the caller's deadline passed before dispatch; repeat with the same key")
	case !committed && e.record.Policy == JournalRequired:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStoreOut, retryAt, "the booking can't be journaled; repeat with the same key")
	default:
		return nil
	}
}

// endNotRun ends a run that is proved NotRun. If the refusal has no RetryAt, the key
// is retired and never runs. Otherwise its entry is deleted, and the key may be run
// again.
func (h *Home) endNotRun(s *homeShard, e *entry, refusal *hitchoutcome.Refusal) Decision {
	close(e.done)
	if refusal.RetryAt.IsZero() {
		e.record = e.record.WithState(RecordRetired)
		e.state = entryRetired
		e.result = Result{Refusal: refusal}
	} else {
		e.record = e.record.WithState(RecordNotRun)
		delete(s.entries, e.record.Run.Key)
		h.releaseEntries(1, 0)
	}
	return Decision{Action: ActionRefuse, Refusal: refusal, Run: e.record.Run, Record: e.record}
}

// SweepExpired deletes the keys whose deadline and Retention have passed, and returns
// their number. Keys of unfinished runs are never deleted.
func (h *Home) SweepExpired(now time.Time) int {
	total := 0
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		n, size := s.sweepExpired(now)
		s.mu.Unlock()
		h.releaseEntries(n, size)
		total += n
	}
	return total
}
