package hitchclaim

import (
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	homeShards = 64
	// DefaultCapacity is the number of keys that a home holds.
	DefaultCapacity = 20000
	// MaxReplayBody bounds the body of an answer that is kept, in bytes.
	MaxReplayBody = 256 << 10
	// maxReplayBytes bounds the bodies of all answers that are kept: no new key
	// starts above it.
	maxReplayBytes = 16 << 20
	// journalWait bounds the wait of one call for its journal record.
	journalWait = 2 * time.Second
	// refusalDelay is when a refused caller may come back.
	refusalDelay = time.Second
)

// Home decides what happens to the keys of one process in one incarnation. The
// zero value with Self set is ready. Its methods are safe for several goroutines.
//
//	d := home.Begin(now, call)                 // ActionJournal
//	d = home.Journaled(now, d.Run, committed)  // ActionDispatch
//	d = home.Finish(now, d.Run, result)        // ActionReplay or ActionRefuse
//
// Each Begin that returns ActionJournal must be followed by Journaled, and each
// ActionDispatch by Finish, whatever happens in between.
type Home struct {
	Self HomeID
	// Capacity bounds the keys held. Zero means DefaultCapacity.
	Capacity int

	shards  [homeShards]homeShard
	number  atomic.Uint64
	entries atomic.Int64
	bytes   atomic.Int64
}

func (h *Home) shard(id KeyID) *homeShard { return &h.shards[id[0]%homeShards] }

// Begin decides on a call: to run it, to wait for the first call with its key, to
// replay that call's answer, to forward it to the key's home, or to refuse it.
func (h *Home) Begin(now time.Time, call Call) Decision {
	if err := call.Key.Check(call.Organisation, call.Route); err != nil {
		return refuse(err.(*KeyError).Refusal())
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
		return e.repeat(call)
	}
	if d, ok := s.admit(now, call); !ok {
		return d
	}
	if !h.reserve(now, s) {
		return refuse(hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, now.Add(refusalDelay),
			"the home holds as many keys as it may; repeat with the same key"))
	}
	return h.start(now, s, id, call)
}

// reserve takes a place for one more entry.
func (h *Home) reserve(now time.Time, s *homeShard) bool {
	if h.full() {
		h.release(s.sweep(now))
	}
	if h.full() {
		return false
	}
	h.entries.Add(1)
	return true
}

func (h *Home) full() bool {
	capacity := h.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	return h.entries.Load() >= int64(capacity) || h.bytes.Load() >= maxReplayBytes
}

func (h *Home) release(n int, size int64) {
	h.entries.Add(-int64(n))
	h.bytes.Add(-size)
}

func (h *Home) start(now time.Time, s *homeShard, id KeyID, call Call) Decision {
	record := Record{
		Run:          Run{Key: id, Number: h.number.Add(1)},
		Organisation: call.Organisation,
		Route:        call.Route,
		Deadline:     call.Key.Deadline,
		Policy:       call.Key.Policy,
	}
	if s.entries == nil {
		s.entries = make(map[KeyID]*entry)
	}
	s.entries[id] = &entry{body: call.Body, record: record, until: call.Deadline, done: make(chan struct{})}
	return Decision{
		Action: ActionJournal,
		Run:    record.Run,
		Record: record,
		Until:  earlier(now.Add(journalWait), earlier(call.Deadline, call.Key.Deadline)),
	}
}

// Journaled decides whether a run may be dispatched, once its journal record is
// committed or has failed. No run is dispatched after the key's deadline, nor
// once the home is closed or fenced.
func (h *Home) Journaled(now time.Time, run Run, committed bool) Decision {
	s := h.shard(run.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[run.Key]
	if e == nil || e.record.Run != run || e.state != entryJournaling {
		return refuse(unknownRefusal(run.Key))
	}
	if refusal := s.undispatched(now, e, committed); refusal != nil {
		d := h.drop(s, e, refusal)
		if s.mode == modeMoved {
			d.Action, d.Home = ActionForward, s.successor
		}
		return d
	}
	e.state = entryRunning
	return Decision{Action: ActionDispatch, Run: run, Until: earlier(e.until, e.record.Deadline)}
}

// undispatched returns why a run may not be dispatched, or nil.
func (s *homeShard) undispatched(now time.Time, e *entry, committed bool) *hitchoutcome.Refusal {
	again := now.Add(refusalDelay)
	switch {
	case s.mode == modeFenced:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonHomeLost, time.Time{}, "the key's home has ended; use a new key")
	case s.mode == modeHandingOver || s.mode == modeMoved:
		return handingOverRefusal(now)
	case s.mode != modeOpen:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonLeaving, again, "the key's home is leaving; repeat with the same key")
	case !now.Before(e.record.Deadline) || !e.record.Deadline.After(s.spent):
		s.spent = later(s.spent, e.record.Deadline)
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonKeyExpired, time.Time{}, "the key expired before dispatch, and its call was not run")
	case !now.Before(e.until):
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonTimeout, now, "the caller's deadline passed before dispatch; repeat with the same key")
	case !committed && e.record.Policy == JournalRequired:
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStoreOut, again, "the booking can't be journaled; repeat with the same key")
	default:
		return nil
	}
}

// drop ends a run that is proved NotRun. A refusal that names no time to come
// back retires the key: it never runs. Otherwise the key is free for another run.
func (h *Home) drop(s *homeShard, e *entry, refusal *hitchoutcome.Refusal) Decision {
	close(e.done)
	if refusal.RetryAt.IsZero() {
		e.record = e.record.WithState(RecordRetired)
		e.state = entryRetired
		e.result = Result{Refusal: refusal}
	} else {
		e.record = e.record.WithState(RecordNotRun)
		delete(s.entries, e.record.Run.Key)
		h.release(1, 0)
	}
	return Decision{Action: ActionRefuse, Refusal: refusal, Run: e.record.Run, Record: e.record}
}

// Sweep forgets the keys whose deadline and Retention have passed, and returns
// their number. Unfinished runs are never forgotten.
func (h *Home) Sweep(now time.Time) int {
	total := 0
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		n, size := s.sweep(now)
		s.mu.Unlock()
		h.release(n, size)
		total += n
	}
	return total
}
