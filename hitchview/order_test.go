package hitchview

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

// orderedStore is a plain model of a store with a few endpoints: the state after each revision.
type orderedStore struct {
	now    hitchfleet.Revision
	states map[hitchfleet.Revision]map[hitchfleet.EndpointID]int64 // sequences
	// changes are those of the present era.
	changes  []Msg
	sequence int64
}

// change writes or removes an endpoint.
func (s *orderedStore) change(id hitchfleet.EndpointID, isRemoved bool) {
	state := maps.Clone(s.states[s.now])
	s.now++
	s.sequence++
	if isRemoved {
		delete(state, id)
		s.changes = append(s.changes, EndpointRemovedMsg{Revision: s.now, ID: id})
	} else {
		state[id] = s.sequence
		s.changes = append(s.changes, EndpointMsg{Revision: s.now, Endpoint: hitchfleet.Endpoint{ID: id, Service: "s", Sequence: s.sequence}})
	}
	s.states[s.now] = state
}

// comeBack makes the store that of an older copy, whose endpoints all write their entries again.
func (s *orderedStore) comeBack(number int64) {
	s.now, s.changes = hitchfleet.NewRevision(s.now.Era()+1, number), nil
	s.states[s.now] = map[hitchfleet.EndpointID]int64{}
}

// batch returns the changes after a revision up to another one.
func (s *orderedStore) batch(after, to hitchfleet.Revision) Batch {
	b := Batch{Revision: to}
	for _, msg := range s.changes {
		if r := revisionOf(msg); r > after && r <= to {
			b.Messages = append(b.Messages, msg)
		}
	}
	return b
}

// snapshot returns all entries of the present state.
func (s *orderedStore) snapshot() Batch {
	b := Batch{Revision: s.now, IsSnapshot: true}
	for id, sequence := range s.states[s.now] {
		b.Messages = append(b.Messages, EndpointMsg{Revision: s.now, Endpoint: hitchfleet.Endpoint{ID: id, Service: "s", Sequence: sequence}})
	}
	return b
}

// TestViewNeverGoesBack guards against a view to which a batch that was held up brings back endpoints that have
// left (rule DRAIN). Batches of watches, pulls from other instances and snapshots arrive late, in any order and
// again; after each, the view is the state of the store at its revision.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := hitchfleet.NewRevision(1, 100)
		store := &orderedStore{now: first, states: map[hitchfleet.Revision]map[hitchfleet.EndpointID]int64{first: {}}}
		view := View{}.Apply(store.snapshot())
		newest := view.Revision
		var inFlight []Batch
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				id := hitchfleet.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint")))
				store.change(id, rapid.Bool().Draw(t, "isRemoved"))
			},
			"watch or pull": func(t *rapid.T) {
				if view.Revision.Era() == store.now.Era() {
					to := rapid.Int64Range(int64(view.Revision), int64(store.now)).Draw(t, "to")
					inFlight = append(inFlight, store.batch(view.Revision, hitchfleet.Revision(to)))
				}
			},
			"snapshot":  func(*rapid.T) { inFlight = append(inFlight, store.snapshot()) },
			"come back": func(t *rapid.T) { store.comeBack(rapid.Int64Range(50, 150).Draw(t, "number")) },
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					t.Skip("nothing is in flight")
				}
				n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "batch")
				view = view.Apply(inFlight[n])
				if !rapid.Bool().Draw(t, "again") {
					inFlight = slices.Delete(inFlight, n, n+1)
				}
			},
			"": func(t *rapid.T) {
				if view.Revision < newest {
					t.Fatalf("the view went back from %d to %d", newest, view.Revision)
				}
				newest = view.Revision
				got := make(map[hitchfleet.EndpointID]int64)
				for _, e := range view.AllEndpoints() {
					got[e.ID] = e.Sequence
				}
				if want := store.states[view.Revision]; !maps.Equal(got, want) {
					t.Fatalf("at %d the view has %v, the store had %v", view.Revision, got, want)
				}
			},
		})
	})
}

// TestHeldUpBatchDoesNotUndoRemoval is the case of a watch that a cut holds up while another instance tells of the
// removal.
func TestHeldUpBatchDoesNotUndoRemoval(t *testing.T) {
	cold := EndpointMsg{Revision: 11, Endpoint: hitchfleet.Endpoint{ID: "e", Sequence: 2}}
	gone := EndpointRemovedMsg{Revision: 12, ID: "e"}
	f := Follower{}
	for _, b := range []Batch{
		{Revision: 10, IsSnapshot: true, Messages: []Msg{EndpointMsg{Revision: 9, Endpoint: hitchfleet.Endpoint{ID: "e", Sequence: 1}}}},
		{Revision: 12, Messages: []Msg{cold, gone}},
		{Revision: 11, Messages: []Msg{cold}},
		{Revision: 10, IsSnapshot: true, Messages: []Msg{EndpointMsg{Revision: 9, Endpoint: hitchfleet.Endpoint{ID: "e", Sequence: 1}}}},
	} {
		f.apply(b)
	}
	qt.Assert(t, f.View().AllEndpoints(), qt.HasLen, 0)
	qt.Assert(t, f.View().Revision, qt.Equals, hitchfleet.Revision(12))
	messages, ok := f.changeLog.messagesAfter(10)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, messages, qt.DeepEquals, []Msg{gone})
}
