package hitchpeer

import (
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	qt "github.com/frankban/quicktest"
)

func TestLinksEvictLeastRecentlyUsed(t *testing.T) {
	now := time.Unix(simStart, 0)
	var all links
	add := func(id hitchfleet.InstanceID, idleTime time.Duration, calls int) {
		l := &link{peer: Record{ID: id}}
		l.watch = linkWatch{lastUsedAt: now.Add(-idleTime), calls: calls}
		all.add(l)
	}
	add("busy", time.Hour, 1)
	add("oldest", time.Minute, 0)
	add("old", 30*time.Second, 0)
	add("probed", time.Second, 0)
	tests := map[string]struct {
		limit int
		want  []hitchfleet.InstanceID
	}{
		"enough room": {4, nil},
		"one over":    {3, []hitchfleet.InstanceID{"oldest"}},
		"no room":     {0, []hitchfleet.InstanceID{"oldest", "old"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var ids []hitchfleet.InstanceID
			for _, l := range all.evictable(test.limit, now) {
				ids = append(ids, l.id())
			}
			qt.Assert(t, ids, qt.DeepEquals, test.want)
		})
	}
}

func TestLinksDelayRedialAfterFailure(t *testing.T) {
	now := time.Unix(simStart, 0)
	var all links
	key := dialKey{to: "a", addr: "10.0.0.1:7000"}
	qt.Assert(t, all.isDialAllowed(key, now), qt.IsTrue)
	all.delayRedial(key, now.Add(dialRetryInterval))
	qt.Assert(t, all.isDialAllowed(key, now), qt.IsFalse)
	qt.Assert(t, all.isDialAllowed(dialKey{to: "a", addr: "10.0.0.2:7000"}, now), qt.IsTrue)
	qt.Assert(t, all.isDialAllowed(key, now.Add(dialRetryInterval)), qt.IsTrue)
}

func TestLinksPreferNewest(t *testing.T) {
	now := time.Unix(simStart, 0)
	var all links
	old := &link{peer: Record{ID: "a"}, openedAt: now.Add(time.Hour).UnixNano()}
	all.add(old)
	// openedAt of the new link must be higher although its clock is an hour behind.
	newest := &link{peer: Record{ID: "a"}, openedAt: all.nextOpenedAt("a", now)}
	all.add(newest)
	qt.Assert(t, all.get("a"), qt.Equals, newest)
	all.remove(newest)
	qt.Assert(t, all.get("a"), qt.Equals, old)
}
