package hitchclaim

import (
	"bytes"
	"crypto/rand"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultSegmentBytes is the default size at which a segment is sealed. Each
	// commit writes a whole segment, so that it limits the bytes of a commit.
	DefaultSegmentBytes = 2 << 10
	// maxCommitRecords is the maximum number of records in one commit. Even with
	// bodies of maxRecordBody bytes, a segment stays below 256 KiB.
	maxCommitRecords = 512
	// maxSealedSegments is the number of sealed segments of a home from which on new
	// records are rejected.
	maxSealedSegments = 2048
	// storeTimeout is the timeout of one request to the key-value service.
	storeTimeout = 500 * time.Millisecond
	// maxOutcomeDelay is how long the record of an outcome may wait to be written
	// together with that of a new booking.
	maxOutcomeDelay = time.Second
	// minProbeInterval and maxProbeInterval limit the time between two attempts while
	// the store is unavailable. It doubles with each attempt.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// segmentCreateWindow is how long after its first event, or after sealing a
	// segment, a journal may still create its next segment. A fence mark is kept for
	// longer, so that a home resuming from a pause can't create a segment in the place
	// of a mark that was deleted.
	segmentCreateWindow = 10 * time.Minute
)

// journalPhase is the state of a Journal: which response it waits for.
type journalPhase uint8

const (
	phaseIdle journalPhase = iota
	// phaseWriting waits for the response to a write.
	phaseWriting
	// phaseReading waits for the response to a read, which follows a conflict, a lost
	// response or a failed request.
	phaseReading
)

// JournalStep is the result of an event of a Journal.
type JournalStep struct {
	// Commands are the commands to run. Pass each response to Journal.HandleStoreResponse.
	Commands []StoreCommand
	// Committed are the runs whose records are in the store, Failed those whose
	// records may be missing there. Call Home.AuthorizeDispatch for each of them.
	Committed, Failed []Run
	// Fenced is set if another router has fenced the home, or its journal can't be
	// created any more. Call Home.Fence, and start a new home with a new incarnation.
	Fenced bool
	// HandedOver is set once the write that names the successor is committed.
	HandedOver bool
	// NextTick is when to call Tick next. Zero means that no call is needed.
	NextTick time.Time
}

// Journal is the state machine that writes the runs of one home to the key-value
// service. It batches many records into one write. The zero value with Self set is
// ready to use. Call Tick when the process starts, which creates the journal, so that
// a later fence mark goes into an existing segment. The record of every Decision must
// be passed to PutRecord, as a segment is kept until all of its runs have an outcome. The
// methods are safe for concurrent use.
//
//	step := journal.PutRecord(now, decision.Record)
//	step = journal.HandleStoreResponse(now, store.Do(ctx, step.Commands[0]))
//	step = journal.Tick(now)
type Journal struct {
	Self HomeID
	// SegmentBytes is the size in bytes at which a segment is sealed. Zero means
	// DefaultSegmentBytes.
	SegmentBytes int

	mu sync.Mutex
	// homeCount determines the commit interval.
	homeCount int
	// openSegment is the segment that is written to, with all its records, whether
	// written yet or not.
	openSegment Segment
	// recordIndex maps a key to the index of its record in openSegment.
	recordIndex map[KeyID]int
	// revision is the store revision of openSegment, 0 before its first write.
	revision uint64
	phase    journalPhase
	// pendingCommand is the ID of the command whose response is awaited, lastCommand
	// that of the last command.
	pendingCommand uint64
	lastCommand    uint64
	// isSealingWrite is set if the current write seals the segment.
	isSealingWrite bool
	// changedRecords are the records added since the last write started.
	changedRecords []Record
	// pendingRuns are the latest pending records of runs without an outcome.
	pendingRuns map[KeyID]Record
	// queuedRuns wait for the next write, writingRuns for the current one.
	queuedRuns, writingRuns []Run
	// writeBy is when unwritten changes must be written, or zero if there are none.
	writeBy time.Time
	// nextWriteAt is the earliest time of the next write.
	nextWriteAt time.Time
	// createBy is the deadline for the first write of openSegment.
	createBy time.Time
	// failures is the number of failed requests since the last successful one.
	failures    int
	nextProbeAt time.Time
	// needsRead is set if the segment must be read before the next write.
	needsRead     bool
	fenced        bool
	isHandingOver bool
	// handoverWrite is the WriteSequence of the first write that names the successor,
	// or 0 before it.
	handoverWrite  uint64
	successor      HomeID
	handoverDigest Digest
	sealedSegments []sealedSegment
	// segmentsToDelete are sealed segments to delete after the next write.
	segmentsToDelete []sealedSegment
}

