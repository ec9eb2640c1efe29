package hitchconfig

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestTrackerRandom applies random events to a fleet: store outages, routers that are
// cut off or restarted, clock steps, and messages that are lost, delayed, reordered or
// repeated much later. The model checks the invariants after each event, and that all
// routers converge once the faults end.
func TestTrackerRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 5)
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, 4).Draw(t, "router")
			m.randomEvent(t, i)
		}
		m.clearFaultsAndCheck()
	})
}

func (m *fleetModel) randomEvent(t *rapid.T, i int) {
	r := m.routers[i]
	switch rapid.IntRange(0, 13).Draw(t, "event") {
	case 0, 1:
		m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case 2:
		m.accept(Configuration{})
	case 3:
		m.storeUnavailable = !m.storeUnavailable
	case 4:
		m.readStore(i)
	case 5, 6, 7:
		m.gossip(i, rapid.IntRange(0, 4).Draw(t, "to"))
	case 8, 9, 10:
		if len(m.queue) > 0 {
			m.deliver(rapid.IntRange(0, len(m.queue)-1).Draw(t, "message"))
		}
	case 11:
		r.isCutOff = !r.isCutOff
	case 12:
		*r = modelRouter{tracker: m.newTracker(i), lastContact: m.now, isCutOff: r.isCutOff, clockOffset: r.clockOffset}
	case 13:
		if len(m.allSent) > 0 && rapid.Bool().Draw(t, "repeat") {
			m.queue = append(m.queue, rapid.SampledFrom(m.allSent).Draw(t, "old"))
			return
		}
		r.clockOffset, r.clockStepped = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "s"))*time.Second, true
	}
}

// newServingModel returns a model in which every router serves revision 1.
func newServingModel(t *testing.T, n int) *fleetModel {
	m := newModel(t, n)
	m.clearFaultsAndCheck()
	return m
}

func (m *fleetModel) gossipRounds(n int, routers ...int) {
	for range n {
		m.advance(500 * time.Millisecond)
		for _, i := range routers {
			for _, j := range routers {
				m.gossip(i, j)
			}
		}
		for len(m.queue) > 0 {
			m.deliver(0)
		}
	}
}

// announcementOf returns the announcement of a ready peer with the given revision.
func announcementOf(revision uint64) Announcement {
	return Announcement{
		Revision: revision, Checksum: "aa", Proof: signRevision(fleetKeys, revision, "aa"), Started: true, Ready: true,
	}
}

func TestTrackerFaults(t *testing.T) {
	all := []int{0, 1, 2, 3}
	tests := map[string]struct {
		run      func(m *fleetModel)
		state    State // of router 0
		revision uint64
	}{
		"store outage alone stops no router": {func(m *fleetModel) {
			m.storeUnavailable = true
			m.gossipRounds(7200, all...)
		}, Serving, 1},
		"cut off from store and peers": {func(m *fleetModel) {
			m.routers[0].isCutOff = true
			m.gossipRounds(9, all...)
		}, CutOff, 1},
		"contact to peers returns": {func(m *fleetModel) {
			m.storeUnavailable, m.routers[0].isCutOff = true, true
			m.gossipRounds(9, all...)
			m.routers[0].isCutOff = false
			m.gossipRounds(2, all...)
		}, Serving, 1},
		"all cut off, then contact returns without the store": {func(m *fleetModel) {
			m.storeUnavailable = true
			m.advance(time.Minute)
			m.gossipRounds(2, all...)
		}, Serving, 1},
		"restart during a store outage": {func(m *fleetModel) {
			m.storeUnavailable = true
			m.routers[0].tracker = m.newTracker(0)
			m.gossipRounds(4, all...)
		}, Serving, 1},
		"restart during a store outage with too few peers": {func(m *fleetModel) {
			m.storeUnavailable = true
			m.routers[0].tracker = m.newTracker(0)
			m.gossipRounds(20, 0, 1)
		}, Starting, 1},
		"all restart during a store outage": {func(m *fleetModel) {
			m.storeUnavailable = true
			for i := range m.routers {
				m.routers[i].tracker = m.newTracker(i)
			}
			m.gossipRounds(20, all...)
		}, Starting, 0},
		"store outage right after a change is accepted": {func(m *fleetModel) {
			m.accept(Configuration{})
			m.readStore(3)
			m.storeUnavailable = true
			m.gossipRounds(2, all...)
		}, Serving, 2},
		"outdated peer sends an older revision": {func(m *fleetModel) {
			old := m.routers[1].tracker
			m.accept(Configuration{})
			m.readStore(0)
			m.update(0, Message{Kind: PeerSentSnapshot, Snapshot: old.Snapshot()})
			m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: old.Announcement()})
		}, Serving, 2},
		"newer revision is known but can't be fetched": {func(m *fleetModel) {
			for range 10 {
				m.advance(500 * time.Millisecond)
				m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: announcementOf(2)})
			}
		}, CutOff, 1},
		"starting peer announces itself after a pause": {func(m *fleetModel) {
			m.now = m.now.Add(time.Hour)
			m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: Announcement{}})
		}, CutOff, 1},
		"newer peer announces itself after a pause": {func(m *fleetModel) {
			m.now = m.now.Add(time.Hour)
			m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: announcementOf(2)})
		}, CutOff, 1},
		"announced revision without a proof": {func(m *fleetModel) {
			for range 20 {
				m.gossipRounds(1, all...)
				m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: Announcement{Revision: 1 << 60, Started: true, Ready: true}})
			}
		}, Serving, 1},
		"snapshot with a forged proof": {func(m *fleetModel) {
			forged, _ := m.head.accept(mustPlan(m.t, m.head, "p", "x", zoneIntent(9)), "x", m.now, fleetKeys)
			forged.Proof = Keyring{Keys: []FleetKey{{ID: "k1", Secret: []byte("guess")}}}.Sign(purposeRevision, uint64Bytes(2))
			snapshot, _ := forged.Snapshot()
			m.update(0, Message{Kind: PeerSentSnapshot, Snapshot: snapshot})
		}, Serving, 1},
		"clock steps back an hour, then contact is lost": {func(m *fleetModel) {
			m.routers[0].clockOffset, m.routers[0].isCutOff = -time.Hour, true
			m.gossipRounds(9, all...)
		}, CutOff, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newServingModel(t, 4)
			test.run(m)
			qt.Assert(t, m.routers[0].tracker.State(), qt.Equals, test.state)
			qt.Assert(t, m.routers[0].tracker.Revision(), qt.Equals, test.revision)
		})
	}
}

