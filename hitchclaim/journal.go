package hitchclaim

import (
	"bytes"
	"crypto/rand"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultSegmentBytes is the size at which a segment is sealed. One commit
	// writes a whole segment, so it bounds the bytes of a commit.
	DefaultSegmentBytes = 2 << 10
	// maxBatch bounds the records of one commit. With bodies of maxRecordBody a
	// segment stays under 256 KiB.
	maxBatch = 512
	// maxSegments bounds the sealed segments of a home that are kept.
	maxSegments = 2048
	// storeWait bounds one call of the key-value service.
	storeWait = 500 * time.Millisecond
	// settleWait is how long an outcome waits for a booking to share its commit.
	settleWait = time.Second
	// minProbe and maxProbe bound the time between two tries while the store is
	// out. It doubles with each try.
	minProbe = 250 * time.Millisecond
	maxProbe = 4 * time.Second
	// openWindow is how long a journal may take to make its next segment, from its
	// first event or from sealing the one before. A fence mark is kept for longer, so
	// that a home that was paused never finds the place of the mark empty.
	openWindow = 10 * time.Minute
)

// journalPhase is what a journal waits for.
type journalPhase uint8

const (
	phaseIdle journalPhase = iota
	// phaseWriting waits for the answer to a write.
	phaseWriting
	// phaseReading waits for the value after a conflict or a lost answer.
	phaseReading
)

// JournalStep is what follows from an event of a journal.
type JournalStep struct {
	// Commands go to the key-value service; each answer comes back by Stored.
	Commands []StoreCommand
	// Committed and Failed are the runs whose records stand in the store, and
	// those whose records may not: call Home.Journaled for each.
	Committed, Failed []Run
	// Fenced is set once the home has been ended by another router: call
	// Home.Fence, and start over with a new incarnation.
	Fenced bool
	// HandedOver is set once the successor stands in the store.
	HandedOver bool
	// Wake is when to call Tick, or zero.
	Wake time.Time
}

// Journal keeps the bookings of one home in the key-value service, many in one
// write. The zero value with Self set is ready; its first event opens it. Call Tick
// when the process starts, so that a fence mark finds the journal open. Each record
// of a Decision must be put, as a run without an outcome keeps its segment. Its
// methods are safe for several goroutines.
//
//	step := journal.Put(now, decision.Record)
//	step = journal.Stored(now, store.Do(ctx, step.Commands[0]))
//	step = journal.Tick(now)
type Journal struct {
	Self HomeID
	// SegmentBytes is the size at which a segment is sealed. Zero means
	// DefaultSegmentBytes.
	SegmentBytes int

	mu sync.Mutex
	// homes gives the commit interval.
	homes int
	// head is the open segment with all records, written or not.
	head Segment
	// index finds the head's records.
	index map[KeyID]int
	// revision is that of the open segment, 0 before its first write.
	revision uint64
	phase    journalPhase
	// command is the number of the call that is awaited.
	command  uint64
	commands uint64
	// closing is set while the write that is under way seals the segment.
	closing bool
	// changes are the records added since the last write started.
	changes []Record
	// unsettled are the pending runs without an outcome.
	unsettled map[KeyID]Record
	// waiting are the runs for the next write, writing those of this one.
	waiting, writing []Run
	// dirtyBy is when the unwritten outcomes must be written, or zero.
	dirtyBy time.Time
	// nextWrite is the earliest time of the next write.
	nextWrite time.Time
	// openBy is the deadline for the first write of the open segment.
	openBy time.Time
	// failures counts the store's failed calls since the last that worked.
	failures int
	probeAt  time.Time
	// unsure is set if the value must be read before the next write.
	unsure   bool
	fenced   bool
	handover bool
	// handoverWrite is the first write that names the successor, or 0.
	handoverWrite uint64
	successor     HomeID
	digest        Digest
	sealed        []sealedSegment
	// dropping are sealed segments to remove after the next write.
	dropping []sealedSegment
}

// sealedSegment is what a journal remembers of a segment that it sealed.
type sealedSegment struct {
	number, revision uint64
	keepUntil        time.Time
	// deadline is the latest of its records.
	deadline time.Time
	// pending are the runs that weren't over when the segment was sealed.
	pending []Run
}

// SetHomes sets the number of homes in the fleet, which gives the least time
// between two writes by CommitInterval.
func (j *Journal) SetHomes(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.homes = n
}

// Put takes a record. That of a pending run is answered by Committed or Failed,
// in this step or a later one. While the store is out it fails at once.
func (j *Journal) Put(now time.Time, record Record) (step JournalStep) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open(now)
	if record.State != RecordPending {
		j.settle(now, record)
		return j.next(now, step)
	}
	if !j.refusesRecords() {
		j.add(record)
		j.waiting = append(j.waiting, record.Run)
		return j.next(now, step)
	}
	step.Failed = append(step.Failed, record.Run)
	step.Fenced = j.fenced && !j.handover
	if record.Policy == JournalBestEffort && !j.fenced && !j.handover {
		// The run goes on without the commit, and the record follows when it can.
		j.add(record)
		j.dirtyBy = earliest(j.dirtyBy, now)
	}
	return j.next(now, step)
}

// refusesRecords tells whether a pending record can't be committed soon.
func (j *Journal) refusesRecords() bool {
	return j.fenced || j.handover || j.failures > 0 || len(j.sealed) >= maxSegments || len(j.head.Records) >= maxBatch
}

