package hitchview

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// rev returns a revision of an era.
func rev(era, number int64) hitchfleet.Revision { return hitchfleet.NewRevision(era, number) }

func tableOf(version int64) *hitchroute.Table {
	return hitchroute.NewTable(hitchroute.Config{Version: version})
}

// TestStoreFromOlderCopy covers a store that comes back from a copy: it lacks the last
// changes, and gives out their revisions again.
func TestStoreFromOlderCopy(t *testing.T) {
	grace := time.Now().Add(time.Minute)
	endpoint := hitchfleet.Endpoint{ID: "e", Service: "s", Zone: "a", Sequence: 20}
	before := View{}.Apply(Batch{Revision: rev(1, 90), IsSnapshot: true, Messages: []Msg{
		TableMsg{rev(1, 80), tableOf(8)},
		EndpointMsg{rev(1, 90), endpoint},
		EndpointMsg{rev(1, 88), hitchfleet.Endpoint{ID: "removed", Service: "s", Zone: "a", Sequence: 30}},
		InstanceMsg{rev(1, 70), hitchfleet.Instance{ID: "i"}},
		ZoneTakenOutMsg{rev(1, 85), "b"},
	}}).Apply(Batch{Revision: rev(1, 91), Messages: []Msg{EndpointRemovedMsg{rev(1, 91), "removed"}}})
	returned := func(messages ...Msg) View {
		return before.Apply(Batch{Revision: rev(2, 60), IsSnapshot: true, KeepExpiredUntil: grace, Messages: messages})
	}
	tests := map[string]struct {
		view  View
		check func(t *testing.T, v View)
	}{
		"older configuration isn't applied": {returned(TableMsg{rev(2, 50), tableOf(7)}), func(t *testing.T, v View) {
			qt.Assert(t, v.Table.Version(), qt.Equals, int64(8))
		}},
		"same version written again is applied": {returned(TableMsg{rev(2, 61), tableOf(8)}), func(t *testing.T, v View) {
			qt.Assert(t, v.TableRevision, qt.Equals, rev(2, 61))
		}},
		"next version is applied though its revision is lower": {returned(TableMsg{rev(2, 50), tableOf(7)}).Apply(Batch{Revision: rev(2, 62), Messages: []Msg{TableMsg{rev(2, 62), tableOf(9)}}}), func(t *testing.T, v View) {
			qt.Assert(t, v.Table.Version(), qt.Equals, int64(9))
		}},
		"lost entries are kept for a while": {returned(), func(t *testing.T, v View) {
			qt.Assert(t, v.Endpoints(), qt.HasLen, 1)
			qt.Assert(t, v.Instances(), qt.HasLen, 1)
			qt.Assert(t, v.NextExpiry(), qt.Equals, grace)
			v = v.Expire(grace)
			qt.Assert(t, v.Endpoints(), qt.HasLen, 0)
			qt.Assert(t, v.Instances(), qt.HasLen, 0)
			qt.Assert(t, v.ZonesOutCount(), qt.Equals, 0)
		}},
		"zone stays out until its entry is written again": {returned().Apply(Batch{Revision: rev(2, 61), Messages: []Msg{ZoneTakenOutMsg{rev(2, 61), "b"}}}).Expire(grace), func(t *testing.T, v View) {
			qt.Assert(t, v.ZonesOutCount(), qt.Equals, 1)
		}},
		"zone that is returned after the return is in service at once": {returned(ZoneTakenOutMsg{rev(2, 40), "b"}).Apply(Batch{Revision: rev(2, 61), Messages: []Msg{ZoneReturnedMsg{Revision: rev(2, 61), Zone: "b"}}}), func(t *testing.T, v View) {
			qt.Assert(t, v.ZonesOutCount(), qt.Equals, 0)
		}},
		"entry written again is kept": {returned().Apply(Batch{Revision: rev(2, 61), Messages: []Msg{EndpointMsg{rev(2, 61), endpoint}}}).Expire(grace), func(t *testing.T, v View) {
			qt.Assert(t, v.Endpoints(), qt.HasLen, 1)
		}},
		"older state of an endpoint isn't applied": {returned(EndpointMsg{rev(2, 55), hitchfleet.Endpoint{ID: "e", Service: "s", Sequence: 15, Leaving: true}}), func(t *testing.T, v View) {
			qt.Assert(t, v.Endpoints(), qt.DeepEquals, []hitchfleet.Endpoint{endpoint})
		}},
		"removed endpoint doesn't come back": {returned(EndpointMsg{rev(2, 55), hitchfleet.Endpoint{ID: "removed", Service: "s", Sequence: 29}}), func(t *testing.T, v View) {
			qt.Assert(t, v.Endpoints(), qt.HasLen, 1)
		}},
		"removed endpoint that is alive comes back": {returned(EndpointMsg{rev(2, 61), hitchfleet.Endpoint{ID: "removed", Service: "s", Sequence: 31}}), func(t *testing.T, v View) {
			qt.Assert(t, v.Endpoints(), qt.HasLen, 2)
		}},
		"late answer of the old era has no effect": {returned().Apply(Batch{Revision: rev(1, 95), Messages: []Msg{EndpointMsg{rev(1, 95), hitchfleet.Endpoint{ID: "old"}}, InstanceRemovedMsg{rev(1, 94), "i"}}}), func(t *testing.T, v View) {
			qt.Assert(t, v.Endpoints(), qt.HasLen, 1)
			qt.Assert(t, v.Instances(), qt.HasLen, 1)
			qt.Assert(t, v.Revision, qt.Equals, rev(2, 60))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.check(t, test.view) })
	}
}

