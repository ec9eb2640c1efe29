package hitchpeer

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var (
	testConfig = Topic{Name: "Config"}
	testLoads  = Topic{Name: "Load", Regional: true, Volatile: true}
)

func TestGossipAtDesignSize(t *testing.T) {
	const count, configBytes, load = 390, 64 << 10, 24
	s := newSimulation(count).withFullMembership()
	s.loss = 0.01
	s.run(3 * time.Second)
	origin := s.nodes["router-007"]
	body := bytes.Repeat([]byte{1}, configBytes)
	s.updateGossip(origin, Publish{Topic: testConfig, Body: body})
	elapsed, ok := s.runUntil(4*time.Second, func() bool {
		for _, n := range s.nodes {
			if values := n.gossip.Values(testConfig); len(values) == 0 || len(values[0].Body) != configBytes {
				return false
			}
		}
		return true
	})
	t.Logf("a value of %d bytes reached all routers after %v", configBytes, elapsed)
	qt.Assert(t, ok, qt.IsTrue)

	const publishInterval = 20 * time.Second
	idleRate, _ := s.sendRate(3 * time.Second)
	before := make(map[*simNode]int)
	for _, n := range s.nodes {
		before[n] = n.bytes
	}
	for _, id := range s.ids {
		s.schedule(s.random.IntN(int(publishInterval/time.Millisecond)), func() {
			s.updateGossip(s.nodes[id], Publish{Topic: testLoads, Body: make([]byte, load)})
		})
	}
	const delivery = 5 * time.Second
	s.run(publishInterval + delivery)
	received, sent := 0, 0
	for _, n := range s.nodes {
		values := n.gossip.Values(testLoads)
		received += len(values)
		for _, value := range values {
			qt.Assert(t, s.nodes[value.Origin].members.Self.Region, qt.Equals, n.members.Self.Region)
		}
		sent += n.bytes - before[n]
	}
	rate := float64(sent)/count/(publishInterval+delivery).Seconds() - idleRate
	t.Logf("loads of %d bytes every %v: %d of %d received after one round; each node sent %.0f B/s in addition to %.0f",
		load, publishInterval, received, count*count/simRegions, rate, idleRate)
	qt.Assert(t, float64(received) > 0.9*count*count/simRegions, qt.IsTrue)
	qt.Assert(t, rate < 2*shareBytesPerSecond, qt.IsTrue)
}

func TestGossipKeepsNewestValue(t *testing.T) {
	now := time.Unix(simStart, 0)
	self := Record{ID: "a", Incarnation: 5}
	entry := func(incarnation, version uint64, text string) Entry {
		return newEntry(Record{ID: "b", Incarnation: incarnation}, testConfig, version, []byte(text))
	}
	synced := func(entries ...Entry) SyncCompleted { return SyncCompleted{From: "c", Entries: entries} }
	origin := func(incarnation uint64, status Status) OriginChanged {
		return OriginChanged{Record{ID: "b", Incarnation: incarnation, Status: status}}
	}
	corrupt := entry(1, 9, "broken")
	corrupt.Body = []byte("forged")
	tests := map[string]struct {
		messages []any
		after    time.Duration
		want     string
	}{
		"newer version":                  {[]any{synced(entry(1, 1, "old"), entry(1, 2, "new"))}, 0, "new"},
		"older version":                  {[]any{synced(entry(1, 2, "new"), entry(1, 1, "old"))}, 0, "new"},
		"newer incarnation":              {[]any{synced(entry(1, 7, "old"), entry(2, 1, "new"))}, 0, "new"},
		"older incarnation":              {[]any{synced(entry(2, 1, "new"), entry(1, 7, "old"))}, 0, "new"},
		"wrong checksum":                 {[]any{synced(entry(1, 1, "old"), corrupt)}, 0, "old"},
		"of a dead origin":               {[]any{origin(1, Dead), synced(entry(1, 1, "old"))}, 0, ""},
		"of an earlier incarnation":      {[]any{origin(2, Alive), synced(entry(1, 1, "old"))}, 0, ""},
		"kept after death of its origin": {[]any{origin(1, Alive), synced(entry(1, 1, "last")), origin(1, Dead)}, orphanTTL / 2, "last"},
		"expires after death":            {[]any{origin(1, Alive), synced(entry(1, 1, "last")), origin(1, Dead)}, orphanTTL, ""},
		"kept while its origin is alive": {[]any{synced(entry(1, 1, "on")), origin(1, Alive)}, 10 * orphanTTL, "on"},
		"unknown origin expires":         {[]any{synced(entry(1, 1, "on"))}, orphanTTL, ""},
		"of the router itself":           {[]any{synced(newEntry(self, testConfig, 9, []byte("forged")))}, 0, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := Gossip{Self: self}
			for _, message := range test.messages {
				g.Update(now, message)
			}
			g.Update(now.Add(test.after), Tick{})
			var text string
			for _, value := range g.Values(testConfig) {
				text += string(value.Body)
			}
			qt.Assert(t, text, qt.Equals, test.want)
		})
	}
}

