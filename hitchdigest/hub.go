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

// Hubs returns the instances of a region that are hubs. It prefers those with the
// fastest links, because a hub sends every change to all other instances, and
// ranks equal links by rendezvous hashing. Instances with the same view of the
// fleet choose the same hubs.
func Hubs(instances []hitchfleet.Instance) []hitchfleet.Instance {
	candidates := rankCandidates(instances)
	var hubs, others []hitchfleet.Instance
	for _, c := range candidates {
		sameZone := slices.ContainsFunc(hubs, func(h hitchfleet.Instance) bool { return h.Zone == c.Zone })
		if len(hubs) < hubCount && !sameZone {
			hubs = append(hubs, c.Instance)
		} else if len(others) < hubCount {
			others = append(others, c.Instance)
		}
	}
	missing := min(max(hubCount-len(hubs), 0), len(others))
	return append(hubs, others[:missing]...)
}

// candidate is an instance that may become a hub, with its rendezvous score.
type candidate struct {
	hitchfleet.Instance
	score uint64
}

// rankCandidates returns the instances in the order in which they are chosen as
// hubs.
func rankCandidates(instances []hitchfleet.Instance) []candidate {
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
	return ranked
}