// settle takes the outcome of a run. It is written with the next booking, or
// after settleWait.
func (j *Journal) settle(now time.Time, record Record) {
	if j.fenced || j.handover {
		return
	}
	if j.add(record) {
		j.dirtyBy = earliest(j.dirtyBy, now.Add(settleWait))
	}
	if held, found := j.unsettled[record.Run.Key]; found && held.Run.Number <= record.Run.Number {
		delete(j.unsettled, record.Run.Key)
	}
}

// add puts a record into the head, in place of what it overrides there. Outcomes
// above maxBatch are left out, which leaves their keys pending or absent in the
// store; those in doubt have twice the room. A later run's record is never
// replaced by that of an earlier one, as goroutines may cross.
func (j *Journal) add(record Record) bool {
	if j.index == nil {
		j.index = make(map[KeyID]int)
	}
	i, found := j.index[record.Run.Key]
	limit := maxBatch
	if record.State == RecordUnknown {
		limit *= 2
	}
	switch {
	case !found && len(j.head.Records) >= limit:
		return false
	case !found:
		j.index[record.Run.Key] = len(j.head.Records)
		j.head.Records = append(j.head.Records, record)
	case record.overrides(j.head.Records[i]):
		j.head.Records[i] = record
	default:
		return false
	}
	j.changes = append(j.changes, record)
	if record.State == RecordPending {
		if j.unsettled == nil {
			j.unsettled = make(map[KeyID]Record)
		}
		j.unsettled[record.Run.Key] = record
	}
	return true
}

// HandOver ends the journal by a last write that names the successor and the
// digest of what it was handed. HandedOver in a later step says that it stands in
// the store; Fenced says that another router ended the home first.
func (j *Journal) HandOver(now time.Time, successor HomeID, digest Digest) JournalStep {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open(now)
	if !j.fenced && !j.handover {
		j.handover = true
		j.successor, j.digest = successor, digest
		j.dirtyBy, j.nextWrite = now, now
	}
	return j.next(now, JournalStep{Fenced: j.fenced})
}

// Tick lets time pass.
func (j *Journal) Tick(now time.Time) JournalStep {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.open(now)
	return j.next(now, JournalStep{})
}

// open starts the journal at its first event.
func (j *Journal) open(now time.Time) {
	if !j.openBy.IsZero() {
		return
	}
	j.openBy = now.Add(openWindow)
	j.head.Home = j.Self
	j.dirtyBy = now
	_, _ = rand.Read(j.head.Writer[:])
}

// next starts the call that is due, and says when the journal must be woken.
func (j *Journal) next(now time.Time, step JournalStep) JournalStep {
	switch {
	case j.fenced || j.phase != phaseIdle:
	case j.failures > 0 && now.Before(j.probeAt):
		step.Wake = j.probeAt
	case j.unsure || j.failures > 0:
		step.Commands = append(step.Commands, j.read(now))
	case len(j.waiting) == 0 && (j.dirtyBy.IsZero() || now.Before(j.dirtyBy)):
		step.Wake = j.dirtyBy
	case now.Before(j.nextWrite):
		step.Wake = j.nextWrite
	default:
		step.Commands = append(step.Commands, j.write(now))
	}
	return step
}

// write starts the write of the open segment with all records.
func (j *Journal) write(now time.Time) StoreCommand {
	j.forget(now)
	j.phase = phaseWriting
	j.nextWrite = now.Add(CommitInterval(j.homes))
	j.writing, j.waiting = j.waiting, nil
	j.dirtyBy, j.changes = time.Time{}, nil
	j.head.Write++
	// The successor is named only in a segment that exists: a segment that is made
	// late might take the place of a fence mark that was removed.
	if j.handover && j.revision != 0 && j.handoverWrite == 0 {
		j.handoverWrite = j.head.Write
		j.head.Fenced, j.head.Successor, j.head.Handover = now, j.successor, j.digest
	}
	value := j.head.Encode()
	j.closing = len(value) >= j.segmentBytes() && !j.handover
	if j.closing {
		sealing := j.head
		sealing.Sealed = true
		value = sealing.Encode()
	}
	return j.call(now, StoreCommand{Verb: StoreSwap, Name: j.head.Name(), Was: j.revision, Value: value})
}

func (j *Journal) segmentBytes() int {
	if j.SegmentBytes == 0 {
		return DefaultSegmentBytes
	}
	return j.SegmentBytes
}

// forget marks the sealed segments that are over. They are removed once the head
// that says so is written.
func (j *Journal) forget(now time.Time) {
	j.sealed = slices.DeleteFunc(j.sealed, func(s sealedSegment) bool {
		if now.Before(s.keepUntil) || j.hasUnsettled(s) {
			return false
		}
		j.head.Forgotten = later(j.head.Forgotten, s.deadline)
		j.dropping = append(j.dropping, s)
		return true
	})
}

// hasUnsettled tells whether a sealed segment holds a run that isn't over.
func (j *Journal) hasUnsettled(s sealedSegment) bool {
	return slices.ContainsFunc(s.pending, func(run Run) bool { return j.unsettled[run.Key].Run == run })
}

func (j *Journal) read(now time.Time) StoreCommand {
	j.phase = phaseReading
	return j.call(now, StoreCommand{Verb: StoreList, Name: j.head.Name()})
}

func (j *Journal) call(now time.Time, c StoreCommand) StoreCommand {
	j.commands++
	c.ID = j.commands
	c.Deadline = now.Add(storeWait)
	if c.Verb != StoreDelete {
		j.command = c.ID
	}
	return c
}

func (j *Journal) isOwn(s Segment) bool { return bytes.Equal(s.Writer[:], j.head.Writer[:]) }

// earliest returns the earlier of two times of which a may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	return earlier(a, b)
}
