package hitchconfig

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Index answers the look-ups that each request needs. It is built once for a
// revision and is safe for several goroutines. The zero value knows nothing.
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
	prefixes      []prefixOwner // longest first
}

// keyOwner is a key with the place of its organisation or operator.
type keyOwner struct {
	place int
	key   APIKey
}

type prefixOwner struct {
	prefix string
	route  hitchfleet.RouteID
}

// Index builds the look-ups of the configuration.
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
			x.prefixes = append(x.prefixes, prefixOwner{r.Service.PathPrefix, r.ID})
		}
	}
	slices.SortStableFunc(x.prefixes, func(a, b prefixOwner) int {
		return cmp.Compare(len(b.prefix), len(a.prefix))
	})
	return x
}

// Configuration returns what the index was built from.
func (x *Index) Configuration() Configuration { return x.cfg }

// Revision returns the revision that the index was built from.
func (x *Index) Revision() uint64 { return x.cfg.Revision }

// Limits returns the limits with their defaults.
func (x *Index) Limits() Limits { return x.limits.WithDefaults() }

// OrganisationByKey returns the organisation that an API key belongs to at a
// time. The look-up is by the key's hash, so its timing tells nothing of a key.
func (x *Index) OrganisationByKey(key string, now time.Time) (Organisation, bool) {
	owner, ok := x.organisations[HashKey(key)]
	if !ok || !owner.key.IsValid(now) {
		return Organisation{}, false
	}
	return x.cfg.Organisations[owner.place], true
}

// OperatorByKey returns the operator that an API key belongs to at a time.
func (x *Index) OperatorByKey(key string, now time.Time) (Operator, bool) {
	owner, ok := x.operators[HashKey(key)]
	if !ok || !owner.key.IsValid(now) {
		return Operator{}, false
	}
	return x.cfg.Operators[owner.place], true
}

// Route returns a route by its ID.
func (x *Index) Route(id hitchfleet.RouteID) (Route, bool) {
	r, ok := x.routes[id]
	return r, ok
}

// RouteForPath returns the service route with the longest prefix that covers
// whole segments of a path.
func (x *Index) RouteForPath(path string) (Route, bool) {
	for _, p := range x.prefixes {
		rest, ok := strings.CutPrefix(path, p.prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return x.Route(p.route)
		}
	}
	return Route{}, false
}

// IsZoneOut tells whether operators have taken the availability zone out.
func (x *Index) IsZoneOut(zone hitchfleet.AvailabilityZone) bool { return x.zonesOut[zone] }

// InService tells whether an endpoint may get new work.
func (x *Index) InService(e hitchfleet.Endpoint) bool {
	return !e.Leaving && !x.zonesOut[e.Zone] && !x.cfg.Endpoint(e.ID).Drained
}