// TestPeersFollowIntoTheNewEra covers an instance that hears of the new era from a hub
// only, and one that still has the old era.
func TestPeersFollowIntoTheNewEra(t *testing.T) {
	hub := &Follower{}
	hub.apply(Batch{Revision: rev(1, 90), IsSnapshot: true, Messages: []Msg{
		TableMsg{rev(1, 80), tableOf(8)}, EndpointMsg{rev(1, 90), hitchfleet.Endpoint{ID: "e", Service: "s"}}, ZoneTakenOutMsg{rev(1, 85), "b"},
	}})
	peer := &Follower{}
	peer.apply(hub.PeerUpdate(0, 0).Batch(time.Now()))
	old := hub.PeerUpdate(0, 0)
	b := Batch{Revision: rev(2, 40), IsSnapshot: true}
	b.KeepExpiredUntil = hub.keepExpiredUntil(b)
	hub.apply(b)
	update := hub.PeerUpdate(peer.View().Revision, peer.View().TableRevision)
	qt.Assert(t, update.IsSnapshot, qt.IsTrue)
	peer.apply(update.Batch(time.Now()))
	v := peer.View()
	qt.Assert(t, v.Revision, qt.Equals, rev(2, 40))
	qt.Assert(t, v.Endpoints(), qt.HasLen, 1)
	qt.Assert(t, v.ZonesOutCount(), qt.Equals, 1)
	expired := v.Expire(time.Now().Add(time.Minute))
	qt.Assert(t, expired.Endpoints(), qt.HasLen, 0)
	qt.Assert(t, expired.ZonesOutCount(), qt.Equals, 0)
	peer.apply(old.Batch(time.Now()))
	qt.Assert(t, peer.View().Revision, qt.Equals, rev(2, 40))
}

// TestProbeDetectsTheNewEra covers a watch that hangs while the store comes back from an
// older copy whose revisions are lower.
func TestProbeDetectsTheNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{changed: make(chan struct{}, 1)}
		s.revision.Store(int64(rev(1, 90)))
		f := &Follower{Snapshot: s.snapshot, Watch: s.watch, Probe: s.probe}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		defer func() { cancel(); <-done }()
		synctest.Wait()
		qt.Assert(t, f.View().Revision, qt.Equals, rev(1, 90))
		s.isStalled.Store(true)
		s.revision.Store(int64(rev(2, 40)))
		time.Sleep(2 * probeInterval)
		qt.Assert(t, f.View().Revision, qt.Equals, rev(2, 40))
	})
}

// TestStoppedInstanceIsNotNamedAgain covers an instance that removed its entry before the
// store came back from a copy that still has it.
func TestStoppedInstanceIsNotNamedAgain(t *testing.T) {
	instance := hitchfleet.Instance{ID: "i", Addr: "10.0.0.1:80"}
	stopped := View{}.
		Apply(Batch{Revision: rev(1, 90), IsSnapshot: true, Messages: []Msg{InstanceMsg{rev(1, 70), instance}}}).
		Apply(Batch{Revision: rev(1, 91), Messages: []Msg{InstanceRemovedMsg{rev(1, 91), "i"}}})
	returned := stopped.Apply(Batch{Revision: rev(2, 80), IsSnapshot: true, Messages: []Msg{InstanceMsg{rev(2, 70), instance}}})
	qt.Assert(t, returned.Instances(), qt.HasLen, 0)
	qt.Assert(t, returned.RevivedInstances(), qt.DeepEquals, map[hitchfleet.InstanceID]hitchfleet.Revision{"i": rev(2, 70)})

	// Another instance gets the same view from a hub, without having known the entry.
	hub, peer := &Follower{}, &Follower{}
	hub.view.Store(&returned)
	peer.apply(hub.PeerUpdate(0, 0).Batch(time.Now()))
	qt.Assert(t, peer.View().Instances(), qt.HasLen, 0)

	// It starts again, or a hub removes the entry.
	again := returned.Apply(Batch{Revision: rev(2, 81), Messages: []Msg{InstanceMsg{rev(2, 81), instance}}})
	qt.Assert(t, again.Instances(), qt.HasLen, 1)
	qt.Assert(t, again.RevivedInstances(), qt.HasLen, 0)
	gone := returned.Apply(Batch{Revision: rev(2, 81), Messages: []Msg{InstanceRemovedMsg{rev(2, 81), "i"}}})
	qt.Assert(t, gone.RevivedInstances(), qt.HasLen, 0)
	// The store comes back from the same copy once more.
	twice := gone.Apply(Batch{Revision: rev(3, 80), IsSnapshot: true, Messages: []Msg{InstanceMsg{rev(3, 70), instance}}})
	qt.Assert(t, twice.Instances(), qt.HasLen, 0)
}