func TestTrackerSendsDeltas(t *testing.T) {
	m := newServingModel(t, 2)
	for range 5 {
		m.accept(Configuration{})
		m.readStore(0)
	}
	d, ok := m.routers[0].tracker.delta(1)
	qt.Assert(t, ok, qt.IsTrue)
	cfg, _, err := d.Apply(m.routers[1].tracker.Index().Configuration(), fleetKeys)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cfg, qt.DeepEquals, m.head.Configuration)
	for range maxDeltaSteps {
		m.accept(Configuration{})
		m.readStore(0)
	}
	_, ok = m.routers[0].tracker.delta(1)
	qt.Assert(t, ok, qt.IsFalse)
	m.gossipRounds(4, 0, 1)
	qt.Assert(t, m.routers[1].tracker.Revision(), qt.Equals, m.head.Configuration.Revision)
}

func TestTrackerFork(t *testing.T) {
	m := newServingModel(t, 2)
	other, err := Head{Configuration: smallConfiguration().WithRevision(0)}.accept(
		mustPlan(t, Head{Configuration: smallConfiguration().WithRevision(0)}, "p", "olle", zoneIntent(77)), "olle", m.now, fleetKeys)
	qt.Assert(t, err, qt.IsNil)
	snapshot, err := other.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	m.update(0, Message{Kind: PeerSentSnapshot, Snapshot: snapshot})
	qt.Assert(t, m.routers[0].tracker.Err(), qt.Equals, ErrFork)
}

func TestWatchers(t *testing.T) {
	want := map[int]int{0: 0, 1: 1, 2: 2, 7: 2, 14: 2, 28: 3, 390: 10}
	for n, count := range want {
		live := make([]hitchfleet.Instance, n)
		for i := range live {
			live[i].ID = hitchfleet.InstanceID(fmt.Sprint(i))
			live[i].Zone = hitchfleet.AvailabilityZone(fmt.Sprint("zone-", i%9))
		}
		qt.Assert(t, WatcherCount(n), qt.Equals, count)
		got := Watchers(live)
		qt.Assert(t, got, qt.HasLen, count)
		for _, id := range got {
			qt.Assert(t, IsWatcher(id, live), qt.IsTrue)
		}
	}
}

func TestRolloutProgress(t *testing.T) {
	r := Rollout{}.
		WithReport(Report{Instance: "a", Revision: 7, Ready: true, At: start}).
		WithReport(Report{Instance: "a", Revision: 6, Ready: true, At: start.Add(-1)}).
		WithReport(Report{Instance: "b", Revision: 6, At: start}).
		WithReport(Report{Instance: "c", Revision: 6, Ready: true, At: start}).
		WithReport(Report{Instance: "gone", Revision: 7, Ready: true, At: start})
	live := []hitchfleet.InstanceID{"a", "b", "c", "d"}
	p := r.OnlyLive(live).Progress(7, live)
	qt.Assert(t, p.String(), qt.Equals, "revision 7 in force on 1 of 4 routers, 1 refuse new work, missing: [c d]")
	qt.Assert(t, p.IsComplete(), qt.IsFalse)
	qt.Assert(t, r.Progress(6, live[:3]).IsComplete(), qt.IsTrue)
}
