package hitchconfig

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// FleetView is what a plan knows of the fleet.
type FleetView struct {
	Endpoints []EndpointLoad
}

// EndpointLoad is an endpoint with the work on it.
type EndpointLoad struct {
	Endpoint hitchfleet.Endpoint
	// Requests is how many requests run at once.
	Requests int
	// Capacity is how many requests it can run at once; 0 means unknown.
	Capacity int
}

// Move is load of a route that goes from one availability zone to another.
type Move struct {
	Route    hitchfleet.RouteID
	From     hitchfleet.AvailabilityZone
	To       hitchfleet.AvailabilityZone
	Requests int
}

// String returns the move as a line of a plan.
func (m Move) String() string {
	return fmt.Sprintf("%s: %d requests from %s to %s", m.Route, m.Requests, m.From, m.To)
}

// WarningKind says what a warning is about, in one word for programs.
type WarningKind string

// The kinds of warnings.
const (
	WarnNoEndpoint   WarningKind = "NoEndpoint"   // a route has no endpoint left
	WarnOverCapacity WarningKind = "OverCapacity" // the rest can't carry the load
	WarnOneZone      WarningKind = "OneZone"      // the next loss of a zone ends the route
	WarnUnknownName  WarningKind = "UnknownName"  // the list knows no such zone or endpoint
	WarnAllCold      WarningKind = "AllCold"      // most of a route's engines start cold
	WarnNoEngine     WarningKind = "NoEngine"     // a version has a weight but no engine
)

// Warning is a risk that an operator should weigh before confirming.
type Warning struct {
	Kind   WarningKind
	Detail string
}

// String returns the warning as a line of a plan.
func (w Warning) String() string { return fmt.Sprintf("%s: %s", w.Kind, w.Detail) }

// zoneCount is how many endpoints of a route are in service in a zone.
type zoneCount struct {
	zone hitchfleet.AvailabilityZone
	n    int
}

// inService returns a route's endpoints in service by zone, sorted.
func (v FleetView) inService(c Configuration, route hitchfleet.RouteID) (zones []zoneCount, total int) {
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

// load returns the requests of a route that run now.
func (v FleetView) load(route hitchfleet.RouteID) int {
	return lo.SumBy(v.Endpoints, func(e EndpointLoad) int {
		return lo.Ternary(e.Endpoint.Route == route, e.Requests, 0)
	})
}

// moves compares the zones' parts of each route's load before and after, with
// the load spread evenly over the endpoints in service.
func (v FleetView) moves(before, after Configuration) []Move {
	var all []Move
	for _, r := range before.Routes {
		was, totalWas := v.inService(before, r.ID)
		is, totalIs := v.inService(after, r.ID)
		if totalWas == 0 || totalIs == 0 {
			continue
		}
		all = append(all, zoneMoves(r.ID, v.load(r.ID), parts{was, totalWas}, parts{is, totalIs})...)
	}
	return all
}

// parts are a route's endpoints by zone, and their sum.
type parts struct {
	zones []zoneCount
	total int
}

func (p parts) of(zone hitchfleet.AvailabilityZone, load int) int {
	for _, z := range p.zones {
		if z.zone == zone {
			return load * z.n / p.total
		}
	}
	return 0
}

// zoneMoves pairs zones that lose load with zones that gain it.
func zoneMoves(route hitchfleet.RouteID, load int, was, is parts) []Move {
	zones := lo.Uniq(lo.Map(append(slices.Clone(was.zones), is.zones...), func(z zoneCount, _ int) hitchfleet.AvailabilityZone {
		return z.zone
	}))
	slices.Sort(zones)
	var givers, takers []Move
	for _, zone := range zones {
		switch n := is.of(zone, load) - was.of(zone, load); {
		case n < 0:
			givers = append(givers, Move{Route: route, From: zone, Requests: -n})
		case n > 0:
			takers = append(takers, Move{Route: route, To: zone, Requests: n})
		}
	}
	var all []Move
	for len(givers) > 0 && len(takers) > 0 {
		n := min(givers[0].Requests, takers[0].Requests)
		all = append(all, Move{Route: route, From: givers[0].From, To: takers[0].To, Requests: n})
		givers[0].Requests -= n
		takers[0].Requests -= n
		givers = lo.Ternary(givers[0].Requests == 0, givers[1:], givers)
		takers = lo.Ternary(takers[0].Requests == 0, takers[1:], takers)
	}
	return all
}

// coldStarts compares what each engine serves before and after.
func (v FleetView) coldStarts(before, after Configuration) []ColdStart {
	endpoints := lo.Map(v.Endpoints, func(e EndpointLoad, _ int) hitchfleet.Endpoint { return e.Endpoint })
	zones := lo.SliceToMap(endpoints, func(e hitchfleet.Endpoint) (hitchfleet.EndpointID, hitchfleet.AvailabilityZone) {
		return e.ID, e.Zone
	})
	was := lo.SliceToMap(before.Assign(endpoints), func(a Assignment) (hitchfleet.EndpointID, Assignment) {
		return a.Endpoint, a
	})
	var all []ColdStart
	for _, a := range after.Assign(endpoints) {
		b := was[a.Endpoint]
		if b.Version == a.Version && len(lo.Without(a.Adapters, b.Adapters...)) == 0 {
			continue
		}
		all = append(all, ColdStart{a.Endpoint, zones[a.Endpoint], a.Route, b.text(), a.text()})
	}
	return all
}

func (a Assignment) text() string {
	if a.Version == "" {
		return "nothing"
	}
	if len(a.Adapters) == 0 {
		return a.Version
	}
	return fmt.Sprintf("%s with %v", a.Version, a.Adapters)
}
