package hitchclaim

import (
	"errors"
	"fmt"
	"time"
)

// fenceMarkTTL is how long a fence mark is kept. It exceeds the retention of the
// longest-lived key plus the time that a paused home may take to create its next
// segment, so that the home can't take the place of a deleted mark.
const fenceMarkTTL = MaxKeyTTL + Retention + segmentCreateWindow + 2*MaxClockSkew

// JournalSnapshot is a home's whole journal, read at one revision of the store.
//
//	snapshot, err := hitchclaim.NewJournalSnapshot(home, response.Values)
//	verdict := hitchclaim.DetermineOutcome(now, key, snapshot)
//	doubts := snapshot.Doubts(now)
type JournalSnapshot struct {
	Home     HomeID
	segments []Segment
	// revisions holds the store revision of each segment.
	revisions []uint64
}

// NewJournalSnapshot decodes the stored values of a home's journal, which must be
// ordered by name.
func NewJournalSnapshot(home HomeID, values []StoredValue) (js JournalSnapshot, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read journal of %s: %w", home, err)
		}
	}()
	js.Home = home
	for _, stored := range values {
		s, err := DecodeSegment(stored.Value)
		if err != nil {
			return JournalSnapshot{}, err
		}
		if s.Name() != stored.Name || s.Home != home {
			return JournalSnapshot{}, fmt.Errorf("%s holds the segment %s", stored.Name, s.Name())
		}
		js.segments = append(js.segments, s)
		js.revisions = append(js.revisions, stored.Revision)
	}
	return js, nil
}

// DecodeJournals decodes the journals of all homes. The values are all those under
// JournalPrefix, ordered by name.
func DecodeJournals(values []StoredValue) (snapshots []JournalSnapshot, err error) {
	for len(values) > 0 {
		first, err := DecodeSegment(values[0].Value)
		if err != nil {
			return nil, fmt.Errorf("read journal %s: %w", values[0].Name, err)
		}
		n := 1
		for n < len(values) && hasStrictPrefix(values[n].Name, homeJournalPrefix(first.Home)) {
			n++
		}
		snapshot, err := NewJournalSnapshot(first.Home, values[:n])
		if err != nil {
			return nil, err
		}
		snapshots = append(snapshots, snapshot)
		values = values[n:]
	}
	return snapshots, nil
}

func hasStrictPrefix(name, prefix string) bool {
	return len(name) > len(prefix) && name[:len(prefix)] == prefix
}

// lastSegment returns the segment with the highest number, or an empty one if there
// is none.
func (js JournalSnapshot) lastSegment() Segment {
	if len(js.segments) == 0 {
		return Segment{Home: js.Home}
	}
	return js.segments[len(js.segments)-1]
}

// IsFenced reports whether the home can't commit records any more, because it was
// fenced or has handed its keys over.
func (js JournalSnapshot) IsFenced() bool { return !js.lastSegment().FencedAt.IsZero() }

// Successor returns the home that may run the keys after a handover, if there was
// one.
func (js JournalSnapshot) Successor() (successor HomeID, ok bool) {
	last := js.lastSegment()
	return last.Successor, last.Successor != HomeID{}
}

// Record returns the latest record of a key.
func (js JournalSnapshot) Record(id KeyID) (latest Record, found bool) {
	for _, segment := range js.segments {
		for _, record := range segment.Records {
			if record.Run.Key == id && (!found || record.supersedes(latest)) {
				latest, found = record, true
			}
		}
	}
	return latest, found
}

// ErrNotFenced is returned if a home may still write its journal, so that only the
// home itself can resolve its bookings in doubt.
var ErrNotFenced = errors.New("hitchclaim: the home is not fenced")

// ResolveCommand returns the command that replaces the record of a run in the journal of a
// fenced home with a resolved one. If the command ends with StoreConflict, the journal
// has changed and must be read again.
func (js JournalSnapshot) ResolveCommand(now time.Time, record Record) (c StoreCommand, err error) {
	if !js.IsFenced() {
		return StoreCommand{}, ErrNotFenced
	}
	for segmentIndex := len(js.segments) - 1; segmentIndex >= 0; segmentIndex-- {
		for recordIndex, existing := range js.segments[segmentIndex].Records {
			if existing.Run == record.Run && record.supersedes(existing) {
				return js.replaceRecordCommand(now, segmentIndex, recordIndex, record), nil
			}
		}
	}
	return StoreCommand{}, fmt.Errorf("settle %s: %w", record.Run.Key, ErrNotInDoubt)
}

func (js JournalSnapshot) replaceRecordCommand(now time.Time, segmentIndex, recordIndex int, record Record) StoreCommand {
	segment := js.segments[segmentIndex]
	segment.Records = append([]Record(nil), segment.Records...)
	segment.Records[recordIndex] = record
	return StoreCommand{
		Op:               StoreSwap,
		Name:             segment.Name(),
		ExpectedRevision: js.revisions[segmentIndex],
		Value:            segment.Encode(),
		Deadline:         now.Add(storeTimeout),
	}
}

// KeepUntil returns when a fenced home's journal may be deleted: once the outcome of
// none of its keys is kept any more, and no booking in doubt is kept for operators.
func (js JournalSnapshot) KeepUntil() time.Time {
	until := js.lastSegment().FencedAt.Add(fenceMarkTTL)
	for _, segment := range js.segments {
		until = later(until, segment.KeepUntil())
	}
	for _, doubt := range js.allDoubts() {
		until = later(until, doubt.Record.Deadline.Add(DoubtRetention))
	}
	return until
}

// RemoveCommands returns the commands that delete the journal of a fenced home, or none
// before KeepUntil. The fence mark is deleted last: each command must have taken
// effect before the next is run.
func (js JournalSnapshot) RemoveCommands(now time.Time) (commands []StoreCommand) {
	if !js.IsFenced() || now.Before(js.KeepUntil()) {
		return nil
	}
	for i, segment := range js.segments {
		commands = append(commands, StoreCommand{
			Op: StoreDelete, Name: segment.Name(), ExpectedRevision: js.revisions[i], Deadline: now.Add(storeTimeout),
		})
	}
	return commands
}