// sealedSegment describes a segment that the journal has sealed.
type sealedSegment struct {
	number, revision uint64
	keepUntil        time.Time
	// latestDeadline is the latest deadline of its records.
	latestDeadline time.Time
	// pendingRuns are the runs that had no outcome when the segment was sealed.
	pendingRuns []Run
}

// SetHomes sets the number of homes in the fleet, which determines the minimum time
// between two writes, see CommitInterval.
func (j *Journal) SetHomes(n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.homeCount = n
}

// PutRecord adds a record to the journal. The run of a pending record is reported in
// Committed or Failed, of this step or a later one. While the store is unavailable it
// fails at once.
func (j *Journal) PutRecord(now time.Time, record Record) (step JournalStep) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.start(now)
	if record.State != RecordPending {
		j.recordOutcome(now, record)
		return j.nextStep(now, step)
	}
	if !j.rejectsPendingRecords() {
		j.addRecord(record)
		j.queuedRuns = append(j.queuedRuns, record.Run)
		return j.nextStep(now, step)
	}
	step.Failed = append(step.Failed, record.Run)
	step.Fenced = j.fenced && !j.isHandingOver
	if record.Policy == JournalBestEffort && !j.fenced && !j.isHandingOver {
		// The run is dispatched without a committed record. The record is written
		// once the store is available.
		j.addRecord(record)
		j.writeBy = earlierNonZero(j.writeBy, now)
	}
	return j.nextStep(now, step)
}

// rejectsPendingRecords reports whether a pending record can't be committed soon.
func (j *Journal) rejectsPendingRecords() bool {
	return j.fenced || j.isHandingOver || j.failures > 0 || len(j.sealedSegments) >= maxSealedSegments || len(j.openSegment.Records) >= maxCommitRecords
}

// recordOutcome adds the outcome of a run. It is written together with the next
// booking, or after maxOutcomeDelay.
func (j *Journal) recordOutcome(now time.Time, record Record) {
	if j.fenced || j.isHandingOver {
		return
	}
	if j.addRecord(record) {
		j.writeBy = earlierNonZero(j.writeBy, now.Add(maxOutcomeDelay))
	}
	if pending, found := j.pendingRuns[record.Run.Key]; found && pending.Run.Number <= record.Run.Number {
		delete(j.pendingRuns, record.Run.Key)
	}
}

// addRecord adds a record to openSegment, or replaces the record that it supersedes.
// It returns false if the segment is unchanged. Outcomes beyond maxCommitRecords are
// dropped, so that their keys stay pending or absent in the store; for outcomes in
// doubt the limit is twice as high. The record of a run is never replaced by that of an
// earlier run, as concurrent calls may arrive out of order.
func (j *Journal) addRecord(record Record) bool {
	if j.recordIndex == nil {
		j.recordIndex = make(map[KeyID]int)
	}
	i, found := j.recordIndex[record.Run.Key]
	limit := maxCommitRecords
	if record.State == RecordUnknown {
		limit *= 2
	}
	switch {
	case !found && len(j.openSegment.Records) >= limit:
		return false
	case !found:
		j.recordIndex[record.Run.Key] = len(j.openSegment.Records)
		j.openSegment.Records = append(j.openSegment.Records, record)
	case record.supersedes(j.openSegment.Records[i]):
		j.openSegment.Records[i] = record
	default:
		return false
	}
	j.changedRecords = append(j.changedRecords, record)
	if record.State == RecordPending {
		if j.pendingRuns == nil {
			j.pendingRuns = make(map[KeyID]Record)
		}
		j.pendingRuns[record.Run.Key] = record
	}
	return true
}

// WriteHandover ends the journal with a last write that names the successor and contains
// the digest of the handover. A later step has HandedOver set once it is committed, or
// Fenced if another router fenced the home first.
func (j *Journal) WriteHandover(now time.Time, successor HomeID, digest Digest) JournalStep {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.start(now)
	if !j.fenced && !j.isHandingOver {
		j.isHandingOver = true
		j.successor, j.handoverDigest = successor, digest
		j.writeBy, j.nextWriteAt = now, now
	}
	return j.nextStep(now, JournalStep{Fenced: j.fenced})
}

