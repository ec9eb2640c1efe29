package hitchclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rig runs a journal against a store, one command at a time.
type rig struct {
	journal *Journal
	store   *fakeStore
	// fate says how each write ends. Nil means that the store obeys.
	fate  func(c StoreCommand) StoreAnswer
	total JournalStep
	late  []StoreCommand
}

func newRig(store *fakeStore, self HomeID) *rig {
	r := &rig{journal: &Journal{Self: self}, store: store}
	r.take(start, r.journal.Tick(start))
	return r
}

func (r *rig) take(now time.Time, step JournalStep) {
	for {
		r.total.Committed = append(r.total.Committed, step.Committed...)
		r.total.Failed = append(r.total.Failed, step.Failed...)
		r.total.Fenced = r.total.Fenced || step.Fenced
		r.total.HandedOver = r.total.HandedOver || step.HandedOver
		if len(step.Commands) == 0 {
			return
		}
		next := JournalStep{}
		for _, c := range step.Commands {
			answer := r.answer(c)
			more := r.journal.Stored(now, answer)
			next.Commands = append(next.Commands, more.Commands...)
			next.Committed = append(next.Committed, more.Committed...)
			next.Failed = append(next.Failed, more.Failed...)
			next.Fenced = next.Fenced || more.Fenced
			next.HandedOver = next.HandedOver || more.HandedOver
		}
		step = next
	}
}

func (r *rig) answer(c StoreCommand) StoreAnswer {
	if r.fate != nil && c.Verb == StoreSwap {
		fate := r.fate
		r.fate = nil
		return fate(c)
	}
	return r.store.apply(c)
}

// book puts a pending record at a time when a write is due.
func (r *rig) book(at time.Time, nonce byte, number uint64) Record {
	record := Record{
		Run: Run{Key: KeyID{nonce}, Number: number}, Organisation: "aquarium", Route: "booking", Deadline: start.Add(KeyLife),
	}
	r.take(at, r.journal.Put(at, record))
	return record
}

func (r *rig) ledger(t *testing.T) Ledger {
	ledger, err := NewLedger(r.journal.Self, r.store.list(homePrefix(r.journal.Self)))
	qt.Assert(t, err, qt.IsNil)
	return ledger
}

func (r *rig) fence(t *testing.T, at time.Time) Ledger {
	f := Fencing{Home: r.journal.Self}
	step := f.Start(at)
	for len(step.Commands) > 0 {
		step = f.Stored(at, r.store.apply(step.Commands[0]))
	}
	qt.Assert(t, step.Done, qt.IsTrue)
	return step.Ledger
}

func TestStoreFaults(t *testing.T) {
	at := start.Add(time.Second)
	tests := map[string]struct {
		fate      func(r *rig) func(c StoreCommand) StoreAnswer
		committed int
		failed    int
		fenced    bool
	}{
		"none": {nil, 1, 0, false},
		"answer lost after the write": {func(r *rig) func(c StoreCommand) StoreAnswer {
			return func(c StoreCommand) StoreAnswer {
				r.store.apply(c)
				return StoreAnswer{ID: c.ID, Status: StoreLost}
			}
		}, 1, 0, false},
		"answer and write lost": {func(r *rig) func(c StoreCommand) StoreAnswer {
			return func(c StoreCommand) StoreAnswer { return StoreAnswer{ID: c.ID, Status: StoreLost} }
		}, 0, 0, false},
		"store out": {func(r *rig) func(c StoreCommand) StoreAnswer {
			return func(c StoreCommand) StoreAnswer { return StoreAnswer{ID: c.ID, Status: StoreFailed} }
		}, 0, 1, false},
		"fenced before the write": {func(r *rig) func(c StoreCommand) StoreAnswer {
			return func(c StoreCommand) StoreAnswer {
				fencing := Fencing{Home: r.journal.Self}
				step := fencing.Start(start)
				for len(step.Commands) > 0 {
					step = fencing.Stored(start, r.store.apply(step.Commands[0]))
				}
				return r.store.apply(c)
			}
		}, 0, 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(newFakeStore(), homeA)
			if test.fate != nil {
				r.fate = test.fate(r)
			}
			record := r.book(at, 1, 1)
			qt.Assert(t, r.total.Committed, qt.HasLen, test.committed)
			qt.Assert(t, r.total.Failed, qt.HasLen, test.failed)
			qt.Assert(t, r.total.Fenced, qt.Equals, test.fenced)
			_, found := r.ledger(t).Record(record.Run.Key)
			qt.Assert(t, found, qt.Equals, test.committed == 1)
			// A write that was lost is made again, unless the home is fenced.
			for i := range 4 {
				now := at.Add(time.Duration(i+1) * time.Second)
				r.take(now, r.journal.Tick(now))
			}
			_, found = r.ledger(t).Record(record.Run.Key)
			qt.Assert(t, found, qt.Equals, !test.fenced)
		})
	}
}

