package hitchconfig

import (
	"math"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// minWatchers is how many routers hold a watch in a small fleet.
const minWatchers = 2

// WatcherCount returns how many of n routers hold a watch on the store:
// max(2, ceil(sqrt(n)/2)), and no more than n. It is 2 at 7 and 14 routers, 3 at
// 28 and 10 at 390, so that the store's calls grow more slowly than the fleet.
func WatcherCount(n int) int {
	return min(n, max(minWatchers, int(math.Ceil(math.Sqrt(float64(n))/2))))
}

// Watchers returns the routers that hold a watch, by rendezvous hashing over the
// live ones. While there are enough availability zones, no two are in one zone.
// Routers that disagree about who is live hold a few watches too many or, until
// the next change, too few; the reads of the others bridge that.
func Watchers(live []hitchfleet.Instance) []hitchfleet.InstanceID {
	want := WatcherCount(len(live))
	order := hitchfleet.Rank(nil, hitchfleet.KeyOf("watchers"), live, hitchfleet.Instance.Key)
	var all []hitchfleet.InstanceID
	for len(all) < want {
		taken := make(map[hitchfleet.AvailabilityZone]bool)
		for _, r := range order {
			i := r.Candidate
			if len(all) < want && !taken[i.Zone] && !slices.Contains(all, i.ID) {
				taken[i.Zone] = true
				all = append(all, i.ID)
			}
		}
	}
	return all
}

// IsWatcher tells whether a router holds a watch.
func IsWatcher(self hitchfleet.InstanceID, live []hitchfleet.Instance) bool {
	return slices.Contains(Watchers(live), self)
}
