package hitchdigest

import (
	"cmp"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// hubCount is how many hubs there are, in different zones if there are several.
const hubCount = 2

// hubKey is the key of the rendezvous order that hubs are taken from.
var hubKey = hitchfleet.KeyOf("hub")

// InRegion returns the instances of one region. Each region has hubs of its own,
// so that what a hub sends grows with its region and not with the fleet.
func InRegion(instances []hitchfleet.Instance, region hitchfleet.Region) []hitchfleet.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i hitchfleet.Instance) bool { return i.Region != region })
}

// Hubs returns the instances of a region that are hubs: those with the fastest links, in
// rendezvous order, as a hub sends every change to all others. Instances that know
// the same fleet name the same hubs.
func Hubs(instances []hitchfleet.Instance) []hitchfleet.Instance {
	order := ranked(instances)
	var hubs, rest []hitchfleet.Instance
	for _, c := range order {
		sameZone := slices.ContainsFunc(hubs, func(h hitchfleet.Instance) bool { return h.Zone == c.Zone })
		if len(hubs) < hubCount && !sameZone {
			hubs = append(hubs, c.Instance)
		} else if len(rest) < hubCount {
			rest = append(rest, c.Instance)
		}
	}
	missing := min(max(hubCount-len(hubs), 0), len(rest))
	return append(hubs, rest[:missing]...)
}

// candidate is an instance that may be a hub, with its place in the order.
type candidate struct {
	hitchfleet.Instance
	score uint64
}

// ranked returns instances in the order in which they become hubs.
func ranked(instances []hitchfleet.Instance) []candidate {
	order := make([]candidate, len(instances))
	for n, i := range instances {
		order[n] = candidate{i, hitchfleet.Score(hubKey, i.Key())}
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.LinkMegabits, a.LinkMegabits),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return order
}
