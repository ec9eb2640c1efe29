package hitchconfig

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// FleetView is the state of the fleet that a plan is based on.
type FleetView struct {
	Endpoints []EndpointLoad
}

// EndpointLoad is an endpoint with its load.
type EndpointLoad struct {
	Endpoint hitchfleet.Endpoint
	// Requests is the number of running requests.
	Requests int
	// Capacity is the maximum number of concurrent requests; 0 means unknown.
	Capacity int
}

// Move is load of a route that shifts from one availability zone to another.
type Move struct {
	Route    hitchfleet.RouteID
	From     hitchfleet.AvailabilityZone
	To       hitchfleet.AvailabilityZone
	Requests int
}

// String returns the move as one line of a plan.
func (m Move) String() string {
	return fmt.Sprintf("%s: %d requests from %s to %s", m.Route, m.Requests, m.From, m.To)
}

// WarningKind identifies the kind of a warning for programs.
type WarningKind string

// The kinds of warnings.
const (
	WarnNoEndpoint   WarningKind = "NoEndpoint"   // a route has no endpoint left in service
	WarnOverCapacity WarningKind = "OverCapacity" // the load exceeds the capacity of the endpoints left
	WarnOneZone      WarningKind = "OneZone"      // all endpoints left are in one zone, so its loss takes the route down
	WarnUnknownName  WarningKind = "UnknownName"  // the zone or endpoint is not in the list of endpoints
	WarnAllCold      WarningKind = "AllCold"      // half of a route's engines or more start cold
	WarnNoEngine     WarningKind = "NoEngine"     // a version has a weight but no engine in service
)

// Warning is a risk that an operator should consider before confirming a plan.
type Warning struct {
	Kind   WarningKind
	Detail string
}

// String returns the warning as one line of a plan.
func (w Warning) String() string { return fmt.Sprintf("%s: %s", w.Kind, w.Detail) }

// zoneCount is the number of a route's endpoints in service in a zone.
type zoneCount struct {
	zone hitchfleet.AvailabilityZone
	n    int
}

// countByZone returns the number of a route's endpoints in service per zone, sorted by
// zone, and in total.
func (v FleetView) countByZone(c Configuration, route hitchfleet.RouteID) (zones []zoneCount, total int) {
	if _, ok := c.Route(route); !ok {
		return nil, 0
	}
	counts := make(map[hitchfleet.AvailabilityZone]int)
	for _, e := range v.Endpoints {
		if e.Endpoint.Route == route && c.InService(e.Endpoint) {
			counts[e.Endpoint.Zone]++
			total++
		}
	}
	for zone, n := range counts {
		zones = append(zones, zoneCount{zone, n})
	}
	slices.SortFunc(zones, func(a, b zoneCount) int { return cmp.Compare(a.zone, b.zone) })
	return zones, total
}

// runningRequests returns the number of running requests of a route.
func (v FleetView) runningRequests(route hitchfleet.RouteID) int {
	return lo.SumBy(v.Endpoints, func(e EndpointLoad) int {
		return lo.Ternary(e.Endpoint.Route == route, e.Requests, 0)
	})
}

// moves returns how each route's load shifts between zones, assuming that the load is
// spread evenly over the endpoints in service.
func (v FleetView) moves(before, after Configuration) []Move {
	var all []Move
	for _, r := range before.Routes {
		countsBefore, totalBefore := v.countByZone(before, r.ID)
		countsAfter, totalAfter := v.countByZone(after, r.ID)
		if totalBefore == 0 || totalAfter == 0 {
			continue
		}
		all = append(all, zoneMoves(r.ID, v.runningRequests(r.ID), zoneCounts{countsBefore, totalBefore}, zoneCounts{countsAfter, totalAfter})...)
	}
	return all
}

// zoneCounts holds the number of a route's endpoints in service per zone and in total.
type zoneCounts struct {
	zones []zoneCount
	total int
}

func (c zoneCounts) loadInZone(zone hitchfleet.AvailabilityZone, load int) int {
	for _, z := range c.zones {
		if z.zone == zone {
			return load * z.n / c.total
		}
	}
	return 0
}

// zoneMoves matches the zones that lose load with the zones that gain load.
func zoneMoves(route hitchfleet.RouteID, load int, before, after zoneCounts) []Move {
	zones := lo.Uniq(lo.Map(append(slices.Clone(before.zones), after.zones...), func(z zoneCount, _ int) hitchfleet.AvailabilityZone {
		return z.zone
	}))
	slices.Sort(zones)
	var losing, gaining []Move
	for _, zone := range zones {
		switch n := after.loadInZone(zone, load) - before.loadInZone(zone, load); {
		case n < 0:
			losing = append(losing, Move{Route: route, From: zone, Requests: -n})
		case n > 0:
			gaining = append(gaining, Move{Route: route, To: zone, Requests: n})
		}
	}
	var all []Move
	for len(losing) > 0 && len(gaining) > 0 {
		n := min(losing[0].Requests, gaining[0].Requests)
		all = append(all, Move{Route: route, From: losing[0].From, To: gaining[0].To, Requests: n})
		losing[0].Requests -= n
		gaining[0].Requests -= n
		losing = lo.Ternary(losing[0].Requests == 0, losing[1:], losing)
		gaining = lo.Ternary(gaining[0].Requests == 0, gaining[1:], gaining)
	}
	return all
}

// coldStarts returns the engines that would have to load a version or adapter.
func (v FleetView) coldStarts(before, after Configuration) []ColdStart {
	endpoints := lo.Map(v.Endpoints, func(e EndpointLoad, _ int) hitchfleet.Endpoint { return e.Endpoint })
	zones := lo.SliceToMap(endpoints, func(e hitchfleet.Endpoint) (hitchfleet.EndpointID, hitchfleet.AvailabilityZone) {
		return e.ID, e.Zone
	})
	assignedBefore := lo.SliceToMap(before.Assign(endpoints), func(a Assignment) (hitchfleet.EndpointID, Assignment) {
		return a.Endpoint, a
	})
	var all []ColdStart
	for _, a := range after.Assign(endpoints) {
		previous := assignedBefore[a.Endpoint]
		if previous.Version == a.Version && len(lo.Without(a.Adapters, previous.Adapters...)) == 0 {
			continue
		}
		all = append(all, ColdStart{a.Endpoint, zones[a.Endpoint], a.Route, previous.versionText(), a.versionText()})
	}
	return all
}

func (a Assignment) versionText() string {
	if a.Version == "" {
		return "nothing"
	}
	if len(a.Adapters) == 0 {
		return a.Version
	}
	return fmt.Sprintf("%s with %v", a.Version, a.Adapters)
}
