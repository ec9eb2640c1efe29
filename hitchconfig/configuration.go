// Package hitchconfig holds the configuration of the fleet and its changes: an
// operator's intent becomes a plan, a confirmed plan becomes the next revision,
// and every router tracks the highest revision that has a valid proof of origin.
//
//	cfg, err := hitchconfig.Decode(data)
//	index := cfg.Index()
//	organisation, ok := index.OrganisationByKey(key, now)
package hitchconfig

import (
	"slices"
	"strings"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Format is the version of the encoded configuration that this package reads
// and writes.
const Format = 1

// Configuration is one revision of everything that operators set. It is
// immutable: With methods return copies, and readers must not write to its
// slices. Each slice is sorted by its elements' names, so that equal
// configurations have equal bytes. The zero value is an empty configuration.
type Configuration struct {
	Format int
	// Revision rises by one with each accepted change; 0 was never accepted.
	Revision uint64
	Routes   []Route
	// Organisations are the customers that may call.
	Organisations []Organisation
	Operators     []Operator
	// ZonesOut are the availability zones that get no new work.
	ZonesOut []hitchfleet.AvailabilityZone
	// Endpoints are the rules for single endpoints. An endpoint without a rule
	// is in service and is not trusted to check fencing numbers.
	Endpoints []EndpointRule
	Limits    Limits
}

// EndpointRule is what operators say of one endpoint.
type EndpointRule struct {
	ID hitchfleet.EndpointID
	// ChecksFencing says that the endpoint refuses orders with an old number.
	ChecksFencing bool
	// Drained endpoints get no new work.
	Drained bool
	// Role is what an engine shall do, such as Prefill or Decode, in the engine's
	// own words. Empty leaves the engine as it is.
	Role string
}

// Operator may plan and confirm changes.
type Operator struct {
	Name string
	Keys []APIKey
}

// WithRevision returns a copy with another revision.
func (c Configuration) WithRevision(n uint64) Configuration {
	c.Format, c.Revision = Format, n
	return c
}

// WithRoute returns a copy in which the route is added or replaced.
func (c Configuration) WithRoute(r Route) Configuration {
	c.Routes = put(c.Routes, r, Route.name)
	return c
}

// WithoutRoute returns a copy without the route.
func (c Configuration) WithoutRoute(id hitchfleet.RouteID) Configuration {
	c.Routes = drop(c.Routes, string(id), Route.name)
	return c
}

// WithOrganisation returns a copy in which the organisation is added or replaced.
func (c Configuration) WithOrganisation(o Organisation) Configuration {
	c.Organisations = put(c.Organisations, o, Organisation.name)
	return c
}

// WithoutOrganisation returns a copy without the organisation.
func (c Configuration) WithoutOrganisation(id hitchfleet.OrganisationID) Configuration {
	c.Organisations = drop(c.Organisations, string(id), Organisation.name)
	return c
}

// WithOperator returns a copy in which the operator is added or replaced.
func (c Configuration) WithOperator(o Operator) Configuration {
	c.Operators = put(c.Operators, o, Operator.name)
	return c
}

// WithoutOperator returns a copy without the operator.
func (c Configuration) WithoutOperator(name string) Configuration {
	c.Operators = drop(c.Operators, name, Operator.name)
	return c
}

// WithZoneOut returns a copy in which the availability zone gets no new work.
func (c Configuration) WithZoneOut(zone hitchfleet.AvailabilityZone) Configuration {
	c.ZonesOut = put(c.ZonesOut, zone, zoneName)
	return c
}

// WithZoneIn returns a copy in which the availability zone gets work.
func (c Configuration) WithZoneIn(zone hitchfleet.AvailabilityZone) Configuration {
	c.ZonesOut = drop(c.ZonesOut, string(zone), zoneName)
	return c
}

// WithEndpoint returns a copy in which the endpoint's rule is added or replaced.
// A rule that says nothing is removed.
func (c Configuration) WithEndpoint(e EndpointRule) Configuration {
	if e.isEmpty() {
		c.Endpoints = drop(c.Endpoints, string(e.ID), EndpointRule.name)
		return c
	}
	c.Endpoints = put(c.Endpoints, e, EndpointRule.name)
	return c
}

// WithLimits returns a copy with other limits.
func (c Configuration) WithLimits(l Limits) Configuration {
	c.Limits = l
	return c
}

// Route returns a route by its ID.
func (c Configuration) Route(id hitchfleet.RouteID) (Route, bool) {
	return find(c.Routes, string(id), Route.name)
}

// Organisation returns an organisation by its ID.
func (c Configuration) Organisation(id hitchfleet.OrganisationID) (Organisation, bool) {
	return find(c.Organisations, string(id), Organisation.name)
}

// Operator returns an operator by name.
func (c Configuration) Operator(name string) (Operator, bool) {
	return find(c.Operators, name, Operator.name)
}

// Endpoint returns the rule for an endpoint; without one it is the zero rule.
func (c Configuration) Endpoint(id hitchfleet.EndpointID) EndpointRule {
	rule, ok := find(c.Endpoints, string(id), EndpointRule.name)
	if !ok {
		rule.ID = id
	}
	return rule
}

// IsZoneOut tells whether operators have taken the availability zone out.
func (c Configuration) IsZoneOut(zone hitchfleet.AvailabilityZone) bool {
	_, ok := find(c.ZonesOut, string(zone), zoneName)
	return ok
}

// InService tells whether an endpoint may get new work: neither it nor its
// availability zone is drained, and the platform doesn't list it as leaving.
func (c Configuration) InService(e hitchfleet.Endpoint) bool {
	return !e.Leaving && !c.IsZoneOut(e.Zone) && !c.Endpoint(e.ID).Drained
}

// isEmpty tells whether the rule says nothing.
func (e EndpointRule) isEmpty() bool { return e == EndpointRule{ID: e.ID} }

func (e EndpointRule) name() string { return string(e.ID) }

func (o Operator) name() string { return o.Name }

func zoneName(zone hitchfleet.AvailabilityZone) string { return string(zone) }

// search finds the place of a name in a sorted slice.
func search[T any](all []T, name string, nameOf func(T) string) (int, bool) {
	return slices.BinarySearchFunc(all, name, func(element T, name string) int {
		return strings.Compare(nameOf(element), name)
	})
}

func find[T any](all []T, name string, nameOf func(T) string) (element T, ok bool) {
	i, ok := search(all, name, nameOf)
	if ok {
		element = all[i]
	}
	return element, ok
}

// put returns a copy of a sorted slice with the element added or replaced.
func put[T any](all []T, element T, nameOf func(T) string) []T {
	i, ok := search(all, nameOf(element), nameOf)
	if ok {
		all = slices.Clone(all)
		all[i] = element
		return all
	}
	return slices.Insert(slices.Clip(slices.Clone(all)), i, element)
}

// drop returns a copy of a sorted slice without the named element, and nil in
// place of an empty slice, as nil and empty have different bytes in JSON.
func drop[T any](all []T, name string, nameOf func(T) string) []T {
	i, ok := search(all, name, nameOf)
	if !ok {
		return all
	}
	if len(all) == 1 {
		return nil
	}
	return slices.Delete(slices.Clone(all), i, i+1)
}
