package hitchclaim

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

func TestDetermineOutcome(t *testing.T) {
	required, bestEffort := newCall(t, 0, JournalRequired).Key, newCall(t, 0, JournalBestEffort).Key
	requiredRecord := Record{Run: Run{Key: required.ID(), Number: 1}, Deadline: required.Deadline}
	bestEffortRecord := Record{Run: Run{Key: bestEffort.ID(), Number: 1}, Deadline: bestEffort.Deadline}
	fenced := Segment{Home: homeA, FencedAt: start}
	tests := map[string]struct {
		key     Key
		segment Segment
		records []Record
		at      time.Time
		want    hitchoutcome.Outcome
	}{
		"not fenced":                         {key: required, segment: Segment{Home: homeA}, want: hitchoutcome.Unknown},
		"another home":                       {key: required, segment: Segment{Home: HomeID{Instance: "b"}, FencedAt: start}, want: hitchoutcome.Unknown},
		"absent":                             {key: required, segment: fenced, want: hitchoutcome.NotRun},
		"absent, best effort":                {key: bestEffort, segment: fenced, want: hitchoutcome.Unknown},
		"absent, may have been deleted":      {key: required, segment: fenced, at: start.Add(KeyTTL + Retention), want: hitchoutcome.Unknown},
		"absent, deadline up to RemovedUpTo": {key: required, segment: Segment{Home: homeA, FencedAt: start, RemovedUpTo: required.Deadline}, want: hitchoutcome.Unknown},
		"pending":                            {key: required, segment: fenced, records: []Record{requiredRecord}, want: hitchoutcome.Unknown},
		"in doubt":                           {key: required, segment: fenced, records: []Record{requiredRecord.WithState(RecordUnknown)}, want: hitchoutcome.Unknown},
		"ran":                                {key: required, segment: fenced, records: []Record{requiredRecord.WithResult(ticketResult())}, want: hitchoutcome.Ran},
		"not run":                            {key: required, segment: fenced, records: []Record{requiredRecord.WithState(RecordNotRun)}, want: hitchoutcome.NotRun},
		"not run, best effort":               {key: bestEffort, segment: fenced, records: []Record{bestEffortRecord.WithState(RecordNotRun)}, want: hitchoutcome.Unknown},
		"retired, best effort":               {key: bestEffort, segment: fenced, records: []Record{bestEffortRecord.WithState(RecordRetired)}, want: hitchoutcome.NotRun},
		"second run pending after proof":     {key: required, segment: fenced, records: []Record{requiredRecord.WithState(RecordNotRun), {Run: Run{Key: required.ID(), Number: 2}}}, want: hitchoutcome.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.segment.Records = test.records
			snapshot, err := NewJournalSnapshot(test.segment.Home, []StoredValue{{Name: test.segment.Name(), Revision: 1, Value: test.segment.Encode()}})
			qt.Assert(t, err, qt.IsNil)
			verdict := DetermineOutcome(later(start, test.at), test.key, snapshot)
			qt.Assert(t, verdict.Outcome, qt.Equals, test.want)
			qt.Assert(t, verdict.Refusal(start).Outcome, qt.Equals, test.want)
			result, ok := verdict.Replay()
			qt.Assert(t, ok, qt.Equals, test.want == hitchoutcome.Ran)
			qt.Assert(t, ok && string(result.Body) != "ticket 17", qt.IsFalse)
		})
	}
}

func TestConcurrentFencingsAgree(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	first, second := Fencing{Home: homeA}, Fencing{Home: homeA}
	a, b := first.Start(start), second.Start(start)
	for !a.Done || !b.Done {
		if len(a.Commands) > 0 {
			a = first.HandleStoreResponse(start, h.store.apply(a.Commands[0]))
		}
		if len(b.Commands) > 0 {
			b = second.HandleStoreResponse(start, h.store.apply(b.Commands[0]))
		}
	}
	qt.Assert(t, a.Journal.revisions, qt.DeepEquals, b.Journal.revisions)
}

func TestFencingFailsWhileStoreIsUnavailable(t *testing.T) {
	f := Fencing{Home: homeA}
	step := f.Start(start)
	step = f.HandleStoreResponse(start, StoreResponse{ID: step.Commands[0].ID, Status: StoreUnknown})
	qt.Assert(t, step.Failed, qt.IsTrue)
}

