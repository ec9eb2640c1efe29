package hitchconfig

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestTrackerRandom drives a fleet through random events: outages of the store,
// routers that are cut off or restarted, clock steps, and messages that are lost,
// late, out of order or repeated from long ago.
func TestTrackerRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 5)
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, 4).Draw(t, "router")
			m.random(t, i)
		}
		m.heal()
	})
}

func (m *model) random(t *rapid.T, i int) {
	r := m.routers[i]
	switch rapid.IntRange(0, 13).Draw(t, "event") {
	case 0, 1:
		m.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case 2:
		m.accept(Configuration{})
	case 3:
		m.storeOut = !m.storeOut
	case 4:
		m.readStore(i)
	case 5, 6, 7:
		m.gossip(i, rapid.IntRange(0, 4).Draw(t, "to"))
	case 8, 9, 10:
		if len(m.queue) > 0 {
			m.deliver(rapid.IntRange(0, len(m.queue)-1).Draw(t, "message"))
		}
	case 11:
		r.cut = !r.cut
	case 12:
		*r = modelRouter{tracker: m.fresh(i), lastHeard: m.now, cut: r.cut, offset: r.offset}
	case 13:
		if len(m.sent) > 0 && rapid.Bool().Draw(t, "repeat") {
			m.queue = append(m.queue, rapid.SampledFrom(m.sent).Draw(t, "old"))
			return
		}
		r.offset, r.stepped = time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "s"))*time.Second, true
	}
}

// settled returns a model in which every router serves revision 1.
func settled(t *testing.T, n int) *model {
	m := newModel(t, n)
	m.heal()
	return m
}

func (m *model) rounds(n int, routers ...int) {
	for range n {
		m.pass(500 * time.Millisecond)
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

// claim returns what a peer announces that has a revision.
func claim(revision uint64) Announcement {
	return Announcement{
		Revision: revision, Checksum: "aa", Proof: signRevision(fleetKeys, revision, "aa"), Started: true, Ready: true,
	}
}

func TestTrackerFaults(t *testing.T) {
	all := []int{0, 1, 2, 3}
	tests := map[string]struct {
		run      func(m *model)
		standing Standing // of router 0
		revision uint64
	}{
		"store out alone stops nothing": {func(m *model) {
			m.storeOut = true
			m.rounds(7200, all...)
		}, Serving, 1},
		"cut off from store and peers": {func(m *model) {
			m.routers[0].cut = true
			m.rounds(9, all...)
		}, CutOff, 1},
		"back with peers": {func(m *model) {
			m.storeOut, m.routers[0].cut = true, true
			m.rounds(9, all...)
			m.routers[0].cut = false
			m.rounds(2, all...)
		}, Serving, 1},
		"all cut off, then back without the store": {func(m *model) {
			m.storeOut = true
			m.pass(time.Minute)
			m.rounds(2, all...)
		}, Serving, 1},
		"restart with the store out": {func(m *model) {
			m.storeOut = true
			m.routers[0].tracker = m.fresh(0)
			m.rounds(4, all...)
		}, Serving, 1},
		"restart with the store out and too few peers": {func(m *model) {
			m.storeOut = true
			m.routers[0].tracker = m.fresh(0)
			m.rounds(20, 0, 1)
		}, Starting, 1},
		"all restart with the store out": {func(m *model) {
			m.storeOut = true
			for i := range m.routers {
				m.routers[i].tracker = m.fresh(i)
			}
			m.rounds(20, all...)
		}, Starting, 0},
		"store out right after the accept": {func(m *model) {
			m.accept(Configuration{})
			m.readStore(3)
			m.storeOut = true
			m.rounds(2, all...)
		}, Serving, 2},
		"old peer offers an older revision": {func(m *model) {
			old := m.routers[1].tracker
			m.accept(Configuration{})
			m.readStore(0)
			m.update(0, Message{Kind: PeerOffered, Offer: old.Offer()})
			m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: old.Announcement()})
		}, Serving, 2},
		"newer revision is known and can't be had": {func(m *model) {
			for range 10 {
				m.pass(500 * time.Millisecond)
				m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: claim(2)})
			}
		}, CutOff, 1},
		"woken from a pause by a starting peer": {func(m *model) {
			m.now = m.now.Add(time.Hour)
			m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: Announcement{}})
		}, CutOff, 1},
		"woken from a pause by a newer peer": {func(m *model) {
			m.now = m.now.Add(time.Hour)
			m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: claim(2)})
		}, CutOff, 1},
		"wrong number in an announcement": {func(m *model) {
			for range 20 {
				m.rounds(1, all...)
				m.update(0, Message{Kind: PeerAnnounced, From: "1", Announcement: Announcement{Revision: 1 << 60, Started: true, Ready: true}})
			}
		}, Serving, 1},
		"forged offer": {func(m *model) {
			forged, _ := m.head.with(planOn(m.t, m.head, "p", "x", zoneIntent(9)), "x", m.now, fleetKeys)
			forged.Proof = Keyring{Keys: []FleetKey{{ID: "k1", Secret: []byte("guess")}}}.Sign(purposeRevision, uint64Bytes(2))
			offer, _ := forged.Offer()
			m.update(0, Message{Kind: PeerOffered, Offer: offer})
		}, Serving, 1},
		"clock steps back an hour, then nothing is heard": {func(m *model) {
			m.routers[0].offset, m.routers[0].cut = -time.Hour, true
			m.rounds(9, all...)
		}, CutOff, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := settled(t, 4)
			test.run(m)
			qt.Assert(t, m.routers[0].tracker.Standing(), qt.Equals, test.standing)
			qt.Assert(t, m.routers[0].tracker.Revision(), qt.Equals, test.revision)
		})
	}
}

