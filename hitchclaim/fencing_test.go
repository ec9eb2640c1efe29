package hitchclaim

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

func TestJudge(t *testing.T) {
	required, bestEffort := callOf(t, 0, JournalRequired).Key, callOf(t, 0, JournalBestEffort).Key
	record := Record{Run: Run{Key: required.ID(), Number: 1}, Deadline: required.Deadline}
	loose := Record{Run: Run{Key: bestEffort.ID(), Number: 1}, Deadline: bestEffort.Deadline}
	fenced := Segment{Home: homeA, Fenced: start}
	tests := map[string]struct {
		key     Key
		segment Segment
		records []Record
		at      time.Time
		want    hitchoutcome.Outcome
	}{
		"not fenced":                     {key: required, segment: Segment{Home: homeA}, want: hitchoutcome.Unknown},
		"another home":                   {key: required, segment: Segment{Home: HomeID{Instance: "b"}, Fenced: start}, want: hitchoutcome.Unknown},
		"absent":                         {key: required, segment: fenced, want: hitchoutcome.NotRun},
		"absent, best effort":            {key: bestEffort, segment: fenced, want: hitchoutcome.Unknown},
		"absent, perhaps removed":        {key: required, segment: fenced, at: start.Add(KeyLife + Retention), want: hitchoutcome.Unknown},
		"absent, forgotten":              {key: required, segment: Segment{Home: homeA, Fenced: start, Forgotten: required.Deadline}, want: hitchoutcome.Unknown},
		"pending":                        {key: required, segment: fenced, records: []Record{record}, want: hitchoutcome.Unknown},
		"in doubt":                       {key: required, segment: fenced, records: []Record{record.WithState(RecordUnknown)}, want: hitchoutcome.Unknown},
		"ran":                            {key: required, segment: fenced, records: []Record{record.WithResult(ticket())}, want: hitchoutcome.Ran},
		"not run":                        {key: required, segment: fenced, records: []Record{record.WithState(RecordNotRun)}, want: hitchoutcome.NotRun},
		"not run, best effort":           {key: bestEffort, segment: fenced, records: []Record{loose.WithState(RecordNotRun)}, want: hitchoutcome.Unknown},
		"retired, best effort":           {key: bestEffort, segment: fenced, records: []Record{loose.WithState(RecordRetired)}, want: hitchoutcome.NotRun},
		"second run pending after proof": {key: required, segment: fenced, records: []Record{record.WithState(RecordNotRun), {Run: Run{Key: required.ID(), Number: 2}}}, want: hitchoutcome.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.segment.Records = test.records
			ledger, err := NewLedger(test.segment.Home, []Stored{{Name: test.segment.Name(), Revision: 1, Value: test.segment.Encode()}})
			qt.Assert(t, err, qt.IsNil)
			verdict := Judge(later(start, test.at), test.key, ledger)
			qt.Assert(t, verdict.Outcome, qt.Equals, test.want)
			qt.Assert(t, verdict.Refusal(start).Outcome, qt.Equals, test.want)
			result, ok := verdict.Replay()
			qt.Assert(t, ok, qt.Equals, test.want == hitchoutcome.Ran)
			qt.Assert(t, ok && string(result.Body) != "ticket 17", qt.IsFalse)
		})
	}
}

func TestTwoFencersAgree(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	first, second := Fencing{Home: homeA}, Fencing{Home: homeA}
	a, b := first.Start(start), second.Start(start)
	for !a.Done || !b.Done {
		if len(a.Commands) > 0 {
			a = first.Stored(start, r.store.apply(a.Commands[0]))
		}
		if len(b.Commands) > 0 {
			b = second.Stored(start, r.store.apply(b.Commands[0]))
		}
	}
	qt.Assert(t, a.Ledger.revisions, qt.DeepEquals, b.Ledger.revisions)
}

func TestFencingFailsWithTheStore(t *testing.T) {
	f := Fencing{Home: homeA}
	step := f.Start(start)
	step = f.Stored(start, StoreAnswer{ID: step.Commands[0].ID, Status: StoreLost})
	qt.Assert(t, step.Failed, qt.IsTrue)
}

