package hitchclaim

import (
	"errors"
	"fmt"
	"time"
)

// fenceLife is how long a fence mark is kept: longer than a key lives and a
// paused home may take to make its next segment.
const fenceLife = MaxKeyLife + Retention + openWindow + 2*ClockSkew

// Ledger is a home's whole journal as it was read at one revision.
//
//	ledger, err := hitchclaim.NewLedger(home, answer.Values)
//	verdict := hitchclaim.Judge(now, key, ledger)
//	doubts := ledger.Doubts(now)
type Ledger struct {
	Home     HomeID
	segments []Segment
	// revisions are those of the segments.
	revisions []uint64
}

// NewLedger reads the values under a home's prefix, in order of names.
func NewLedger(home HomeID, values []Stored) (l Ledger, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read journal of %s: %w", home, err)
		}
	}()
	l.Home = home
	for _, stored := range values {
		s, err := DecodeSegment(stored.Value)
		if err != nil {
			return Ledger{}, err
		}
		if s.Name() != stored.Name || s.Home != home {
			return Ledger{}, fmt.Errorf("%s holds the segment %s", stored.Name, s.Name())
		}
		l.segments = append(l.segments, s)
		l.revisions = append(l.revisions, stored.Revision)
	}
	return l, nil
}

// ReadLedgers returns the journals among all values under JournalPrefix.
func ReadLedgers(values []Stored) (ledgers []Ledger, err error) {
	for len(values) > 0 {
		first, err := DecodeSegment(values[0].Value)
		if err != nil {
			return nil, fmt.Errorf("read journal %s: %w", values[0].Name, err)
		}
		n := 1
		for n < len(values) && isUnder(values[n].Name, homePrefix(first.Home)) {
			n++
		}
		ledger, err := NewLedger(first.Home, values[:n])
		if err != nil {
			return nil, err
		}
		ledgers = append(ledgers, ledger)
		values = values[n:]
	}
	return ledgers, nil
}

func isUnder(name, prefix string) bool {
	return len(name) > len(prefix) && name[:len(prefix)] == prefix
}

// head returns the highest segment, or the zero one.
func (l Ledger) head() Segment {
	if len(l.segments) == 0 {
		return Segment{Home: l.Home}
	}
	return l.segments[len(l.segments)-1]
}

// IsFenced tells whether the home has been ended: it commits no record any more.
func (l Ledger) IsFenced() bool { return !l.head().Fenced.IsZero() }

// Successor returns the home that may run the keys, after a handover.
func (l Ledger) Successor() (successor HomeID, ok bool) {
	head := l.head()
	return head.Successor, head.Successor != HomeID{}
}

// Record returns the latest record of a key.
func (l Ledger) Record(id KeyID) (latest Record, found bool) {
	for _, segment := range l.segments {
		for _, record := range segment.Records {
			if record.Run.Key == id && (!found || record.overrides(latest)) {
				latest, found = record, true
			}
		}
	}
	return latest, found
}

// ErrNotFenced says that a home may still write its journal, so that only the home
// itself can resolve its doubts.
var ErrNotFenced = errors.New("hitchclaim: the home is not fenced")

// Settle returns the command that records the truth of a run in the journal of a
// fenced home. A conflict means that the journal was changed: read it again.
func (l Ledger) Settle(now time.Time, record Record) (c StoreCommand, err error) {
	if !l.IsFenced() {
		return StoreCommand{}, ErrNotFenced
	}
	for i := len(l.segments) - 1; i >= 0; i-- {
		for k, held := range l.segments[i].Records {
			if held.Run == record.Run && record.overrides(held) {
				return l.replace(now, i, k, record), nil
			}
		}
	}
	return StoreCommand{}, fmt.Errorf("settle %s: %w", record.Run.Key, ErrNoDoubt)
}

func (l Ledger) replace(now time.Time, i, k int, record Record) StoreCommand {
	segment := l.segments[i]
	segment.Records = append([]Record(nil), segment.Records...)
	segment.Records[k] = record
	return StoreCommand{
		Verb:     StoreSwap,
		Name:     segment.Name(),
		Was:      l.revisions[i],
		Value:    segment.Encode(),
		Deadline: now.Add(storeWait),
	}
}

// KeepUntil returns when a fenced home's journal may be removed: once no key of the
// home can be asked for, and no doubt is kept for operators.
func (l Ledger) KeepUntil() time.Time {
	until := l.head().Fenced.Add(fenceLife)
	for _, segment := range l.segments {
		until = later(until, segment.KeepUntil())
	}
	for _, doubt := range l.doubts() {
		until = later(until, doubt.Record.Deadline.Add(DoubtLife))
	}
	return until
}

// Remove returns the commands that remove the journal of a fenced home after
// KeepUntil, the fence mark last. Each must have taken effect before the next.
func (l Ledger) Remove(now time.Time) (commands []StoreCommand) {
	if !l.IsFenced() || now.Before(l.KeepUntil()) {
		return nil
	}
	for i, segment := range l.segments {
		commands = append(commands, StoreCommand{
			Verb: StoreDelete, Name: segment.Name(), Was: l.revisions[i], Deadline: now.Add(storeWait),
		})
	}
	return commands
}
