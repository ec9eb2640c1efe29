package hitchorder

import (
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Settle lets engines keep what they hold: within a route it exchanges the
// versions that engines shall serve, so that as few as possible are loaded. How
// many engines shall serve each version stays the same. Without it two engines
// that each hold the last copy of the other's version would block each other.
func Settle(desired []Desired, observed []Observed) []Desired {
	desired = slices.Clone(desired)
	seen := lo.KeyBy(observed, func(o Observed) hitchfleet.EndpointID { return o.Endpoint })
	routes := make(map[hitchfleet.RouteID][]int)
	for i, d := range desired {
		if held, _ := seen[d.Endpoint.ID].has(d.Version); !held {
			routes[d.Endpoint.Route] = append(routes[d.Endpoint.Route], i)
		}
	}
	for _, places := range routes {
		settleRoute(desired, places, seen)
	}
	return desired
}

// settleRoute exchanges versions among the engines that don't hold their own.
func settleRoute(desired []Desired, places []int, seen map[hitchfleet.EndpointID]Observed) {
	for _, i := range places {
		for _, j := range places {
			mine, theirs := desired[i].Version, desired[j].Version
			wants, _ := seen[desired[i].Endpoint.ID].has(theirs)
			keeps, _ := seen[desired[j].Endpoint.ID].has(theirs)
			has, _ := seen[desired[i].Endpoint.ID].has(mine)
			if wants && !keeps && !has {
				desired[i].Version, desired[j].Version = theirs, mine
			}
		}
	}
}
