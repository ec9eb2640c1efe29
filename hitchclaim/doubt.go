package hitchclaim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// lateArrivalMargin is how long after a key's deadline its call may still reach an
// endpoint, if the home was paused between its last check of the deadline and sending
// the first byte.
const lateArrivalMargin = 10 * time.Minute

// ErrNotInDoubt is returned if no booking in doubt has the key.
var ErrNotInDoubt = errors.New("hitchclaim: no booking in doubt has this key")

// Doubt is a booking in doubt: it may have been dispatched, and its outcome isn't
// known.
type Doubt struct {
	Home   HomeID
	Record Record
	// IsFenced is set if the home can't write its journal any more. Then any router
	// may resolve the doubt by JournalSnapshot.ResolveCommand; else only the home can,
	// by Home.ResolveDoubt.
	IsFenced bool
}

// Resolution is the actual outcome of a booking, determined by an operator or by a lookup
// at the route's endpoint.
type Resolution struct {
	// Outcome is Ran or NotRun.
	Outcome hitchoutcome.Outcome
	// Status is the HTTP status of the response if the call ran, or 0 if unknown.
	Status int
}

// OutcomeLookup queries a route's endpoint for the outcome of a booking. If it returns
// Unknown, the booking stays in doubt.
type OutcomeLookup func(ctx context.Context, d Doubt) (Resolution, error)

// TooEarlyError is returned if a booking can't be declared NotRun yet, as its call may
// still reach the endpoint.
type TooEarlyError struct {
	Key KeyID
	// RetryAt is the earliest time at which NotRun may be declared.
	RetryAt time.Time
}

// Error returns the key and the time in one line.
func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("booking %s may still run until %s", e.Key, e.RetryAt.Format(time.RFC3339))
}

// withResolution returns a copy of the record with the given outcome.
func (r Record) withResolution(now time.Time, resolution Resolution) (Record, error) {
	switch resolution.Outcome {
	case hitchoutcome.Ran:
		return r.WithResult(Result{Status: resolution.Status}), nil
	case hitchoutcome.NotRun:
		if notRunAfter := r.Deadline.Add(lateArrivalMargin); now.Before(notRunAfter) {
			return Record{}, &TooEarlyError{Key: r.Run.Key, RetryAt: notRunAfter}
		}
		return r.WithState(RecordRetired), nil
	default:
		return Record{}, fmt.Errorf("resolve booking %s: the truth must be Ran or NotRun", r.Run.Key)
	}
}

// Resolve returns the record that resolves the doubt, to be written to the journal by
// JournalSnapshot.ResolveCommand. NotRun is rejected with a *TooEarlyError until 10
// minutes after the key's deadline.
func (d Doubt) Resolve(now time.Time, resolution Resolution) (Record, error) {
	return d.Record.withResolution(now, resolution)
}

// Doubts returns the bookings in doubt, ordered by deadline. If the home isn't fenced,
// pending bookings are included only once their deadline has passed.
func (js JournalSnapshot) Doubts(now time.Time) []Doubt {
	return slices.DeleteFunc(js.allDoubts(), func(d Doubt) bool {
		return !d.IsFenced && d.Record.State == RecordPending && now.Before(d.Record.Deadline)
	})
}

// allDoubts returns all pending bookings and bookings with an unknown outcome, ordered
// by deadline.
func (js JournalSnapshot) allDoubts() (doubts []Doubt) {
	latest := make(map[KeyID]Record)
	for _, segment := range js.segments {
		for _, record := range segment.Records {
			if existing, found := latest[record.Run.Key]; !found || record.supersedes(existing) {
				latest[record.Run.Key] = record
			}
		}
	}
	for _, record := range latest {
		if record.State == RecordPending || record.State == RecordUnknown {
			doubts = append(doubts, Doubt{Home: js.Home, Record: record, IsFenced: js.IsFenced()})
		}
	}
	slices.SortFunc(doubts, compareDoubts)
	return doubts
}

func compareDoubts(a, b Doubt) int {
	if c := a.Record.Deadline.Compare(b.Record.Deadline); c != 0 {
		return c
	}
	return slices.Compare(a.Record.Run.Key[:], b.Record.Run.Key[:])
}

// Doubts returns the bookings in doubt that the home still holds, ordered by deadline.
func (h *Home) Doubts() (doubts []Doubt) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if e.state == entryUnknown {
				doubts = append(doubts, Doubt{Home: h.Self, Record: e.record})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(doubts, compareDoubts)
	return doubts
}

// ResolveDoubt resolves a booking in doubt that the home holds, and returns the record for
// its journal. Later calls with the key get the resolved outcome and are never run.
func (h *Home) ResolveDoubt(now time.Time, id KeyID, resolution Resolution) (record Record, err error) {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || e.state != entryUnknown {
		return Record{}, fmt.Errorf("resolve %s: %w", id, ErrNotInDoubt)
	}
	record, err = e.record.withResolution(now, resolution)
	if err != nil {
		return Record{}, err
	}
	e.record = record
	if resolution.Outcome == hitchoutcome.Ran {
		e.state, e.responseMissing = entryFinished, true
		return record, nil
	}
	e.state = entryRetired
	e.result = Result{Refusal: retiredRefusal()}
	return record, nil
}
