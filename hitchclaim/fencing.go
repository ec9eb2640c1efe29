package hitchclaim

import (
	"crypto/rand"
	"time"
)

// maxFencingAttempts is the maximum number of reads of the journal in one fencing.
const maxFencingAttempts = 8

// fencingPhase is the state of a Fencing: which response it waits for.
type fencingPhase uint8

const (
	fencingReading fencingPhase = iota
	fencingWriting
	fencingDone
)

// FencingStep is the result of an event of a Fencing.
type FencingStep struct {
	// Commands are the commands to run. Pass each response to Fencing.HandleStoreResponse.
	Commands []StoreCommand
	// Journal is a snapshot of the fenced journal of the home, if Done is set.
	Journal JournalSnapshot
	Done    bool
	// Failed is set if the home couldn't be fenced, for example because the store is
	// unavailable. The outcome of the home's keys is then Unknown.
	Failed bool
}

// Fencing is the state machine that fences a home that seems to have failed: it writes
// a fence mark into the home's journal. After that the home can't commit records, so
// that it dispatches no more calls with JournalRequired. Fencing a live home is safe
// and only invalidates its unused keys. A Fencing must not be used concurrently.
//
//	fencing := hitchclaim.Fencing{Home: key.Home}
//	step := fencing.Start(now)
//	for len(step.Commands) > 0 {
//		step = fencing.HandleStoreResponse(now, store.Do(ctx, step.Commands[0]))
//	}
type Fencing struct {
	Home HomeID

	phase          fencingPhase
	pendingCommand uint64
	attempts       int
	writerID       [16]byte
}

// Start begins with reading the journal.
func (f *Fencing) Start(now time.Time) FencingStep {
	_, _ = rand.Read(f.writerID[:])
	return f.startRead(now)
}

// HandleStoreResponse handles the response to a command.
func (f *Fencing) HandleStoreResponse(now time.Time, response StoreResponse) FencingStep {
	if response.ID != f.pendingCommand || f.phase == fencingDone {
		return FencingStep{}
	}
	if f.phase == fencingWriting {
		// The journal shows which write took effect.
		return f.startRead(now)
	}
	if response.Status != StoreDone {
		return f.failStep()
	}
	snapshot, err := NewJournalSnapshot(f.Home, response.Values)
	if err != nil {
		return f.failStep()
	}
	if snapshot.IsFenced() {
		f.phase = fencingDone
		return FencingStep{Done: true, Journal: snapshot}
	}
	return f.startFenceWrite(now, snapshot)
}

func (f *Fencing) failStep() FencingStep {
	f.phase = fencingDone
	return FencingStep{Failed: true}
}

func (f *Fencing) startRead(now time.Time) FencingStep {
	f.attempts++
	if f.attempts > maxFencingAttempts {
		return f.failStep()
	}
	f.phase = fencingReading
	return f.newCommandStep(now, StoreCommand{Op: StoreList, Name: homeJournalPrefix(f.Home)})
}

// startFenceWrite writes the fence mark into the open segment. If the last segment is
// sealed, it creates the next one with the mark.
func (f *Fencing) startFenceWrite(now time.Time, snapshot JournalSnapshot) FencingStep {
	f.phase = fencingWriting
	segment := snapshot.lastSegment()
	revision := uint64(0)
	if len(snapshot.segments) > 0 {
		revision = snapshot.revisions[len(snapshot.revisions)-1]
	}
	if segment.Sealed {
		segment = Segment{Home: snapshot.Home, Number: segment.Number + 1, RemovedUpTo: segment.RemovedUpTo}
		revision = 0
	}
	segment.WriterID = f.writerID
	segment.FencedAt = now
	return f.newCommandStep(now, StoreCommand{Op: StoreSwap, Name: segment.Name(), ExpectedRevision: revision, Value: segment.Encode()})
}

func (f *Fencing) newCommandStep(now time.Time, c StoreCommand) FencingStep {
	f.pendingCommand++
	c.ID = f.pendingCommand
	c.Deadline = now.Add(storeTimeout)
	return FencingStep{Commands: []StoreCommand{c}}
}
