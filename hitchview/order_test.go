package hitchview

import (
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// configID stands for the configuration among the endpoints of a state.
const configID hitchfleet.EndpointID = "configuration"

// orderedStore is a plain model of a store with a configuration and a few endpoints: the state after each revision.
type orderedStore struct {
	now hitchfleet.Revision
	// states are the sequences of the endpoints, and the version of the configuration.
	states map[hitchfleet.Revision]map[hitchfleet.EndpointID]int64
	// changes are those of the present era.
	changes  []Msg
	sequence int64
}

// change writes or removes an endpoint, or writes the configuration.
func (s *orderedStore) change(id hitchfleet.EndpointID, isRemoved bool) {
	state := maps.Clone(s.states[s.now])
	s.now++
	s.sequence++
	if isRemoved && id != configID {
		delete(state, id)
		s.changes = append(s.changes, EndpointRemovedMsg{Revision: s.now, ID: id})
	} else {
		state[id] = s.sequence
		s.changes = append(s.changes, entryMsg(s.now, id, s.sequence))
	}
	s.states[s.now] = state
}

// entryMsg returns the message that writes an endpoint or the configuration.
func entryMsg(revision hitchfleet.Revision, id hitchfleet.EndpointID, sequence int64) Msg {
	if id == configID {
		return TableMsg{revision, hitchroute.NewTable(hitchroute.Config{Version: sequence})}
	}
	return EndpointMsg{Revision: revision, Endpoint: hitchfleet.Endpoint{ID: id, Service: "s", Sequence: sequence}}
}

// comeBack makes the store that of an older copy, whose endpoints and operator all write their entries again.
func (s *orderedStore) comeBack(number int64) {
	s.now, s.changes = hitchfleet.NewRevision(s.now.Era()+1, number), nil
	s.sequence++
	s.states[s.now] = map[hitchfleet.EndpointID]int64{configID: s.sequence}
}

// stateOf returns the state that a view shows.
func stateOf(v View) map[hitchfleet.EndpointID]int64 {
	state := make(map[hitchfleet.EndpointID]int64)
	if v.Table != nil {
		state[configID] = v.Table.Version()
	}
	for _, e := range v.AllEndpoints() {
		state[e.ID] = e.Sequence
	}
	return state
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
		b.Messages = append(b.Messages, entryMsg(s.now, id, sequence))
	}
	return b
}

// TestViewNeverGoesBack guards against a view to which a batch that was held up brings back endpoints that have
// left (rule DRAIN), or an older configuration (rule CONFIG). Batches of watches, pulls from other instances and
// snapshots arrive late, in any order and again; after each, the view is the state of the store at its revision. So is the
// view of an instance that follows this one by its change log, now and then.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := hitchfleet.NewRevision(1, 100)
		store := &orderedStore{now: first, states: map[hitchfleet.Revision]map[hitchfleet.EndpointID]int64{first: {configID: 0}}}
		var hub Follower
		hub.apply(store.snapshot())
		view, peer := hub.View(), hub.View()
		newest := view.Revision
		var inFlight []Batch
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				id := hitchfleet.EndpointID(rapid.SampledFrom([]string{"e0", "e1", "e2", string(configID)}).Draw(t, "entry"))
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
				hub.apply(inFlight[n])
				view = hub.View()
				if !rapid.Bool().Draw(t, "again") {
					inFlight = slices.Delete(inFlight, n, n+1)
				}
			},
			"follow": func(t *rapid.T) {
				peer = peer.Apply(hub.PeerUpdate(peer.Revision, peer.TableRevision).Batch(hub.now()))
				if got, want := stateOf(peer), store.states[peer.Revision]; peer.Revision != view.Revision || !maps.Equal(got, want) {
					t.Fatalf("at %d the view of a follower has %v, the store had %v", peer.Revision, got, want)
				}
			},
			"": func(t *rapid.T) {
				if view.Revision < newest {
					t.Fatalf("the view went back from %d to %d", newest, view.Revision)
				}
				newest = view.Revision
				if got, want := stateOf(view), store.states[view.Revision]; !maps.Equal(got, want) {
					t.Fatalf("at %d the view has %v, the store had %v", view.Revision, got, want)
				}
			},
		})
	})
}

// TestHeldUpBatchDoesNotUndoRemoval guards against requests to an endpoint that has left (rule DRAIN): a cut holds up the
// answer to a watch while another instance tells of the removal, and the answer brings the endpoint back.
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