func TestGossipRetriesPullFromNextAnnouncer(t *testing.T) {
	now := time.Unix(simStart, 0)
	g := Gossip{Self: Record{ID: "a"}}
	full := newEntry(Record{ID: "o"}, testConfig, 1, make([]byte, InlineShareBytes+1))
	pulls := g.Update(now, SyncCompleted{From: "b", Entries: []Entry{full.forWire()}}).Pulls
	qt.Assert(t, pulls, qt.HasLen, 1)
	qt.Assert(t, g.Update(now, SyncCompleted{From: "c", Entries: []Entry{full.forWire()}}).Pulls, qt.HasLen, 0)
	g.Update(now, PullCompleted{From: "b", Entry: full.forWire()})
	pulls = g.Update(now.Add(TickInterval), Tick{}).Pulls
	qt.Assert(t, pulls, qt.HasLen, 1)
	qt.Assert(t, pulls[0].From, qt.Equals, hitchfleet.InstanceID("c"))
	changed := g.Update(now, PullCompleted{From: "c", Entry: full}).Changed
	qt.Assert(t, changed, qt.HasLen, 1)
	qt.Assert(t, g.Update(now.Add(time.Hour), Tick{}).Pulls, qt.HasLen, 0)
}

// TestGossipVersionsNeverDecrease delivers values in random order and repeatedly. A
// stored value must only be replaced by a newer one, and the result must not depend
// on the order.
func TestGossipVersionsNeverDecrease(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) Entry {
		origin := Record{
			ID:          hitchfleet.InstanceID(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "origin")),
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		}
		topic := Topic{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "topic")}
		topic.Volatile = topic.Name == "y"
		version := rapid.Uint64Range(1, 4).Draw(t, "version")
		return newEntry(origin, topic, version, []byte{byte(origin.Incarnation), byte(version)})
	})
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(simStart, 0)
		entries := rapid.SliceOfN(draw, 1, 40).Draw(t, "entries")
		a, b := Gossip{Self: Record{ID: "a"}}, Gossip{Self: Record{ID: "a"}}
		last := make(map[shareKey]Entry)
		for _, entry := range entries {
			for _, value := range a.Update(now, SyncCompleted{From: "d", Entries: []Entry{entry}}).Changed {
				next := Entry{Origin: value.Origin, Topic: value.Topic.Name, Incarnation: value.Incarnation, Version: value.Version}
				if next.Compare(last[next.key()]) <= 0 {
					t.Fatalf("value %v replaced %v, which is as new or newer", next, last[next.key()])
				}
				last[next.key()] = next
			}
		}
		for _, i := range rapid.Permutation(indices(len(entries))).Draw(t, "order") {
			b.Update(now, PacketReceived{From: "e", Packet: Packet{Entries: entries[i : i+1]}})
		}
		same := func(x, y SharedValue) bool { return x.Version == y.Version && slices.Equal(x.Body, y.Body) }
		for _, topic := range []Topic{{Name: "x"}, {Name: "y", Volatile: true}} {
			if !slices.EqualFunc(a.Values(topic), b.Values(topic), same) {
				t.Fatalf("values differ by the order of delivery: %v and %v", a.Values(topic), b.Values(topic))
			}
		}
	})
}

// TestGossipConvergesAfterLoss shares values while packets are lost and regions may
// be partitioned. All routers must have the newest values within five minutes of the
// network's recovery.
func TestGossipConvergesAfterLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(7).withFullMembership()
		s.run(time.Second)
		s.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
		if rapid.Bool().Draw(t, "partition") {
			s.blocked = func(a, b Record) bool { return a.Region != b.Region }
		}
		want := make(map[hitchfleet.InstanceID][]byte)
		for range rapid.IntRange(1, 10).Draw(t, "values") {
			id := rapid.SampledFrom(s.ids).Draw(t, "origin")
			want[id] = make([]byte, rapid.SampledFrom([]int{1, 5, InlineShareBytes + 1}).Draw(t, "size"))
			want[id][0] = rapid.Byte().Draw(t, "content")
			s.updateGossip(s.nodes[id], Publish{Topic: testConfig, Body: want[id]})
			s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		s.loss = 0
		s.blocked = func(Record, Record) bool { return false }
		_, ok := s.runUntil(5*time.Minute, func() bool {
			for _, n := range s.nodes {
				values := n.gossip.Values(testConfig)
				for _, value := range values {
					if !bytes.Equal(value.Body, want[value.Origin]) {
						return false
					}
				}
				if len(values) != len(want) {
					return false
				}
			}
			return true
		})
		if !ok {
			t.Fatal("the routers have different values")
		}
	})
}
