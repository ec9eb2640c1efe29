// Package hitchconfig defines the fleet's configuration and how it changes: an
// operator's intent is turned into a plan, confirming the plan creates the next
// revision, and every router tracks the highest revision with a valid proof of
// origin.
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

// Configuration is one revision of all settings that operators control. It is
// immutable: the With methods return copies, and callers must not modify its
// slices. Each slice is sorted by the names of its elements, so that equal
// configurations have equal encodings. The zero value is an empty configuration.
type Configuration struct {
	Format int
	// Revision increases by one with each accepted change; 0 means that no change
	// was accepted yet.
	Revision uint64
	Routes   []Route
	// Organisations are the customers that may send requests.
	Organisations []Organisation
	Operators     []Operator
	// ZonesOut are the availability zones that get no new requests.
	ZonesOut []hitchfleet.AvailabilityZone
	// Endpoints are rules for individual endpoints. An endpoint without a rule is
	// in service and is assumed not to check fencing numbers.
	Endpoints []EndpointRule
	Limits    Limits
}

// EndpointRule holds the operators' settings for one endpoint.
type EndpointRule struct {
	ID hitchfleet.EndpointID
	// ChecksFencing is set if the endpoint rejects orders with an outdated fencing
	// number.
	ChecksFencing bool
	// Drained endpoints get no new requests.
	Drained bool
	// Role is the role that an engine should take, such as Prefill or Decode, by
	// the engine's own name for it. Empty leaves the engine's role unchanged.
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
	c.Routes = remove(c.Routes, string(id), Route.name)
	return c
}

// WithOrganisation returns a copy in which the organisation is added or replaced.
func (c Configuration) WithOrganisation(o Organisation) Configuration {
	c.Organisations = put(c.Organisations, o, Organisation.name)
	return c
}

// WithoutOrganisation returns a copy without the organisation.
func (c Configuration) WithoutOrganisation(id hitchfleet.OrganisationID) Configuration {
	c.Organisations = remove(c.Organisations, string(id), Organisation.name)
	return c
}

// WithOperator returns a copy in which the operator is added or replaced.
func (c Configuration) WithOperator(o Operator) Configuration {
	c.Operators = put(c.Operators, o, Operator.name)
	return c
}

// WithoutOperator returns a copy without the operator.
func (c Configuration) WithoutOperator(name string) Configuration {
	c.Operators = remove(c.Operators, name, Operator.name)
	return c
}

// WithZoneOut returns a copy in which the availability zone is out of service: it
// gets no new requests.
func (c Configuration) WithZoneOut(zone hitchfleet.AvailabilityZone) Configuration {
	c.ZonesOut = put(c.ZonesOut, zone, zoneName)
	return c
}

// WithoutZoneOut returns a copy in which the availability zone is in service.
func (c Configuration) WithoutZoneOut(zone hitchfleet.AvailabilityZone) Configuration {
	c.ZonesOut = remove(c.ZonesOut, string(zone), zoneName)
	return c
}

// WithEndpoint returns a copy in which the endpoint's rule is added or replaced.
// A rule that sets no field is removed.
func (c Configuration) WithEndpoint(e EndpointRule) Configuration {
	if e.isEmpty() {
		c.Endpoints = remove(c.Endpoints, string(e.ID), EndpointRule.name)
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

// Endpoint returns the rule for an endpoint, or an empty rule with its ID if there
// is none.
func (c Configuration) Endpoint(id hitchfleet.EndpointID) EndpointRule {
	rule, ok := find(c.Endpoints, string(id), EndpointRule.name)
	if !ok {
		rule.ID = id
	}
	return rule
}

// IsZoneOut reports whether operators have taken the availability zone out of
// service.
func (c Configuration) IsZoneOut(zone hitchfleet.AvailabilityZone) bool {
	_, ok := find(c.ZonesOut, string(zone), zoneName)
	return ok
}

// InService reports whether an endpoint may get new requests: it isn't drained, its
// availability zone is in service, and the platform doesn't list it as leaving.
func (c Configuration) InService(e hitchfleet.Endpoint) bool {
	return !e.Leaving && !c.IsZoneOut(e.Zone) && !c.Endpoint(e.ID).Drained
}

// isEmpty reports whether the rule sets no field besides the ID.
func (e EndpointRule) isEmpty() bool { return e == EndpointRule{ID: e.ID} }

func (e EndpointRule) name() string { return string(e.ID) }

func (o Operator) name() string { return o.Name }

func zoneName(zone hitchfleet.AvailabilityZone) string { return string(zone) }

// search returns the index of a name in a sorted slice.
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

// remove returns a copy of a sorted slice without the named element. It returns
// nil in place of an empty slice, as the two differ in JSON.
func remove[T any](all []T, name string, nameOf func(T) string) []T {
	i, ok := search(all, name, nameOf)
	if !ok {
		return all
	}
	if len(all) == 1 {
		return nil
	}
	return slices.Delete(slices.Clone(all), i, i+1)
}
