package hitchorigin

import (
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// homeCount is the number of instances with which the origin of a stream is shared. Two
// of them may be lost together with the one that began the stream.
const homeCount = 3

// askAllCount is the number of other instances up to which all are asked: the one that
// began the stream may be alive, and each of the others has a part of the origins.
const askAllCount = 8

// Homes returns the instances with which the instance self shares the origin of a stream:
// the first others in the rendezvous order of its key. They aren't all in one zone if
// there are others.
func Homes(stream hitchfleet.Key, instances []hitchfleet.Instance, self hitchfleet.InstanceID) []hitchfleet.Instance {
	order := rank(stream, instances, self)
	homes := slices.Clone(order[:min(homeCount, len(order))])
	if other := firstInOtherZone(order, homes); other >= 0 {
		homes[homeCount-1] = order[other]
	}
	return homes
}

// AskedHomes returns the instances that may have the origin of a stream that began at
// another instance than self. In a large fleet they are one more than its homes, as the
// instance where it began may be among the first.
func AskedHomes(stream hitchfleet.Key, instances []hitchfleet.Instance, self hitchfleet.InstanceID) []hitchfleet.Instance {
	order := rank(stream, instances, self)
	if len(order) <= askAllCount {
		return order
	}
	asked := slices.Clone(order[:homeCount+1])
	if other := firstInOtherZone(order, asked[:homeCount]); other > homeCount {
		asked = append(asked, order[other])
	}
	return asked
}

// rank returns the instances but self in the rendezvous order of a stream.
func rank(stream hitchfleet.Key, instances []hitchfleet.Instance, self hitchfleet.InstanceID) []hitchfleet.Instance {
	ranked := hitchfleet.Rank(nil, stream, instances, hitchfleet.Instance.Key)
	order := make([]hitchfleet.Instance, 0, len(ranked))
	for _, r := range ranked {
		if r.Candidate.ID != self {
			order = append(order, r.Candidate)
		}
	}
	return order
}

// firstInOtherZone returns the index of the first instance that isn't in the zone of the
// homes, or -1 if they are in several zones or no instance is in another.
func firstInOtherZone(order, homes []hitchfleet.Instance) int {
	if len(homes) < homeCount {
		return -1
	}
	isElsewhere := func(i hitchfleet.Instance) bool { return i.Zone != homes[0].Zone }
	if slices.ContainsFunc(homes, isElsewhere) {
		return -1
	}
	return slices.IndexFunc(order, isElsewhere)
}
