package hitchconfig

import (
	"cmp"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Assignment is the model version and adapters that an engine should serve.
type Assignment struct {
	Endpoint hitchfleet.EndpointID
	Route    hitchfleet.RouteID
	Version  string
	Adapters []string
}

// Assign assigns a version to each engine of each engine route. The number of
// engines per version follows the weights by the largest remainder method; each
// version with a weight above 0 gets at least one engine while there are enough.
// Drained engines keep their assignment, so that no engine reloads when a zone
// is taken out of service and returned. The engines are ranked by rendezvous
// hashing and each version gets a consecutive range of that ranking, so that a
// change of weights reassigns only engines at the boundaries of the ranges.
func (c Configuration) Assign(endpoints []hitchfleet.Endpoint) []Assignment {
	byRoute := make(map[hitchfleet.RouteID][]hitchfleet.Endpoint)
	for _, e := range endpoints {
		if e.Kind == hitchfleet.KindEngine && !e.Leaving {
			byRoute[e.Route] = append(byRoute[e.Route], e)
		}
	}
	var assignments []Assignment
	for _, r := range c.Routes {
		if r.Kind == EngineRoute {
			assignments = append(assignments, r.assign(byRoute[r.ID])...)
		}
	}
	return assignments
}

func (r Route) assign(engines []hitchfleet.Endpoint) []Assignment {
	ranked := hitchfleet.Rank(nil, hitchfleet.KeyOf("version", string(r.ID)), engines, hitchfleet.Endpoint.Key)
	quotas := r.quotas(len(ranked))
	assignments := make([]Assignment, 0, len(ranked))
	next := 0
	for _, q := range quotas {
		for range q.engines {
			e := ranked[next].Candidate
			assignments = append(assignments, Assignment{Endpoint: e.ID, Route: r.ID, Version: q.version, Adapters: r.Adapters})
			next++
		}
	}
	slices.SortFunc(assignments, func(a, b Assignment) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return assignments
}

// quota is the number of engines that a version gets.
type quota struct {
	version   string
	engines   int
	remainder int
	weight    int
}

// quotas splits n engines among the versions with a weight above 0, in the order
// of the versions, so that changing the weights of two adjacent versions only
// moves engines between these two.
func (r Route) quotas(n int) []quota {
	total := r.totalWeight()
	var all []quota
	for _, v := range r.Versions {
		if v.Weight > 0 {
			all = append(all, quota{v.Name, n * v.Weight / total, n * v.Weight % total, v.Weight})
		}
	}
	for _, i := range largestRemainders(all, n) {
		all[i].engines++
	}
	for i := range all {
		if all[i].engines > 0 {
			continue
		}
		largest := mostEngines(all)
		if all[largest].engines > 1 {
			all[largest].engines--
			all[i].engines++
		}
	}
	return all
}

// largestRemainders returns the indices of the quotas that get one of the engines
// left over by rounding down.
func largestRemainders(all []quota, n int) []int {
	left := n
	indices := make([]int, len(all))
	for i, q := range all {
		left -= q.engines
		indices[i] = i
	}
	slices.SortStableFunc(indices, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[b].remainder, all[a].remainder), cmp.Compare(all[b].weight, all[a].weight))
	})
	return indices[:min(left, len(indices))]
}

func mostEngines(all []quota) int {
	best := 0
	for i, q := range all {
		if q.engines > all[best].engines {
			best = i
		}
	}
	return best
}
