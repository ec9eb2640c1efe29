package hitchpeer

import (
	"slices"
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMembersAtDesignSize(t *testing.T) {
	const count = 390
	s := newSimulation(count).withFullMembership()
	s.loss = 0.01
	s.run(3 * time.Second)
	mean, maxRate := s.sendRate(5 * time.Second)
	t.Logf("idle fleet of %d routers with 1%% loss: a node sends %.0f B/s on average, at most %.0f", count, mean, maxRate)
	qt.Assert(t, s.allSee(count, anyRecord), qt.IsTrue)
	qt.Assert(t, maxRate < 3000, qt.IsTrue)
	s.loss = 0
	stopped := s.nodes["router-100"]
	stopped.down = true
	elapsed, ok := s.runUntil(4*time.Second, func() bool { return s.allSee(count-1, anyRecord) })
	t.Logf("one stopped router: detected by all after %v", elapsed)
	qt.Assert(t, ok, qt.IsTrue)
	zoneSize := 0
	for _, n := range s.nodes {
		if self := n.members.Self; !n.down && self.Region == "region-1" && self.Zone == "zone-2" {
			n.down = true
			zoneSize++
		}
	}
	elapsed, ok = s.runUntil(15*time.Second, func() bool { return s.allSee(count-1-zoneSize, anyRecord) })
	t.Logf("a zone of %d stopped routers: detected by all after %v", zoneSize, elapsed)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestMembersRecoverFromPartitions(t *testing.T) {
	tests := map[string]struct {
		count    int
		blocked  func(a, b Record) bool
		duration time.Duration
	}{
		"a region is partitioned for an hour": {
			12, func(a, b Record) bool { return (a.Region == "region-0") != (b.Region == "region-0") }, time.Hour,
		},
		"a zone is partitioned": {
			45, func(a, b Record) bool {
				return (a.Region == "region-0" && a.Zone == "zone-0") != (b.Region == "region-0" && b.Zone == "zone-0")
			}, time.Minute,
		},
		"a zone is partitioned from its region only": {
			45, func(a, b Record) bool {
				return a.Region == b.Region && a.Region == "region-0" && (a.Zone == "zone-0") != (b.Zone == "zone-0")
			}, time.Minute,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(test.count).withFullMembership()
			s.run(3 * time.Second)
			s.blocked = test.blocked
			_, initialMaxRate := s.sendRate(15 * time.Second)
			for _, n := range s.nodes {
				for _, live := range n.members.LiveRouters(s.now()) {
					oneSided := name == "a zone is partitioned from its region only"
					qt.Assert(t, oneSided || !test.blocked(n.members.Self, RecordOf(live)), qt.IsTrue)
				}
			}
			_, laterMaxRate := s.sendRate(test.duration)
			t.Logf("maximum sent by a node: %.0f B/s at first, then %.0f", initialMaxRate, laterMaxRate)
			qt.Assert(t, initialMaxRate < 8000, qt.IsTrue)
			qt.Assert(t, laterMaxRate < 4000, qt.IsTrue)
			s.blocked = func(Record, Record) bool { return false }
			elapsed, ok := s.runUntil(3*time.Minute, func() bool { return s.allSee(test.count, anyRecord) })
			t.Logf("recovered after %v", elapsed)
			qt.Assert(t, ok, qt.IsTrue)
		})
	}
}

func TestMembersJoinRestartAndFlap(t *testing.T) {
	s := newSimulation(30).withFullMembership()
	s.run(3 * time.Second)
	instance := s.nodes["router-004"].members.Self.Instance()
	list := ListReceived{Instances: s.nodes["router-000"].members.LiveRouters(s.now())}
	instance.ID = "router-new"
	for flap := range 5 {
		newcomer := s.add(instance)
		s.updateMembers(newcomer, list)
		want := 31
		if flap > 2 {
			// Flap damping suppresses the newcomer at all routers except itself.
			want = 30
		}
		elapsed, ok := s.runUntil(10*time.Second, func() bool {
			return s.allSee(want, func(r Record) bool { return r.ID != instance.ID })
		})
		t.Logf("start %d: converged after %v", flap, elapsed)
		qt.Assert(t, ok, qt.IsTrue)
		newcomer.down = true
		_, ok = s.runUntil(10*time.Second, func() bool { return s.allSee(30, anyRecord) })
		qt.Assert(t, ok, qt.IsTrue)
		instance.Incarnation++
	}
	s.updateMembers(s.add(instance), list)
	elapsed, ok := s.runUntil(10*time.Minute, func() bool { return s.allSee(31, anyRecord) })
	t.Logf("no longer suppressed after %v", elapsed)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestMembersMergePlatformList(t *testing.T) {
	now := time.Unix(simStart, 0)
	self := Record{ID: "a", Incarnation: 5, Region: "r"}
	other := Record{ID: "b", Incarnation: 5, PeerAddr: "10.0.0.2:7000", Region: "r"}
	listed := func(change func(i *hitchfleet.Instance)) ListReceived {
		i := other.Instance()
		change(&i)
		return ListReceived{Instances: []hitchfleet.Instance{i}}
	}
	tests := map[string]struct {
		messages []any
		live     int
		leaving  bool
		dials    int
	}{
		"unlisted but responding":         {[]any{HandshakeCompleted{Sender: other}, ListReceived{}}, 2, false, 0},
		"newly listed and not probed yet": {[]any{listed(func(*hitchfleet.Instance) {})}, 1, false, 1},
		"listed as leaving":               {[]any{HandshakeCompleted{Sender: other}, listed(func(i *hitchfleet.Instance) { i.Leaving = true })}, 2, true, 0},
		"an older incarnation leaves": {[]any{HandshakeCompleted{Sender: other}, listed(func(i *hitchfleet.Instance) {
			i.Leaving = true
			i.Incarnation = 4
		})}, 2, false, 0},
		"listed twice": {[]any{ListReceived{Instances: []hitchfleet.Instance{other.Instance(), other.Instance(), self.Instance()}}}, 1, false, 1},
		"dead and still listed": {[]any{
			HandshakeCompleted{Sender: other}, HandshakeCompleted{Sender: other.WithStatus(Dead)}, listed(func(*hitchfleet.Instance) {}),
		}, 1, false, 1},
		"left and still listed": {[]any{
			HandshakeCompleted{Sender: other}, HandshakeCompleted{Sender: other.WithStatus(Left)}, listed(func(*hitchfleet.Instance) {}),
		}, 1, false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := Members{Self: self}
			for _, message := range test.messages {
				m.Update(now, message)
			}
			live := m.LiveRouters(now)
			qt.Assert(t, live, qt.HasLen, test.live)
			qt.Assert(t, live[len(live)-1].Leaving, qt.Equals, test.leaving)
			qt.Assert(t, m.Update(now, Tick{}).Dials, qt.HasLen, test.dials)
		})
	}
}

func TestMembersRefuteAndDetectSuperseded(t *testing.T) {
	now := time.Unix(simStart, 0)
	m := Members{Self: Record{ID: "a", Incarnation: 5}}
	m.Update(now, HandshakeCompleted{Sender: Record{ID: "b"}, ReceiverRecord: Record{ID: "a", Incarnation: 5, Status: Dead}})
	qt.Assert(t, m.Self.Revision, qt.Equals, uint32(1))
	m.Update(now, HandshakeCompleted{Sender: Record{ID: "b"}, ReceiverRecord: Record{ID: "a", Incarnation: 4, Revision: 9, Status: Dead}})
	qt.Assert(t, m.Self.Revision, qt.Equals, uint32(1))
	effects := m.Update(now, HandshakeCompleted{Sender: Record{ID: "b"}, ReceiverRecord: Record{ID: "a", Incarnation: 6}})
	qt.Assert(t, effects.Superseded, qt.Equals, uint64(6))
}

// TestMembersIgnoreTimeoutsDuringOwnPause pauses a process for longer than all
// timeouts. It must not suspect other routers because of probes that were pending
// during the pause.
func TestMembersIgnoreTimeoutsDuringOwnPause(t *testing.T) {
	s := newSimulation(9).withFullMembership()
	s.run(5 * time.Second)
	paused := &s.nodes["router-000"].members
	resumesAt := s.now().Add(10 * time.Second)
	for tick := range 10 {
		effects := paused.Update(resumesAt.Add(time.Duration(tick)*20*time.Millisecond), Tick{})
		qt.Assert(t, effects.Changed, qt.HasLen, 0)
	}
}

func drawRecord(t *rapid.T) Record {
	return Record{
		ID:          hitchfleet.InstanceID(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "id")),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Revision:    rapid.Uint32Range(0, 2).Draw(t, "revision"),
		Status:      Status(rapid.IntRange(int(Alive), int(Left)).Draw(t, "status")),
		Region:      "r",
	}
}

