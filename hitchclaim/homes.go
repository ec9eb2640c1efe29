package hitchclaim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// minHomes is the least number of homes in a region that has as many routers.
	minHomes = 3
	// JournalWritesPerSecond bounds the journal writes of the whole fleet.
	JournalWritesPerSecond = 200
	// minCommitInterval bounds the journal's bytes of one home: 10 writes a second of
	// about half of DefaultSegmentBytes.
	minCommitInterval = 100 * time.Millisecond
)

// Homes returns the routers that keys are minted for: in each region
// max(3, ceil(sqrt(n))) of its n live routers, spread over the availability
// zones in turn, in rendezvous order. Leaving routers are left out. The writes of
// journals grow with the number of homes, so they grow with the square root of
// the fleet.
//
//	homes := hitchclaim.Homes(live)
//	interval := hitchclaim.CommitInterval(len(homes))
//	home := hitchclaim.PickHome(homes, region, seed)
func Homes(live []hitchfleet.Instance) []hitchfleet.Instance {
	staying := lo.Reject(live, func(i hitchfleet.Instance, _ int) bool { return i.Leaving })
	byRegion := lo.GroupBy(staying, func(i hitchfleet.Instance) hitchfleet.Region { return i.Region })
	regions := lo.Keys(byRegion)
	slices.Sort(regions)
	var homes []hitchfleet.Instance
	for _, region := range regions {
		homes = append(homes, regionHomes(region, byRegion[region])...)
	}
	return homes
}

func regionHomes(region hitchfleet.Region, routers []hitchfleet.Instance) []hitchfleet.Instance {
	seed := hitchfleet.KeyOf("homes", string(region))
	byZone := lo.GroupBy(routers, func(i hitchfleet.Instance) hitchfleet.AvailabilityZone { return i.Zone })
	zones := lo.Keys(byZone)
	slices.Sort(zones)
	queues := lo.Map(zones, func(zone hitchfleet.AvailabilityZone, _ int) []hitchfleet.Ranked[hitchfleet.Instance] {
		return hitchfleet.Rank(nil, seed, byZone[zone], hitchfleet.Instance.Key)
	})
	// The zone with the best router comes first in each turn.
	slices.SortStableFunc(queues, func(a, b []hitchfleet.Ranked[hitchfleet.Instance]) int {
		return cmp.Compare(b[0].Score, a[0].Score)
	})
	inTurn := lo.Interleave(queues...)
	want := max(minHomes, int(math.Ceil(math.Sqrt(float64(len(routers))))))
	return lo.Map(inTurn[:min(want, len(inTurn))], func(r hitchfleet.Ranked[hitchfleet.Instance], _ int) hitchfleet.Instance {
		return r.Candidate
	})
}

// PickHome returns the home for a seed, such as a chat's key, among the homes of
// the region, or among all where the region has none. It returns false if there
// are no homes.
func PickHome(homes []hitchfleet.Instance, region hitchfleet.Region, seed hitchfleet.Key) (home hitchfleet.Instance, ok bool) {
	near := lo.Filter(homes, func(i hitchfleet.Instance, _ int) bool { return i.Region == region })
	if len(near) == 0 {
		near = homes
	}
	if len(near) == 0 {
		return hitchfleet.Instance{}, false
	}
	return hitchfleet.Rank(nil, seed, near, hitchfleet.Instance.Key)[0].Candidate, true
}

// CommitInterval returns the least time between two journal writes of one home:
// max(100 ms, homes / JournalWritesPerSecond). With every home writing at its
// fastest, the fleet makes at most JournalWritesPerSecond writes. A booking that
// comes later than that after the last write is committed at once.
func CommitInterval(homes int) time.Duration {
	return max(minCommitInterval, time.Duration(homes)*time.Second/JournalWritesPerSecond)
}
