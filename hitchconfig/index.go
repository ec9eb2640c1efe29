package hitchconfig

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Index provides fast lookups in a configuration for request processing. It is built
// once per revision and is safe for concurrent use. The zero value is the index of an
// empty configuration.
//
//	index := cfg.Index()
//	route, ok := index.RouteForPath("/boxoffice/slots/7")
//	if ok && route.IsIdempotent("GET") { ... }
type Index struct {
	cfg           Configuration
	limits        Limits
	organisations map[KeyHash]keyOwner
	operators     map[KeyHash]keyOwner
	routes        map[hitchfleet.RouteID]Route
	zonesOut      map[hitchfleet.AvailabilityZone]bool
	prefixes      []prefixRoute // longest first
}

// keyOwner is an API key and the index of its organisation or operator.
type keyOwner struct {
	index int
	key   APIKey
}

type prefixRoute struct {
	prefix string
	route  hitchfleet.RouteID
}

// Index builds the index of the configuration.
func (c Configuration) Index() *Index {
	x := &Index{
		cfg:           c,
		limits:        c.Limits.WithDefaults(),
		organisations: make(map[KeyHash]keyOwner),
		operators:     make(map[KeyHash]keyOwner),
		routes:        make(map[hitchfleet.RouteID]Route, len(c.Routes)),
		zonesOut:      make(map[hitchfleet.AvailabilityZone]bool, len(c.ZonesOut)),
	}
	for i, o := range c.Organisations {
		for _, key := range o.Keys {
			x.organisations[key.Hash] = keyOwner{i, key}
		}
	}
	for i, o := range c.Operators {
		for _, key := range o.Keys {
			x.operators[key.Hash] = keyOwner{i, key}
		}
	}
	for _, zone := range c.ZonesOut {
		x.zonesOut[zone] = true
	}
	for _, r := range c.Routes {
		x.routes[r.ID] = r
		if r.Service.PathPrefix != "" {
			x.prefixes = append(x.prefixes, prefixRoute{r.Service.PathPrefix, r.ID})
		}
	}
	slices.SortStableFunc(x.prefixes, func(a, b prefixRoute) int {
		return cmp.Compare(len(b.prefix), len(a.prefix))
	})
	return x
}

// Configuration returns the configuration that the index was built from.
func (x *Index) Configuration() Configuration { return x.cfg }

// Revision returns the revision that the index was built from.
func (x *Index) Revision() uint64 { return x.cfg.Revision }

// Limits returns the limits with defaults filled in.
func (x *Index) Limits() Limits { return x.limits.WithDefaults() }

// OrganisationByKey returns the organisation of an API key that is valid at the given
// time. The lookup uses the key's hash, so its timing reveals nothing about keys.
func (x *Index) OrganisationByKey(key string, now time.Time) (Organisation, bool) {
	owner, ok := x.organisations[HashKey(key)]
	if !ok || !owner.key.IsValid(now) {
		return Organisation{}, false
	}
	return x.cfg.Organisations[owner.index], true
}

// OperatorByKey returns the operator of an API key that is valid at the given time.
func (x *Index) OperatorByKey(key string, now time.Time) (Operator, bool) {
	owner, ok := x.operators[HashKey(key)]
	if !ok || !owner.key.IsValid(now) {
		return Operator{}, false
	}
	return x.cfg.Operators[owner.index], true
}

// Route returns a route by its ID.
func (x *Index) Route(id hitchfleet.RouteID) (Route, bool) {
	r, ok := x.routes[id]
	return r, ok
}

// RouteForPath returns the service route with the longest path prefix that matches
// whole segments of the path.
func (x *Index) RouteForPath(path string) (Route, bool) {
	for _, p := range x.prefixes {
		rest, ok := strings.CutPrefix(path, p.prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return x.Route(p.route)
		}
	}
	return Route{}, false
}

// IsZoneOut reports whether operators have taken the availability zone out of
// service.
func (x *Index) IsZoneOut(zone hitchfleet.AvailabilityZone) bool { return x.zonesOut[zone] }

// InService reports whether an endpoint may get new requests, as
// Configuration.InService does.
func (x *Index) InService(e hitchfleet.Endpoint) bool {
	return !e.Leaving && !x.zonesOut[e.Zone] && !x.cfg.Endpoint(e.ID).Drained
}
