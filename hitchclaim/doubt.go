package hitchclaim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// settleMargin is how long after a key's deadline its call may still reach an
// endpoint, if the home was paused between its last check and the first byte.
const settleMargin = 10 * time.Minute

// ErrNoDoubt says that no booking in doubt has the key.
var ErrNoDoubt = errors.New("hitchclaim: no booking in doubt has this key")

// Doubt is a booking whose outcome isn't known.
type Doubt struct {
	Home   HomeID
	Record Record
	// IsFenced tells whether the home has ended: then anyone resolves the doubt by
	// Ledger.Settle, else the home does by Home.Resolve.
	IsFenced bool
}

// Truth is what an operator or a route's lookup knows of a booking.
type Truth struct {
	// Outcome is Ran or NotRun.
	Outcome hitchoutcome.Outcome
	// Status is the response's status if the call ran, or 0.
	Status int
}

// Lookup asks a route's endpoint whether it has a booking. An Unknown outcome
// leaves the doubt.
type Lookup func(ctx context.Context, d Doubt) (Truth, error)

// TooEarlyError says that a booking can't be declared NotRun yet, as its call may
// still reach the endpoint.
type TooEarlyError struct {
	Key KeyID
	// RetryAt is when NotRun may be declared.
	RetryAt time.Time
}

// Error returns one line that names the key and the time.
func (e *TooEarlyError) Error() string {
	return fmt.Sprintf("booking %s may still run until %s", e.Key, e.RetryAt.Format(time.RFC3339))
}

// resolve returns the record with the truth.
func (r Record) resolve(now time.Time, truth Truth) (Record, error) {
	switch truth.Outcome {
	case hitchoutcome.Ran:
		return r.WithResult(Result{Status: truth.Status}), nil
	case hitchoutcome.NotRun:
		if settled := r.Deadline.Add(settleMargin); now.Before(settled) {
			return Record{}, &TooEarlyError{Key: r.Run.Key, RetryAt: settled}
		}
		return r.WithState(RecordRetired), nil
	default:
		return Record{}, fmt.Errorf("resolve booking %s: the truth must be Ran or NotRun", r.Run.Key)
	}
}

// Resolve returns the record that ends the doubt: put it into the journal by
// Ledger.Settle. NotRun is refused until 10 minutes after the key's deadline, by a
// *TooEarlyError.
func (d Doubt) Resolve(now time.Time, truth Truth) (Record, error) {
	return d.Record.resolve(now, truth)
}

// Doubts returns the bookings in doubt, by deadline. Of a home that isn't fenced
// they include pending ones whose deadline has passed.
func (l Ledger) Doubts(now time.Time) []Doubt {
	return slices.DeleteFunc(l.doubts(), func(d Doubt) bool {
		return !d.IsFenced && d.Record.State == RecordPending && now.Before(d.Record.Deadline)
	})
}

func (l Ledger) doubts() (doubts []Doubt) {
	latest := make(map[KeyID]Record)
	for _, segment := range l.segments {
		for _, record := range segment.Records {
			if held, found := latest[record.Run.Key]; !found || record.overrides(held) {
				latest[record.Run.Key] = record
			}
		}
	}
	for _, record := range latest {
		if record.State == RecordPending || record.State == RecordUnknown {
			doubts = append(doubts, Doubt{Home: l.Home, Record: record, IsFenced: l.IsFenced()})
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

// Doubts returns the bookings in doubt that the home still holds, by deadline.
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

// Resolve ends a doubt that the home holds, and returns the record for its
// journal. Repeats of the key are answered with the truth, and never run.
func (h *Home) Resolve(now time.Time, id KeyID, truth Truth) (record Record, err error) {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || e.state != entryUnknown {
		return Record{}, fmt.Errorf("resolve %s: %w", id, ErrNoDoubt)
	}
	record, err = e.record.resolve(now, truth)
	if err != nil {
		return Record{}, err
	}
	e.record = record
	if truth.Outcome == hitchoutcome.Ran {
		e.state, e.cut = entryFinished, true
		return record, nil
	}
	e.state = entryRetired
	e.result = Result{Refusal: retiredRefusal()}
	return record, nil
}