// TestMembersRecordsNeverRegress delivers the same records in two orders. A record must
// never be replaced by a lower one, also after suspicions timed out, and the result
// must not depend on the order.
func TestMembersRecordsNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(simStart, 0)
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 30).Draw(t, "records")
		var a, b Members
		a.Self, b.Self = Record{ID: "a", Region: "r"}, Record{ID: "a", Region: "r"}
		for _, record := range records {
			before, known := a.Record(record.ID)
			a.Update(now, SyncCompleted{From: "b", Records: []Record{record}})
			after, _ := a.Record(record.ID)
			if known && after.Compare(before) < 0 || after.Compare(record) < 0 {
				t.Fatalf("record is %v after merging %v and %v", after, before, record)
			}
		}
		for _, i := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
			b.Update(now, PacketReceived{From: "c", Packet: Packet{Records: records[i : i+1]}})
		}
		if a.Sums() != b.Sums() || !slices.Equal(a.LiveRouters(now), b.LiveRouters(now)) {
			t.Fatalf("members differ by the order of delivery: %v and %v", a.LiveRouters(now), b.LiveRouters(now))
		}
		for range 60 {
			now = now.Add(TickInterval)
			a.Update(now, Tick{})
		}
		for _, record := range records {
			a.Update(now, SyncCompleted{From: "b", Records: []Record{record}})
			if after, _ := a.Record(record.ID); after.Compare(record) < 0 || after.Status == Suspect {
				t.Fatalf("record is %v after the suspicion timeout and merging %v", after, record)
			}
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestMembersConvergeAfterFaults injects random stops, restarts, packet loss and
// partitions. All running routers must see the correct membership within ten minutes
// of the last fault.
func TestMembersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(7).withFullMembership()
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			s.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			group := rapid.SampledFrom([]func(Record) string{
				func(Record) string { return "" },
				func(r Record) string { return string(r.Region) },
				func(r Record) string { return string(r.Zone) },
				func(r Record) string { return string(r.ID) },
			}).Draw(t, "partition")
			s.blocked = func(a, b Record) bool { return group(a) != group(b) }
			id := rapid.SampledFrom(s.ids).Draw(t, "router")
			n := s.nodes[id]
			if !n.down {
				n.down = true
			} else {
				instance := n.members.Self.Instance()
				instance.Incarnation++
				s.updateMembers(s.add(instance), ListReceived{Instances: s.nodes[s.ids[0]].members.LiveRouters(s.now())})
			}
			s.run(time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms")) * time.Millisecond)
		}
		s.loss = 0
		s.blocked = func(Record, Record) bool { return false }
		running := 0
		var list ListReceived
		for _, n := range s.nodes {
			list.Instances = append(list.Instances, n.members.Self.Instance())
			if !n.down {
				running++
			}
		}
		for _, n := range s.nodes {
			if !n.down {
				s.updateMembers(n, list)
			}
		}
		_, ok := s.runUntil(10*time.Minute, func() bool { return s.allSee(running, anyRecord) })
		if !ok {
			t.Fatalf("not all of the %d running routers see exactly those that run", running)
		}
	})
}
