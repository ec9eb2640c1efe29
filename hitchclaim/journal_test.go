package hitchclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// journalHarness runs a journal against a store, one command at a time.
type journalHarness struct {
	journal *Journal
	store   *fakeStore
	// nextWriteFault replaces the store for the next write. Nil means no fault.
	nextWriteFault func(c StoreCommand) StoreResponse
	total          JournalStep
	lateCommands   []StoreCommand
}

func newJournalHarness(store *fakeStore, self HomeID) *journalHarness {
	h := &journalHarness{journal: &Journal{Self: self}, store: store}
	h.applyStep(start, h.journal.Tick(start))
	return h
}

func (h *journalHarness) applyStep(now time.Time, step JournalStep) {
	for {
		h.total.Committed = append(h.total.Committed, step.Committed...)
		h.total.Failed = append(h.total.Failed, step.Failed...)
		h.total.Fenced = h.total.Fenced || step.Fenced
		h.total.HandedOver = h.total.HandedOver || step.HandedOver
		if len(step.Commands) == 0 {
			return
		}
		next := JournalStep{}
		for _, c := range step.Commands {
			response := h.respond(c)
			result := h.journal.HandleStoreResponse(now, response)
			next.Commands = append(next.Commands, result.Commands...)
			next.Committed = append(next.Committed, result.Committed...)
			next.Failed = append(next.Failed, result.Failed...)
			next.Fenced = next.Fenced || result.Fenced
			next.HandedOver = next.HandedOver || result.HandedOver
		}
		step = next
	}
}

func (h *journalHarness) respond(c StoreCommand) StoreResponse {
	if h.nextWriteFault != nil && c.Op == StoreSwap {
		fault := h.nextWriteFault
		h.nextWriteFault = nil
		return fault(c)
	}
	return h.store.apply(c)
}

// putPending adds a pending record to the journal and runs the resulting commands.
func (h *journalHarness) putPending(at time.Time, nonce byte, number uint64) Record {
	record := Record{
		Run: Run{Key: KeyID{nonce}, Number: number}, Organisation: "aquarium", Route: "booking", Deadline: start.Add(KeyTTL),
	}
	h.applyStep(at, h.journal.PutRecord(at, record))
	return record
}

func (h *journalHarness) snapshot(t *testing.T) JournalSnapshot {
	snapshot, err := NewJournalSnapshot(h.journal.Self, h.store.list(homeJournalPrefix(h.journal.Self)))
	qt.Assert(t, err, qt.IsNil)
	return snapshot
}

func (h *journalHarness) fenceHome(t *testing.T, at time.Time) JournalSnapshot {
	f := Fencing{Home: h.journal.Self}
	step := f.Start(at)
	for len(step.Commands) > 0 {
		step = f.HandleStoreResponse(at, h.store.apply(step.Commands[0]))
	}
	qt.Assert(t, step.Done, qt.IsTrue)
	return step.Journal
}

func TestStoreFaults(t *testing.T) {
	at := start.Add(time.Second)
	tests := map[string]struct {
		fault     func(h *journalHarness) func(c StoreCommand) StoreResponse
		committed int
		failed    int
		fenced    bool
	}{
		"none": {nil, 1, 0, false},
		"answer lost after the write": {func(h *journalHarness) func(c StoreCommand) StoreResponse {
			return func(c StoreCommand) StoreResponse {
				h.store.apply(c)
				return StoreResponse{ID: c.ID, Status: StoreUnknown}
			}
		}, 1, 0, false},
		"answer and write lost": {func(h *journalHarness) func(c StoreCommand) StoreResponse {
			return func(c StoreCommand) StoreResponse { return StoreResponse{ID: c.ID, Status: StoreUnknown} }
		}, 0, 0, false},
		"store unavailable": {func(h *journalHarness) func(c StoreCommand) StoreResponse {
			return func(c StoreCommand) StoreResponse { return StoreResponse{ID: c.ID, Status: StoreFailed} }
		}, 0, 1, false},
		"fenced before the write": {func(h *journalHarness) func(c StoreCommand) StoreResponse {
			return func(c StoreCommand) StoreResponse {
				fencing := Fencing{Home: h.journal.Self}
				step := fencing.Start(start)
				for len(step.Commands) > 0 {
					step = fencing.HandleStoreResponse(start, h.store.apply(step.Commands[0]))
				}
				return h.store.apply(c)
			}
		}, 0, 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newJournalHarness(newFakeStore(), homeA)
			if test.fault != nil {
				h.nextWriteFault = test.fault(h)
			}
			record := h.putPending(at, 1, 1)
			qt.Assert(t, h.total.Committed, qt.HasLen, test.committed)
			qt.Assert(t, h.total.Failed, qt.HasLen, test.failed)
			qt.Assert(t, h.total.Fenced, qt.Equals, test.fenced)
			_, found := h.snapshot(t).Record(record.Run.Key)
			qt.Assert(t, found, qt.Equals, test.committed == 1)
			// A lost write is repeated, unless the home is fenced.
			for i := range 4 {
				now := at.Add(time.Duration(i+1) * time.Second)
				h.applyStep(now, h.journal.Tick(now))
			}
			_, found = h.snapshot(t).Record(record.Run.Key)
			qt.Assert(t, found, qt.Equals, !test.fenced)
		})
	}
}

