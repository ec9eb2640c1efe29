package hitchdigest

import (
	"cmp"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// hubCount is the number of hubs in a region. They are in different availability
// zones if there are several.
const hubCount = 2

// hubRankingKey is the rendezvous hashing key that ranks instances as hubs.
var hubRankingKey = hitchfleet.KeyOf("hub")

// InRegion returns the instances of a region. Each region has its own hubs, so
// that the traffic of a hub grows with its region and not with the whole fleet.
func InRegion(instances []hitchfleet.Instance, region hitchfleet.Region) []hitchfleet.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i hitchfleet.Instance) bool { return i.Region != region })
}

// Rank returns the instances of a region in the order in which they become hubs.
// Those with the fastest links come first, because a hub sends every change to all
// other instances; equal links are ranked by rendezvous hashing. Instances with the
// same view of the fleet get the same order.
func Rank(instances []hitchfleet.Instance) []hitchfleet.Instance {
	type candidate struct {
		hitchfleet.Instance
		score uint64
	}
	ranked := make([]candidate, len(instances))
	for n, i := range instances {
		ranked[n] = candidate{i, hitchfleet.Score(hubRankingKey, i.Key())}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.LinkMegabits, a.LinkMegabits),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.ID, b.ID),
		)
	})
	out := make([]hitchfleet.Instance, len(ranked))
	for n, c := range ranked {
		out[n] = c.Instance
	}
	return out
}

// Hubs returns the first ranked instances that are hubs, from different availability
// zones if possible.
func Hubs(ranked []hitchfleet.Instance) []hitchfleet.Instance {
	var hubs, others []hitchfleet.Instance
	for _, i := range ranked {
		sameZone := slices.ContainsFunc(hubs, func(h hitchfleet.Instance) bool { return h.Zone == i.Zone })
		if len(hubs) < hubCount && !sameZone {
			hubs = append(hubs, i)
		} else if len(others) < hubCount {
			others = append(others, i)
		}
	}
	missing := min(max(hubCount-len(hubs), 0), len(others))
	return append(hubs, others[:missing]...)
}
