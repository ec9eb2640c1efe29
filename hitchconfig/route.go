package hitchconfig

import (
	"fmt"
	"math"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Route is a model or a plain service that callers may ask for.
type Route struct {
	ID   hitchfleet.RouteID
	Kind RouteKind
	// Versions are the model versions of an engine route, sorted by name.
	Versions []ModelVersion
	// Adapters are loaded next to every version of an engine route.
	Adapters []string
	// Service says how a service route is called. Engine routes leave it zero.
	Service ServiceRules
	// TimeoutMilliseconds bounds a whole request.
	TimeoutMilliseconds int
	// FirstByteMilliseconds bounds the wait for the first byte of an answer.
	FirstByteMilliseconds int
	// SilenceMilliseconds bounds the time between two bytes of an answer.
	SilenceMilliseconds int
}

// RouteKind tells model engines from plain services by name.
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
	// Weight is the version's part of the route's chats, relative to the sum of
	// all weights. Weight 0 gets none.
	Weight int
}

// JournalPolicy says what happens to non-idempotent work while the key-value
// service is out.
type JournalPolicy string

// The journal policies.
const (
	// JournalRequired refuses work as NotRun while it can't be journalled.
	JournalRequired JournalPolicy = "Required"
	// JournalBestEffort goes on without a journal.
	JournalBestEffort JournalPolicy = "BestEffort"
)

// ServiceRules says how a plain service is called.
type ServiceRules struct {
	// PathPrefix is the path below which the service's operations lie, such as
	// /boxoffice. The longest matching prefix wins.
	PathPrefix string
	// IdempotentMethods are the HTTP methods that may be repeated, sorted.
	IdempotentMethods []string
	Journal           JournalPolicy
	// OutcomePath is where the service tells what became of a non-idempotent
	// call, with {key} for its idempotency key. Empty: the service can't tell.
	OutcomePath string
}

// IsIdempotent tells whether calls with the HTTP method may be repeated.
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
// hashing: the highest of -weight/ln(u) wins, where u in (0, 1) is the hash of
// chat and version (Schindelhauer and Schomaker: Weighted Distributed Hash
// Tables, 2005). A change of weights moves only the chats that it must move.
// It returns false for a route without a weighted version.
func (r Route) VersionFor(chat hitchfleet.Key) (version string, ok bool) {
	return r.VersionAmong(chat, func(string) bool { return true })
}

// VersionAmong is VersionFor among the versions that are ready. The chats of a
// version that is still being loaded go to the others, and come once it is ready.
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
