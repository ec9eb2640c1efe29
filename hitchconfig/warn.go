package hitchconfig

import (
	"fmt"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfleet"
)

// warnings returns the warnings for a change of the configuration.
func (v FleetView) warnings(before, after Configuration, cold []ColdStart) []Warning {
	var all []Warning
	for _, r := range after.Routes {
		all = append(all, v.routeWarnings(before, after, r)...)
		all = append(all, v.coldWarnings(after, r, cold)...)
		all = append(all, v.versionWarnings(after, r)...)
	}
	return append(all, v.nameWarnings(before, after)...)
}

// routeWarnings warns if too few of a route's endpoints stay in service for its load or
// for the loss of a zone.
func (v FleetView) routeWarnings(before, after Configuration, r Route) []Warning {
	zonesBefore, totalBefore := v.countByZone(before, r.ID)
	zonesAfter, totalAfter := v.countByZone(after, r.ID)
	switch {
	case totalBefore > 0 && totalAfter == 0:
		return []Warning{{WarnNoEndpoint, fmt.Sprintf("route %s has no endpoint left in service", r.ID)}}
	case totalAfter >= totalBefore:
		return nil
	}
	var all []Warning
	capacity, known := v.totalCapacity(after, r.ID)
	if load := v.runningRequests(r.ID); known && load > capacity {
		all = append(all, Warning{WarnOverCapacity, fmt.Sprintf(
			"route %s: %d requests run, and the %d endpoints left can carry %d", r.ID, load, totalAfter, capacity)})
	}
	if len(zonesBefore) > 1 && len(zonesAfter) == 1 {
		all = append(all, Warning{WarnOneZone, fmt.Sprintf(
			"route %s: all endpoints left are in %s", r.ID, zonesAfter[0].zone)})
	}
	return all
}

// totalCapacity returns the total capacity of a route's endpoints in service. It is
// unknown if the capacity of any of them is.
func (v FleetView) totalCapacity(c Configuration, route hitchfleet.RouteID) (sum int, known bool) {
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

// coldWarnings warns if half of a route's engines or more start cold.
func (v FleetView) coldWarnings(after Configuration, r Route, cold []ColdStart) []Warning {
	_, total := v.countByZone(after, r.ID)
	n := lo.CountBy(cold, func(s ColdStart) bool { return s.Route == r.ID })
	if total < 2 || 2*n < total {
		return nil
	}
	return []Warning{{WarnAllCold, fmt.Sprintf("route %s: %d of %d engines start cold, a few at a time", r.ID, n, total)}}
}

// versionWarnings warns about versions that have a weight but no engine in service.
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

// nameWarnings warns about zones and endpoints in the change that aren't in the list of
// endpoints.
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