// Tick starts the store request that is due, if any. Call it at JournalStep.NextTick.
func (j *Journal) Tick(now time.Time) JournalStep {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.start(now)
	return j.nextStep(now, JournalStep{})
}

// start initialises the journal at its first event.
func (j *Journal) start(now time.Time) {
	if !j.createBy.IsZero() {
		return
	}
	j.createBy = now.Add(segmentCreateWindow)
	j.openSegment.Home = j.Self
	j.writeBy = now
	_, _ = rand.Read(j.openSegment.WriterID[:])
}

// nextStep adds the store request that is due to the step, or the time of the next
// call of Tick.
func (j *Journal) nextStep(now time.Time, step JournalStep) JournalStep {
	switch {
	case j.fenced || j.phase != phaseIdle:
	case j.failures > 0 && now.Before(j.nextProbeAt):
		step.NextTick = j.nextProbeAt
	case j.needsRead || j.failures > 0:
		step.Commands = append(step.Commands, j.startRead(now))
	case len(j.queuedRuns) == 0 && (j.writeBy.IsZero() || now.Before(j.writeBy)):
		step.NextTick = j.writeBy
	case now.Before(j.nextWriteAt):
		step.NextTick = j.nextWriteAt
	default:
		step.Commands = append(step.Commands, j.startWrite(now))
	}
	return step
}

// startWrite returns the command that writes openSegment with all its records.
func (j *Journal) startWrite(now time.Time) StoreCommand {
	j.expireSegments(now)
	j.phase = phaseWriting
	j.nextWriteAt = now.Add(CommitInterval(j.homeCount))
	j.writingRuns, j.queuedRuns = j.queuedRuns, nil
	j.writeBy, j.changedRecords = time.Time{}, nil
	j.openSegment.WriteSequence++
	// The successor is named only in a segment that exists already: a segment that is
	// created late might take the place of a fence mark that was deleted.
	if j.isHandingOver && j.revision != 0 && j.handoverWrite == 0 {
		j.handoverWrite = j.openSegment.WriteSequence
		j.openSegment.FencedAt, j.openSegment.Successor, j.openSegment.HandoverDigest = now, j.successor, j.handoverDigest
	}
	value := j.openSegment.Encode()
	j.isSealingWrite = len(value) >= j.segmentBytes() && !j.isHandingOver
	if j.isSealingWrite {
		sealedCopy := j.openSegment
		sealedCopy.Sealed = true
		value = sealedCopy.Encode()
	}
	return j.newCommand(now, StoreCommand{Op: StoreSwap, Name: j.openSegment.Name(), ExpectedRevision: j.revision, Value: value})
}

func (j *Journal) segmentBytes() int {
	if j.SegmentBytes == 0 {
		return DefaultSegmentBytes
	}
	return j.SegmentBytes
}

// expireSegments moves the sealed segments that need not be kept any more to
// segmentsToDelete. They are deleted once openSegment with the raised RemovedUpTo is
// written.
func (j *Journal) expireSegments(now time.Time) {
	j.sealedSegments = slices.DeleteFunc(j.sealedSegments, func(s sealedSegment) bool {
		if now.Before(s.keepUntil) || j.hasPendingRun(s) {
			return false
		}
		j.openSegment.RemovedUpTo = later(j.openSegment.RemovedUpTo, s.latestDeadline)
		j.segmentsToDelete = append(j.segmentsToDelete, s)
		return true
	})
}

// hasPendingRun reports whether a sealed segment contains a run without an outcome.
func (j *Journal) hasPendingRun(s sealedSegment) bool {
	return slices.ContainsFunc(s.pendingRuns, func(run Run) bool { return j.pendingRuns[run.Key].Run == run })
}

func (j *Journal) startRead(now time.Time) StoreCommand {
	j.phase = phaseReading
	return j.newCommand(now, StoreCommand{Op: StoreList, Name: j.openSegment.Name()})
}

func (j *Journal) newCommand(now time.Time, c StoreCommand) StoreCommand {
	j.lastCommand++
	c.ID = j.lastCommand
	c.Deadline = now.Add(storeTimeout)
	if c.Op != StoreDelete {
		j.pendingCommand = c.ID
	}
	return c
}

func (j *Journal) isOwnSegment(s Segment) bool {
	return bytes.Equal(s.WriterID[:], j.openSegment.WriterID[:])
}

// earlierNonZero returns the earlier of two times, or b if a is zero.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() {
		return b
	}
	return earlier(a, b)
}