func TestFenceAndHandOverRace(t *testing.T) {
	tests := map[string]struct {
		fence      func(r *rig)
		handedOver bool
	}{
		"handover first": {func(*rig) {}, true},
		"fence first": {func(r *rig) {
			f := Fencing{Home: homeA}
			for step := f.Start(start); len(step.Commands) > 0; {
				step = f.Stored(start, r.store.apply(step.Commands[0]))
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			old, heir := &Home{Self: homeA}, &Home{Self: HomeID{Instance: "router-b"}}
			done, doubt, unused := callOf(t, 0, JournalRequired), callOf(t, 50, JournalRequired), callOf(t, 100, JournalRequired)
			old.Finish(start, dispatched(t, old, done), ticket())
			dispatched(t, old, doubt)
			old.Close()
			handover := old.HandOver()
			r := newRig(newFakeStore(), homeA)
			test.fence(r)
			r.take(start, r.journal.HandOver(start, heir.Self, handover.Digest()))
			qt.Assert(t, r.total.HandedOver, qt.Equals, test.handedOver)
			qt.Assert(t, r.total.Fenced, qt.Equals, !test.handedOver)
			sent, err := DecodeHandover(handover.Encode())
			qt.Assert(t, err, qt.IsNil)
			err = heir.Adopt(sent, r.ledger(t))
			if !test.handedOver {
				qt.Assert(t, errors.Is(err, ErrNotEntitled), qt.IsTrue)
				qt.Assert(t, heir.Begin(start, unused).Action, qt.Equals, ActionForward)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, heir.Begin(start, done).Result, qt.DeepEquals, ticket())
			qt.Assert(t, heir.Begin(start, doubt).Refusal.Outcome, qt.Equals, hitchoutcome.Unknown)
			qt.Assert(t, heir.Begin(start, unused).Action, qt.Equals, ActionJournal)
			qt.Assert(t, Judge(start, unused.Key, r.ledger(t)).Ask, qt.Equals, heir.Self)
		})
	}
}

func TestHandOverOnlyInAnOpenSegment(t *testing.T) {
	r := &rig{journal: &Journal{Self: homeA}, store: newFakeStore()}
	r.take(start, r.journal.HandOver(start, HomeID{Instance: "router-b"}, Digest{1}))
	qt.Assert(t, r.total.HandedOver, qt.IsTrue)
	qt.Assert(t, r.store.writes, qt.Equals, 2)
}

func TestOperatorSettlesALostBooking(t *testing.T) {
	r := newRig(newFakeStore(), homeA)
	record := r.book(start.Add(time.Second), 1, 1)
	_, err := r.ledger(t).Settle(start, record.WithResult(ticket()))
	qt.Assert(t, errors.Is(err, ErrNotFenced), qt.IsTrue)
	ledger := r.fence(t, start)
	doubts := ledger.Doubts(start)
	qt.Assert(t, doubts, qt.HasLen, 1)
	var early *TooEarlyError
	_, err = doubts[0].Resolve(start, Truth{Outcome: hitchoutcome.NotRun})
	qt.Assert(t, errors.As(err, &early), qt.IsTrue)
	settled, err := doubts[0].Resolve(start, Truth{Outcome: hitchoutcome.Ran, Status: 201})
	qt.Assert(t, err, qt.IsNil)
	command, err := ledger.Settle(start, settled)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.store.apply(command).Status, qt.Equals, StoreDone)
	qt.Assert(t, r.store.apply(command).Status, qt.Equals, StoreConflict, qt.Commentf("a second operator"))
	qt.Assert(t, r.ledger(t).Doubts(start), qt.HasLen, 0)
	qt.Assert(t, r.ledger(t).Remove(start), qt.HasLen, 0)
	qt.Assert(t, r.ledger(t).Remove(start.Add(fenceLife)), qt.HasLen, 1)
	ledgers, err := ReadLedgers(r.store.list(JournalPrefix))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ledgers, qt.HasLen, 1)
}