func TestStoreOutRefusesAtOnce(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	h.nextWriteFault = func(c StoreCommand) StoreResponse { return StoreResponse{ID: c.ID, Status: StoreFailed} }
	h.putPending(start.Add(time.Second), 1, 1)
	step := h.journal.PutRecord(start.Add(time.Second), Record{Run: Run{Number: 2}})
	qt.Assert(t, step.Failed, qt.HasLen, 1)
	qt.Assert(t, step.Commands, qt.HasLen, 0)
}

func TestLateOutcomeOfEarlierRunIsIgnored(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	first := h.putPending(start.Add(time.Second), 1, 1)
	second := h.putPending(start.Add(2*time.Second), 1, 2)
	h.applyStep(start, h.journal.PutRecord(start.Add(3*time.Second), first.WithState(RecordNotRun)))
	h.applyStep(start, h.journal.Tick(start.Add(5*time.Second)))
	latest, _ := h.fenceHome(t, start).Record(first.Run.Key)
	qt.Assert(t, latest, qt.DeepEquals, second)
}

// sealEveryWrite makes each write seal its segment.
func (h *journalHarness) sealEveryWrite() { h.journal.SegmentBytes = 1 }

func TestRecordsAddedWhileSealingMoveToNextSegment(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	h.sealEveryWrite()
	at := start.Add(time.Second)
	h.nextWriteFault = func(c StoreCommand) StoreResponse {
		h.journal.PutRecord(at, Record{Run: Run{Key: KeyID{2}, Number: 2}})
		return h.store.apply(c)
	}
	h.putPending(at, 1, 1)
	h.applyStep(at, h.journal.Tick(at.Add(time.Second)))
	qt.Assert(t, h.total.Committed, qt.HasLen, 2)
	for _, id := range []KeyID{{1}, {2}} {
		_, found := h.snapshot(t).Record(id)
		qt.Assert(t, found, qt.IsTrue)
	}
}

func TestLateSealingWriteIsNeverOverwritten(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	h.sealEveryWrite()
	at := start.Add(time.Second)
	h.nextWriteFault = func(c StoreCommand) StoreResponse {
		h.lateCommands = append(h.lateCommands, c)
		return StoreResponse{ID: c.ID, Status: StoreUnknown}
	}
	h.putPending(at, 1, 1)
	h.store.apply(h.lateCommands[0])
	fenced := h.fenceHome(t, at)
	qt.Assert(t, fenced.segments, qt.HasLen, 2)
	h.putPending(at.Add(time.Second), 2, 2)
	h.applyStep(at, h.journal.Tick(at.Add(time.Minute)))
	qt.Assert(t, h.total.Committed, qt.HasLen, 0)
	qt.Assert(t, h.total.Fenced, qt.IsTrue)
	qt.Assert(t, h.snapshot(t).revisions, qt.DeepEquals, fenced.revisions)
}

func TestHomePausedPastFenceMarkTTL(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	h.sealEveryWrite()
	h.putPending(start.Add(time.Second), 1, 1)
	h.fenceHome(t, start)
	h.store.values = make(map[string]StoredValue) // as by JournalSnapshot.RemoveCommands
	record := h.putPending(start.Add(2*time.Hour), 2, 2)
	qt.Assert(t, h.total.Fenced, qt.IsTrue)
	qt.Assert(t, h.total.Committed, qt.Not(qt.Contains), record.Run)
}

func TestSegmentsAreRemovedAfterTheirRunsEnd(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	h.sealEveryWrite()
	record := h.putPending(start.Add(time.Second), 1, 1)
	h.journal.SegmentBytes = 0
	h.applyStep(start, h.journal.Tick(start.Add(3*time.Second)))
	removable := start.Add(KeyTTL + Retention)
	h.putPending(removable, 2, 2)
	h.putPending(removable.Add(time.Second), 3, 3)
	_, found := h.snapshot(t).Record(record.Run.Key)
	qt.Assert(t, found, qt.IsTrue, qt.Commentf("the run has no outcome yet"))
	h.applyStep(removable, h.journal.PutRecord(removable.Add(2*time.Second), record.WithResult(ticketResult())))
	h.applyStep(removable, h.journal.Tick(removable.Add(4*time.Second)))
	h.applyStep(removable, h.journal.Tick(removable.Add(6*time.Second)))
	snapshot := h.snapshot(t)
	qt.Assert(t, snapshot.segments[0].Number, qt.Not(qt.Equals), uint64(0))
	qt.Assert(t, snapshot.lastSegment().RemovedUpTo, qt.Equals, record.Deadline)
}