func TestStoreOutRefusesAtOnce(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	r.fate = func(c StoreCommand) StoreAnswer { return StoreAnswer{ID: c.ID, Status: StoreFailed} }
	r.book(start.Add(time.Second), 1, 1)
	step := r.journal.Put(start.Add(time.Second), Record{Run: Run{Number: 2}})
	qt.Assert(t, step.Failed, qt.HasLen, 1)
	qt.Assert(t, step.Commands, qt.HasLen, 0)
}

func TestOutcomeOfAnEarlierRunComesLate(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	first := r.book(start.Add(time.Second), 1, 1)
	second := r.book(start.Add(2*time.Second), 1, 2)
	r.take(start, r.journal.Put(start.Add(3*time.Second), first.WithState(RecordNotRun)))
	r.take(start, r.journal.Tick(start.Add(5*time.Second)))
	held, _ := r.fence(t, start).Record(first.Run.Key)
	qt.Assert(t, held, qt.DeepEquals, second)
}

// sealing makes the next write seal the segment.
func (r *rig) sealing() { r.journal.SegmentBytes = 1 }

func TestRecordsAddedWhileSealingMoveOn(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	r.sealing()
	at := start.Add(time.Second)
	r.fate = func(c StoreCommand) StoreAnswer {
		r.journal.Put(at, Record{Run: Run{Key: KeyID{2}, Number: 2}})
		return r.store.apply(c)
	}
	r.book(at, 1, 1)
	r.take(at, r.journal.Tick(at.Add(time.Second)))
	qt.Assert(t, r.total.Committed, qt.HasLen, 2)
	for _, id := range []KeyID{{1}, {2}} {
		_, found := r.ledger(t).Record(id)
		qt.Assert(t, found, qt.IsTrue)
	}
}

func TestSealingWriteThatLandsLateIsNeverWrittenOver(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	r.sealing()
	at := start.Add(time.Second)
	r.fate = func(c StoreCommand) StoreAnswer {
		r.late = append(r.late, c)
		return StoreAnswer{ID: c.ID, Status: StoreLost}
	}
	r.book(at, 1, 1)
	r.store.apply(r.late[0])
	fenced := r.fence(t, at)
	qt.Assert(t, fenced.segments, qt.HasLen, 2)
	r.book(at.Add(time.Second), 2, 2)
	r.take(at, r.journal.Tick(at.Add(time.Minute)))
	qt.Assert(t, r.total.Committed, qt.HasLen, 0)
	qt.Assert(t, r.total.Fenced, qt.IsTrue)
	qt.Assert(t, r.ledger(t).revisions, qt.DeepEquals, fenced.revisions)
}

func TestHomePausedPastTheFenceLife(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	r.sealing()
	r.book(start.Add(time.Second), 1, 1)
	r.fence(t, start)
	r.store.values = make(map[string]Stored) // as by Ledger.Remove
	record := r.book(start.Add(2*time.Hour), 2, 2)
	qt.Assert(t, r.total.Fenced, qt.IsTrue)
	qt.Assert(t, r.total.Committed, qt.Not(qt.Contains), record.Run)
}

func TestSegmentsAreRemovedOnceTheirRunsAreOver(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	r.sealing()
	record := r.book(start.Add(time.Second), 1, 1)
	r.journal.SegmentBytes = 0
	r.take(start, r.journal.Tick(start.Add(3*time.Second)))
	over := start.Add(KeyLife + Retention)
	r.book(over, 2, 2)
	r.book(over.Add(time.Second), 3, 3)
	_, found := r.ledger(t).Record(record.Run.Key)
	qt.Assert(t, found, qt.IsTrue, qt.Commentf("the run has no outcome yet"))
	r.take(over, r.journal.Put(over.Add(2*time.Second), record.WithResult(ticket())))
	r.take(over, r.journal.Tick(over.Add(4*time.Second)))
	r.take(over, r.journal.Tick(over.Add(6*time.Second)))
	ledger := r.ledger(t)
	qt.Assert(t, ledger.segments[0].Number, qt.Not(qt.Equals), uint64(0))
	qt.Assert(t, ledger.head().Forgotten, qt.Equals, record.Deadline)
}
