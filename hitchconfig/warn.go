package hitchconfig

import (
	"fmt"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// warnings returns the risks of going from one configuration to the next.
func (v FleetView) warnings(before, after Configuration, cold []ColdStart) []Warning {
	var all []Warning
	for _, r := range after.Routes {
		all = append(all, v.routeWarnings(before, after, r)...)
		all = append(all, v.coldWarnings(after, r, cold)...)
		all = append(all, v.versionWarnings(after, r)...)
	}
	return append(all, v.nameWarnings(before, after)...)
}

// routeWarnings compares the endpoints that stay in service with the load.
func (v FleetView) routeWarnings(before, after Configuration, r Route) []Warning {
	was, total := v.inService(before, r.ID)
	is, left := v.inService(after, r.ID)
	switch {
	case total > 0 && left == 0:
		return []Warning{{WarnNoEndpoint, fmt.Sprintf("route %s has no endpoint left in service", r.ID)}}
	case left >= total:
		return nil
	}
	var all []Warning
	capacity, known := v.capacity(after, r.ID)
	if load := v.load(r.ID); known && load > capacity {
		all = append(all, Warning{WarnOverCapacity, fmt.Sprintf(
			"route %s: %d requests run, and the %d endpoints left can carry %d", r.ID, load, left, capacity)})
	}
	if len(was) > 1 && len(is) == 1 {
		all = append(all, Warning{WarnOneZone, fmt.Sprintf(
			"route %s: all endpoints left are in %s", r.ID, is[0].zone)})
	}
	return all
}

// capacity sums what the endpoints in service can carry; it isn't known if one
// of them doesn't say.
func (v FleetView) capacity(c Configuration, route hitchfleet.RouteID) (sum int, known bool) {
	for _, e := range v.Endpoints {
		if e.Endpoint.Route != route || !c.InService(e.Endpoint) {
			continue
		}
		if e.Capacity == 0 {
			return 0, false
		}
		sum += e.Capacity
	}
	return sum, true
}

// coldWarnings tells of a route half or more of whose engines start cold.
func (v FleetView) coldWarnings(after Configuration, r Route, cold []ColdStart) []Warning {
	_, total := v.inService(after, r.ID)
	n := lo.CountBy(cold, func(s ColdStart) bool { return s.Route == r.ID })
	if total < 2 || 2*n < total {
		return nil
	}
	return []Warning{{WarnAllCold, fmt.Sprintf("route %s: %d of %d engines start cold, a few at a time", r.ID, n, total)}}
}

// versionWarnings tells of versions that have a weight but no engine in service.
func (v FleetView) versionWarnings(after Configuration, r Route) []Warning {
	var endpoints []hitchfleet.Endpoint
	drained := make(map[hitchfleet.EndpointID]bool)
	for _, e := range v.Endpoints {
		if e.Endpoint.Route == r.ID {
			endpoints = append(endpoints, e.Endpoint)
			drained[e.Endpoint.ID] = !after.InService(e.Endpoint)
		}
	}
	served := make(map[string]bool)
	for _, a := range r.assign(endpoints) {
		served[a.Version] = served[a.Version] || !drained[a.Endpoint]
	}
	var all []Warning
	for _, version := range r.Versions {
		if len(endpoints) > 0 && version.Weight > 0 && !served[version.Name] {
			all = append(all, Warning{WarnNoEngine, fmt.Sprintf("route %s: version %s has no engine in service", r.ID, version)})
		}
	}
	return all
}

// nameWarnings tells of names in the change that the list doesn't know.
func (v FleetView) nameWarnings(before, after Configuration) []Warning {
	zones := make(map[hitchfleet.AvailabilityZone]bool)
	ids := make(map[hitchfleet.EndpointID]bool)
	for _, e := range v.Endpoints {
		zones[e.Endpoint.Zone] = true
		ids[e.Endpoint.ID] = true
	}
	var all []Warning
	for _, zone := range after.ZonesOut {
		if !before.IsZoneOut(zone) && !zones[zone] {
			all = append(all, Warning{WarnUnknownName, fmt.Sprintf("no endpoint is listed in zone %s", zone)})
		}
	}
	for _, rule := range after.Endpoints {
		if before.Endpoint(rule.ID) != rule && !ids[rule.ID] {
			all = append(all, Warning{WarnUnknownName, fmt.Sprintf("endpoint %s is not listed", rule.ID)})
		}
	}
	return all
}
