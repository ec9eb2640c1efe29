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
	// minHomesPerRegion is the minimum number of homes in a region, provided that the
	// region has as many routers.
	minHomesPerRegion = 3
	// JournalWritesPerSecond is the maximum rate of journal writes of the whole
	// fleet.
	JournalWritesPerSecond = 200
	// minCommitInterval limits the journal traffic of one home to 10 writes a second,
	// each of about half of DefaultSegmentBytes.
	minCommitInterval = 100 * time.Millisecond
)

// Homes returns the routers that may become the home of new keys: in each region
// max(3, ceil(sqrt(n))) of its n live routers, taken from its availability zones in
// turn (round robin), in rendezvous order within a zone. Leaving routers are
// excluded. The rate of journal writes is proportional to the number of homes, so
// that it grows only with the square root of the fleet.
//
//	homes := hitchclaim.Homes(live)
//	interval := hitchclaim.CommitInterval(len(homes))
//	home := hitchclaim.PickHome(homes, region, seed)
func Homes(live []hitchfleet.Instance) []hitchfleet.Instance {
	notLeaving := lo.Reject(live, func(i hitchfleet.Instance, _ int) bool { return i.Leaving })
	byRegion := lo.GroupBy(notLeaving, func(i hitchfleet.Instance) hitchfleet.Region { return i.Region })
	regions := lo.Keys(byRegion)
	slices.Sort(regions)
	var homes []hitchfleet.Instance
	for _, region := range regions {
		homes = append(homes, selectRegionHomes(region, byRegion[region])...)
	}
	return homes
}

func selectRegionHomes(region hitchfleet.Region, routers []hitchfleet.Instance) []hitchfleet.Instance {
	seed := hitchfleet.KeyOf("homes", string(region))
	byZone := lo.GroupBy(routers, func(i hitchfleet.Instance) hitchfleet.AvailabilityZone { return i.Zone })
	zones := lo.Keys(byZone)
	slices.Sort(zones)
	queues := lo.Map(zones, func(zone hitchfleet.AvailabilityZone, _ int) []hitchfleet.Ranked[hitchfleet.Instance] {
		return hitchfleet.Rank(nil, seed, byZone[zone], hitchfleet.Instance.Key)
	})
	// The zone whose best router has the highest score comes first in each round.
	slices.SortStableFunc(queues, func(a, b []hitchfleet.Ranked[hitchfleet.Instance]) int {
		return cmp.Compare(b[0].Score, a[0].Score)
	})
	interleaved := lo.Interleave(queues...)
	count := max(minHomesPerRegion, int(math.Ceil(math.Sqrt(float64(len(routers))))))
	return lo.Map(interleaved[:min(count, len(interleaved))], func(r hitchfleet.Ranked[hitchfleet.Instance], _ int) hitchfleet.Instance {
		return r.Candidate
	})
}

// PickHome returns the home with the highest rendezvous score for a seed, such as a
// chat's key, among the homes of the region, or among all homes if the region has
// none. It returns false if there are no homes.
func PickHome(homes []hitchfleet.Instance, region hitchfleet.Region, seed hitchfleet.Key) (home hitchfleet.Instance, ok bool) {
	candidates := lo.Filter(homes, func(i hitchfleet.Instance, _ int) bool { return i.Region == region })
	if len(candidates) == 0 {
		candidates = homes
	}
	if len(candidates) == 0 {
		return hitchfleet.Instance{}, false
	}
	return hitchfleet.Rank(nil, seed, candidates, hitchfleet.Instance.Key)[0].Candidate, true
}

// CommitInterval returns the minimum time between two journal writes of one home:
// max(100 ms, homes / JournalWritesPerSecond). Even if every home writes at its
// maximum rate, the fleet makes at most JournalWritesPerSecond writes a second. A
// booking that arrives when this interval has passed since the last write is
// committed at once.
func CommitInterval(homes int) time.Duration {
	return max(minCommitInterval, time.Duration(homes)*time.Second/JournalWritesPerSecond)
}
