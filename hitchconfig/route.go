package hitchconfig

import (
	"fmt"
	"math"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Route is a model or a plain service that callers can send requests to.
type Route struct {
	ID   hitchfleet.RouteID
	Kind RouteKind
	// Versions are the model versions of an engine route, sorted by name.
	Versions []ModelVersion
	// Adapters are loaded together with every version of an engine route.
	Adapters []string
	// Service holds the rules of a service route. It is zero for engine routes.
	Service ServiceRules
	// TimeoutMilliseconds limits the time of a request in total.
	TimeoutMilliseconds int
	// FirstByteMilliseconds limits the time until the first byte of a response.
	FirstByteMilliseconds int
	// SilenceMilliseconds limits the time between two bytes of a response.
	SilenceMilliseconds int
}

// RouteKind distinguishes routes to model engines from routes to plain services.
type RouteKind string

// The kinds of routes.
const (
	EngineRoute  RouteKind = "Engine"
	ServiceRoute RouteKind = "Service"
)

// EndpointKind returns the kind of the endpoints that serve the route.
func (k RouteKind) EndpointKind() hitchfleet.EndpointKind {
	if k == ServiceRoute {
		return hitchfleet.KindService
	}
	return hitchfleet.KindEngine
}

// ModelVersion is one version of a route's model.
type ModelVersion struct {
	Name string
	// Weight is the version's share of the route's chats, relative to the sum of all
	// weights. A version with weight 0 gets no chats.
	Weight int
}

// JournalPolicy determines how non-idempotent requests are handled while the key-value
// service is unavailable.
type JournalPolicy string

// The journal policies.
const (
	// JournalRequired refuses requests as NotRun while they can't be journaled.
	JournalRequired JournalPolicy = "Required"
	// JournalBestEffort runs requests without a journal entry.
	JournalBestEffort JournalPolicy = "BestEffort"
)

// ServiceRules holds the rules for requests to a plain service.
type ServiceRules struct {
	// PathPrefix is the path prefix of the service's operations, such as /boxoffice.
	// The longest matching prefix wins.
	PathPrefix string
	// IdempotentMethods are the HTTP methods that are safe to retry, sorted.
	IdempotentMethods []string
	Journal           JournalPolicy
	// OutcomePath is the path at which the service reports the outcome of a
	// non-idempotent request, with {key} in place of its idempotency key. It is
	// empty if the service doesn't report outcomes.
	OutcomePath string
}

// IsIdempotent reports whether requests with the HTTP method are safe to retry.
func (r Route) IsIdempotent(method string) bool {
	for _, m := range r.Service.IdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// WithVersion returns a copy in which the version is added or replaced.
func (r Route) WithVersion(v ModelVersion) Route {
	r.Versions = put(r.Versions, v, ModelVersion.name)
	return r
}

// VersionFor returns the version that serves a chat, by weighted rendezvous
// hashing: the version with the highest -weight/ln(u) wins, where u in (0, 1) is
// the hash of chat and version (Schindelhauer and Schomaker: Weighted Distributed
// Hash Tables, 2005). A change of weights moves the minimum number of chats.
// It returns false for a route without a version of weight above 0.
func (r Route) VersionFor(chat hitchfleet.Key) (version string, ok bool) {
	return r.VersionAmong(chat, func(string) bool { return true })
}

// VersionAmong is like VersionFor, but only among the versions that are ready. The chats
// of a version that is still loading go to the other versions until it is ready.
func (r Route) VersionAmong(chat hitchfleet.Key, isReady func(version string) bool) (version string, ok bool) {
	best := math.Inf(-1)
	for _, v := range r.Versions {
		if v.Weight <= 0 || !isReady(v.Name) {
			continue
		}
		hash := hitchfleet.Score(chat, hitchfleet.KeyOf(string(r.ID), v.Name))
		u := (float64(hash>>11) + 0.5) / (1 << 53)
		score := -float64(v.Weight) / math.Log(u)
		if score > best {
			best, version, ok = score, v.Name, true
		}
	}
	return version, ok
}

// totalWeight returns the sum of the versions' weights.
func (r Route) totalWeight() int {
	total := 0
	for _, v := range r.Versions {
		total += v.Weight
	}
	return total
}

func (r Route) name() string { return string(r.ID) }

func (v ModelVersion) name() string { return v.Name }

// String returns the version with its weight, such as v2@5.
func (v ModelVersion) String() string { return fmt.Sprintf("%s@%d", v.Name, v.Weight) }