func TestFenceAndHandOverRace(t *testing.T) {
	tests := map[string]struct {
		fence      func(h *journalHarness)
		handedOver bool
	}{
		"handover first": {func(*journalHarness) {}, true},
		"fence first": {func(h *journalHarness) {
			f := Fencing{Home: homeA}
			for step := f.Start(start); len(step.Commands) > 0; {
				step = f.HandleStoreResponse(start, h.store.apply(step.Commands[0]))
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leavingHome, successor := &Home{Self: homeA}, &Home{Self: HomeID{Instance: "router-b"}}
			done, doubt, unused := newCall(t, 0, JournalRequired), newCall(t, 50, JournalRequired), newCall(t, 100, JournalRequired)
			leavingHome.FinishRun(start, dispatchCall(t, leavingHome, done), ticketResult())
			dispatchCall(t, leavingHome, doubt)
			leavingHome.RefuseNewKeys()
			handover := leavingHome.ExportHandover()
			h := newJournalHarness(newFakeStore(), homeA)
			test.fence(h)
			h.applyStep(start, h.journal.WriteHandover(start, successor.Self, handover.Digest()))
			qt.Assert(t, h.total.HandedOver, qt.Equals, test.handedOver)
			qt.Assert(t, h.total.Fenced, qt.Equals, !test.handedOver)
			sent, err := DecodeHandover(handover.Encode())
			qt.Assert(t, err, qt.IsNil)
			err = successor.AdoptKeys(sent, h.snapshot(t))
			if !test.handedOver {
				qt.Assert(t, errors.Is(err, ErrNotSuccessor), qt.IsTrue)
				qt.Assert(t, successor.BeginCall(start, unused).Action, qt.Equals, ActionForward)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, successor.BeginCall(start, done).Result, qt.DeepEquals, ticketResult())
			qt.Assert(t, successor.BeginCall(start, doubt).Refusal.Outcome, qt.Equals, hitchoutcome.Unknown)
			qt.Assert(t, successor.BeginCall(start, unused).Action, qt.Equals, ActionJournal)
			qt.Assert(t, DetermineOutcome(start, unused.Key, h.snapshot(t)).Successor, qt.Equals, successor.Self)
		})
	}
}

func TestHandOverCreatesTheSegmentFirst(t *testing.T) {
	h := &journalHarness{journal: &Journal{Self: homeA}, store: newFakeStore()}
	h.applyStep(start, h.journal.WriteHandover(start, HomeID{Instance: "router-b"}, Digest{1}))
	qt.Assert(t, h.total.HandedOver, qt.IsTrue)
	qt.Assert(t, h.store.writes, qt.Equals, 2)
}

func TestOperatorResolvesBookingInDoubt(t *testing.T) {
	h := newJournalHarness(newFakeStore(), homeA)
	record := h.putPending(start.Add(time.Second), 1, 1)
	_, err := h.snapshot(t).ResolveCommand(start, record.WithResult(ticketResult()))
	qt.Assert(t, errors.Is(err, ErrNotFenced), qt.IsTrue)
	snapshot := h.fenceHome(t, start)
	doubts := snapshot.Doubts(start)
	qt.Assert(t, doubts, qt.HasLen, 1)
	var tooEarly *TooEarlyError
	_, err = doubts[0].Resolve(start, Resolution{Outcome: hitchoutcome.NotRun})
	qt.Assert(t, errors.As(err, &tooEarly), qt.IsTrue)
	resolved, err := doubts[0].Resolve(start, Resolution{Outcome: hitchoutcome.Ran, Status: 201})
	qt.Assert(t, err, qt.IsNil)
	command, err := snapshot.ResolveCommand(start, resolved)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h.store.apply(command).Status, qt.Equals, StoreDone)
	qt.Assert(t, h.store.apply(command).Status, qt.Equals, StoreConflict, qt.Commentf("a second operator"))
	qt.Assert(t, h.snapshot(t).Doubts(start), qt.HasLen, 0)
	qt.Assert(t, h.snapshot(t).RemoveCommands(start), qt.HasLen, 0)
	qt.Assert(t, h.snapshot(t).RemoveCommands(start.Add(fenceMarkTTL)), qt.HasLen, 1)
	snapshots, err := DecodeJournals(h.store.list(JournalPrefix))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snapshots, qt.HasLen, 1)
}
