package hitchclaim

import (
	"crypto/rand"
	"time"
)

// maxFencingTries bounds the rounds of reading and writing of one fencing.
const maxFencingTries = 8

// fencingPhase is what a fencing waits for.
type fencingPhase uint8

const (
	fencingReading fencingPhase = iota
	fencingWriting
	fencingDone
)

// FencingStep is what follows from an answer of the store.
type FencingStep struct {
	// Commands go to the key-value service; each answer comes back by Stored.
	Commands []StoreCommand
	// Ledger is the home's journal, fenced, once Done is set.
	Ledger Ledger
	Done   bool
	// Failed is set if the store is out. What became of the home's keys is Unknown.
	Failed bool
}

// Fencing ends a home that seems lost, by a mark in its journal. After it the home
// can't commit a record, so that it dispatches no call of JournalRequired. To
// fence a home that lives does no harm but to its unused keys. It is a value of one
// goroutine.
//
//	fencing := hitchclaim.Fencing{Home: key.Home}
//	step := fencing.Start(now)
//	for len(step.Commands) > 0 {
//		step = fencing.Stored(now, store.Do(ctx, step.Commands[0]))
//	}
type Fencing struct {
	Home HomeID

	phase   fencingPhase
	command uint64
	tries   int
	writer  [16]byte
}

// Start begins with reading the journal.
func (f *Fencing) Start(now time.Time) FencingStep {
	_, _ = rand.Read(f.writer[:])
	return f.read(now)
}

// Stored takes the end of a command.
func (f *Fencing) Stored(now time.Time, a StoreAnswer) FencingStep {
	if a.ID != f.command || f.phase == fencingDone {
		return FencingStep{}
	}
	if f.phase == fencingWriting {
		// Whoever won, the journal tells.
		return f.read(now)
	}
	if a.Status != StoreDone {
		return f.fail()
	}
	ledger, err := NewLedger(f.Home, a.Values)
	if err != nil {
		return f.fail()
	}
	if ledger.IsFenced() {
		f.phase = fencingDone
		return FencingStep{Done: true, Ledger: ledger}
	}
	return f.mark(now, ledger)
}

func (f *Fencing) fail() FencingStep {
	f.phase = fencingDone
	return FencingStep{Failed: true}
}

func (f *Fencing) read(now time.Time) FencingStep {
	f.tries++
	if f.tries > maxFencingTries {
		return f.fail()
	}
	f.phase = fencingReading
	return f.call(now, StoreCommand{Verb: StoreList, Name: homePrefix(f.Home)})
}

// mark writes the fence into the open segment, or makes the segment after a sealed
// one.
func (f *Fencing) mark(now time.Time, l Ledger) FencingStep {
	f.phase = fencingWriting
	segment := l.head()
	revision := uint64(0)
	if len(l.segments) > 0 {
		revision = l.revisions[len(l.revisions)-1]
	}
	if segment.Sealed {
		segment = Segment{Home: l.Home, Number: segment.Number + 1, Forgotten: segment.Forgotten}
		revision = 0
	}
	segment.Writer = f.writer
	segment.Fenced = now
	return f.call(now, StoreCommand{Verb: StoreSwap, Name: segment.Name(), Was: revision, Value: segment.Encode()})
}

func (f *Fencing) call(now time.Time, c StoreCommand) FencingStep {
	f.command++
	c.ID = f.command
	c.Deadline = now.Add(storeWait)
	return FencingStep{Commands: []StoreCommand{c}}
}
