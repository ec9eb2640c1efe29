package hitchconfig

import (
	"cmp"
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Assignment is what an engine shall serve.
type Assignment struct {
	Endpoint hitchfleet.EndpointID
	Route    hitchfleet.RouteID
	Version  string
	Adapters []string
}

// Assign gives each engine of each engine route a version, so that the versions
// have engines by their weights (largest remainder, and at least one engine
// for each weight above 0 while there are enough). Engines that are drained
// keep their place, so that a zone that leaves and returns reloads nothing.
// The versions take consecutive stretches of one rendezvous order, so that a
// change of weights moves only the engines at the ends of the stretches.
func (c Configuration) Assign(endpoints []hitchfleet.Endpoint) []Assignment {
	byRoute := make(map[hitchfleet.RouteID][]hitchfleet.Endpoint)
	for _, e := range endpoints {
		if e.Kind == hitchfleet.KindEngine && !e.Leaving {
			byRoute[e.Route] = append(byRoute[e.Route], e)
		}
	}
	var all []Assignment
	for _, r := range c.Routes {
		if r.Kind == EngineRoute {
			all = append(all, r.assign(byRoute[r.ID])...)
		}
	}
	return all
}

func (r Route) assign(engines []hitchfleet.Endpoint) []Assignment {
	order := hitchfleet.Rank(nil, hitchfleet.KeyOf("version", string(r.ID)), engines, hitchfleet.Endpoint.Key)
	quota := r.quotas(len(order))
	all := make([]Assignment, 0, len(order))
	next := 0
	for _, q := range quota {
		for range q.engines {
			e := order[next].Candidate
			all = append(all, Assignment{Endpoint: e.ID, Route: r.ID, Version: q.version, Adapters: r.Adapters})
			next++
		}
	}
	slices.SortFunc(all, func(a, b Assignment) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// quota is how many engines a version has.
type quota struct {
	version   string
	engines   int
	remainder int
	weight    int
}

// quotas splits n engines over the versions with a weight, in the versions'
// order, so that a change of two neighbours' weights moves the engines between
// them alone.
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
		giver := mostEngines(all)
		if all[giver].engines > 1 {
			all[giver].engines--
			all[i].engines++
		}
	}
	return all
}

// largestRemainders returns the places that get one of the engines left over.
func largestRemainders(all []quota, n int) []int {
	left := n
	places := make([]int, len(all))
	for i, q := range all {
		left -= q.engines
		places[i] = i
	}
	slices.SortStableFunc(places, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[b].remainder, all[a].remainder), cmp.Compare(all[b].weight, all[a].weight))
	})
	return places[:min(left, len(places))]
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
