package hitchpeer

import (
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	qt "github.com/frankban/quicktest"
)

func TestLinksCloseThoseUsedLongestAgo(t *testing.T) {
	now := time.Unix(simStart, 0)
	var all links
	add := func(id hitchfleet.InstanceID, usedBefore time.Duration, calls int) {
		l := &link{peer: Record{ID: id}}
		l.watch = linkWatch{usedAt: now.Add(-usedBefore), calls: calls}
		all.add(l)
	}
	add("busy", time.Hour, 1)
	add("oldest", time.Minute, 0)
	add("old", 30*time.Second, 0)
	add("probed", time.Second, 0)
	tests := map[string]struct {
		most int
		want []hitchfleet.InstanceID
	}{
		"enough room": {4, nil},
		"one over":    {3, []hitchfleet.InstanceID{"oldest"}},
		"no room":     {0, []hitchfleet.InstanceID{"oldest", "old"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var ids []hitchfleet.InstanceID
			for _, l := range all.leastUsed(test.most, now) {
				ids = append(ids, l.id())
			}
			qt.Assert(t, ids, qt.DeepEquals, test.want)
		})
	}
}

func TestLinksHoldBackPackets(t *testing.T) {
	now := time.Unix(simStart, 0)
	var all links
	key := dialKey{to: "a", addr: "10.0.0.1:7000"}
	qt.Assert(t, all.mayDial(key, now), qt.IsTrue)
	all.dialFailed(key, now.Add(dialRetrySpacing))
	qt.Assert(t, all.mayDial(key, now), qt.IsFalse)
	qt.Assert(t, all.mayDial(dialKey{to: "a", addr: "10.0.0.2:7000"}, now), qt.IsTrue)
	qt.Assert(t, all.mayDial(key, now.Add(dialRetrySpacing)), qt.IsTrue)
}

func TestLinksPreferTheYoungest(t *testing.T) {
	now := time.Unix(simStart, 0)
	var all links
	old := &link{peer: Record{ID: "a"}, born: now.Add(time.Hour).UnixNano()}
	all.add(old)
	// The birth of a new link is above all others, though a clock is behind.
	young := &link{peer: Record{ID: "a"}, born: all.nextBorn("a", now)}
	all.add(young)
	qt.Assert(t, all.get("a"), qt.Equals, young)
	all.remove(young)
	qt.Assert(t, all.get("a"), qt.Equals, old)
}
