package hitchplace

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

func routers(n int) []hitchfleet.Instance {
	all := make([]hitchfleet.Instance, n)
	for i := range all {
		all[i] = hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprintf("router-%d", i)), Region: "se-south", Zone: zone(i)}
	}
	return all
}

func TestAddressesSpanZones(t *testing.T) {
	r := NewRouters(routers(8), nil)
	got := r.Addresses(nil, ChatKey("aquarium", "1"), "", zone(1), start)
	qt.Assert(t, got.Routers, qt.HasLen, 3)
	zones := map[hitchfleet.AvailabilityZone]bool{}
	for _, i := range got.Routers {
		zones[i.Zone] = true
	}
	qt.Assert(t, zones, qt.HasLen, 3)
	qt.Assert(t, got.ExpiresAt, qt.Equals, start.Add(AddressTTL))
	home, ok := r.Home(ChatKey("aquarium", "1"), "se-south")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, home, qt.Equals, got.Routers[0])
}

func TestAddressesWithFewRouters(t *testing.T) {
	tests := map[string]struct {
		live              []hitchfleet.Instance
		zonesOutOfService []hitchfleet.AvailabilityZone
		want              int
	}{
		"none":                     {nil, nil, 0},
		"one":                      {routers(1), nil, 1},
		"all zones out of service": {routers(3), []hitchfleet.AvailabilityZone{zone(0), zone(1), zone(2)}, 3},
		"one zone left":            {routers(6), []hitchfleet.AvailabilityZone{zone(0), zone(1)}, 2},
		"unknown region":           {[]hitchfleet.Instance{{ID: "a", Region: "kr-central"}}, nil, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := NewRouters(test.live, test.zonesOutOfService).Addresses(nil, 7, "se-south", "", start)
			qt.Assert(t, got.Routers, qt.HasLen, test.want)
		})
	}
}

func TestRouterLossMovesOnlyItsOwnChats(t *testing.T) {
	const chats = 8000
	all := routers(8)
	before, after := NewRouters(all, nil), NewRouters(all[1:], nil)
	counts := map[hitchfleet.InstanceID]int{}
	for i := range chats {
		key := ChatKey("aquarium", fmt.Sprint(i))
		homeBefore := before.Addresses(nil, key, "se-south", "", start).Routers[0]
		homeAfter := after.Addresses(nil, key, "se-south", "", start).Routers[0]
		counts[homeBefore.ID]++
		if homeBefore.ID != all[0].ID {
			qt.Assert(t, homeAfter, qt.Equals, homeBefore)
		}
	}
	for id, n := range counts {
		qt.Assert(t, n > chats/8*9/10 && n < chats/8*11/10, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
}

func TestAddressesExcludeLeavingRouters(t *testing.T) {
	all := routers(8)
	all[3].Leaving = true
	r := NewRouters(all, []hitchfleet.AvailabilityZone{zone(1)})
	for i := range 500 {
		for _, got := range r.Addresses(nil, hitchfleet.Key(i), "se-south", "", start).Routers {
			qt.Assert(t, got.ID != all[3].ID && got.Zone != zone(1), qt.IsTrue)
		}
	}
}

func TestDirectoryIsBounded(t *testing.T) {
	d := Directory{MaxChats: 160}
	for i := range 1000 {
		d.Put(start, ChatKey("aquarium", fmt.Sprint(i)), engineID(i%5), 100)
	}
	qt.Assert(t, d.Len() <= 160, qt.IsTrue)
	_, ok := d.Get(start, ChatKey("aquarium", "999"))
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = d.Get(start, ChatKey("aquarium", "0"))
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = d.Get(start, ChatKey("studio", "999"))
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = d.Get(start.Add(EntryTTL+time.Second), ChatKey("aquarium", "999"))
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, d.RecentChats(nil, engineID(4), start, 5), qt.HasLen, 5)
	d.Delete(ChatKey("aquarium", "999"))
	_, ok = d.Get(start, ChatKey("aquarium", "999"))
	qt.Assert(t, ok, qt.IsFalse)
}

func TestEvictionCutoffMatchesCacheAge(t *testing.T) {
	second := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tests := map[string]struct {
		seq     func(i int) (seq uint64, seen bool)
		lastUse bool
	}{
		"all events":              {func(i int) (uint64, bool) { return uint64(i + 1), true }, false},
		"every third event":       {func(i int) (uint64, bool) { return uint64(i + 1), i%6 < 2 }, false},
		"evictions with last use": {func(int) (uint64, bool) { return 0, true }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var evictions EvictionTracker
			// 100 tokens are stored per second and evicted 120 s later.
			for i := range 2000 {
				seq, seen := test.seq(i)
				s := i / 2
				ev := CacheEvent{Endpoint: "e", Seq: seq, At: second(s), Kind: CacheStored, Tokens: 100}
				if i%2 == 1 {
					ev.Kind = CacheEvicted
					if ev.Tokens = 100; s < 120 {
						ev.Tokens = 0
					}
					if test.lastUse && s >= 120 {
						ev.LastUse = second(s - 120)
					}
				}
				if seen {
					evictions.Observe(ev)
				}
			}
			cutoff, ok := evictions.EvictionCutoff(second(1000), "e")
			qt.Assert(t, ok, qt.IsTrue)
			age := second(1000).Sub(cutoff).Seconds()
			qt.Assert(t, age > 90 && age < 150, qt.IsTrue, qt.Commentf("%v", age))
		})
	}
}
