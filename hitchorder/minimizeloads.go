package hitchorder

import (
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// MinimizeLoads swaps the desired versions among the engines of a route, so that
// engines keep the versions that they hold and load as few as possible. The number of
// engines for each version stays the same. Without it, two engines that each hold
// the last copy of the other's desired version would block each other.
func MinimizeLoads(desired []Desired, observed []Observed) []Desired {
	desired = slices.Clone(desired)
	seen := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	routes := make(map[hitchfleet.RouteID][]int)
	for i, d := range desired {
		if held, _ := seen[d.Endpoint.ID].versionState(d.Version); !held {
			routes[d.Endpoint.Route] = append(routes[d.Endpoint.Route], i)
		}
	}
	for _, indices := range routes {
		minimizeRouteLoads(desired, indices, seen)
	}
	return desired
}

// minimizeRouteLoads swaps versions among the engines that don't hold their desired
// version. indices are the indices of these engines in desired.
func minimizeRouteLoads(desired []Desired, indices []int, seen map[hitchfleet.EndpointID]Observed) {
	for _, i := range indices {
		for _, j := range indices {
			mine, theirs := desired[i].Version, desired[j].Version
			holdsTheirs, _ := seen[desired[i].Endpoint.ID].versionState(theirs)
			otherHoldsTheirs, _ := seen[desired[j].Endpoint.ID].versionState(theirs)
			holdsMine, _ := seen[desired[i].Endpoint.ID].versionState(mine)
			if holdsTheirs && !otherHoldsTheirs && !holdsMine {
				desired[i].Version, desired[j].Version = theirs, mine
			}
		}
	}
}
