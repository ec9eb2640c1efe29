package hitchconfig

import (
	"math"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// minWatchers is the number of routers that hold a watch in a small fleet.
const minWatchers = 2

// WatcherCount returns how many of n routers hold a watch on the store:
// max(2, ceil(sqrt(n)/2)), but at most n. It is 2 for 7 and 14 routers, 3 for 28
// and 10 for 390, so that the number of store calls grows more slowly than the fleet.
func WatcherCount(n int) int {
	return min(n, max(minWatchers, int(math.Ceil(math.Sqrt(float64(n))/2))))
}

// Watchers returns the routers that hold a watch, chosen by rendezvous hashing among
// the live routers. No two are in the same availability zone while there are enough
// zones. While routers disagree about which routers are live, there may be a few
// watches too many or too few; the periodic reads of the other routers make up for
// missing ones.
func Watchers(live []hitchfleet.Instance) []hitchfleet.InstanceID {
	count := WatcherCount(len(live))
	ranked := hitchfleet.Rank(nil, hitchfleet.KeyOf("watchers"), live, hitchfleet.Instance.Key)
	var watchers []hitchfleet.InstanceID
	for len(watchers) < count {
		usedZones := make(map[hitchfleet.AvailabilityZone]bool)
		for _, r := range ranked {
			i := r.Candidate
			if len(watchers) < count && !usedZones[i.Zone] && !slices.Contains(watchers, i.ID) {
				usedZones[i.Zone] = true
				watchers = append(watchers, i.ID)
			}
		}
	}
	return watchers
}

// IsWatcher reports whether a router holds a watch.
func IsWatcher(self hitchfleet.InstanceID, live []hitchfleet.Instance) bool {
	return slices.Contains(Watchers(live), self)
}