func TestTrackerSendsDeltas(t *testing.T) {
	m := settled(t, 2)
	for range 5 {
		m.accept(Configuration{})
		m.readStore(0)
	}
	d, ok := m.routers[0].tracker.delta(1)
	qt.Assert(t, ok, qt.IsTrue)
	cfg, _, err := d.Open(m.routers[1].tracker.Index().Configuration(), fleetKeys)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cfg, qt.DeepEquals, m.head.Configuration)
	for range maxSteps {
		m.accept(Configuration{})
		m.readStore(0)
	}
	_, ok = m.routers[0].tracker.delta(1)
	qt.Assert(t, ok, qt.IsFalse)
	m.rounds(4, 0, 1)
	qt.Assert(t, m.routers[1].tracker.Revision(), qt.Equals, m.head.Configuration.Revision)
}

func TestTrackerFork(t *testing.T) {
	m := settled(t, 2)
	other, err := Head{Configuration: small().WithRevision(0)}.with(
		planOn(t, Head{Configuration: small().WithRevision(0)}, "p", "olle", zoneIntent(77)), "olle", m.now, fleetKeys)
	qt.Assert(t, err, qt.IsNil)
	offer, err := other.Offer()
	qt.Assert(t, err, qt.IsNil)
	m.update(0, Message{Kind: PeerOffered, Offer: offer})
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
		With(Report{Instance: "a", Revision: 7, Ready: true, At: start}).
		With(Report{Instance: "a", Revision: 6, Ready: true, At: start.Add(-1)}).
		With(Report{Instance: "b", Revision: 6, At: start}).
		With(Report{Instance: "c", Revision: 6, Ready: true, At: start}).
		With(Report{Instance: "gone", Revision: 7, Ready: true, At: start})
	live := []hitchfleet.InstanceID{"a", "b", "c", "d"}
	p := r.Only(live).Progress(7, live)
	qt.Assert(t, p.String(), qt.Equals, "revision 7 in force on 1 of 4 routers, 1 refuse new work, missing: [c d]")
	qt.Assert(t, p.Done(), qt.IsFalse)
	qt.Assert(t, r.Progress(6, live[:3]).Done(), qt.IsTrue)
}
