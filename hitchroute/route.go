// Package hitchroute finds the route of a request and the organisation that sent
// it.
//
// A Table holds one version of the operator's configuration. It is immutable, so
// requests read it without a lock:
//
//	route, ok := table.Route("tickets.example", "/booking/42")
//	organisation, ok := table.Organisation(apiKey)
//	service, ok := route.PickService(rand.Float64())
package hitchroute

import (
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// ServiceID identifies a group of endpoints that serve the same requests.
type ServiceID = hitchfleet.ServiceID

// Kind determines whether a request on a route may run more than once.
type Kind uint8

// The kinds of routes. The zero value is the most restrictive.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests get a stream of numbered events as their response.
	Streaming
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	return [...]string{"NonIdempotent", "Idempotent", "Streaming"}[k]
}

// Split is the share of a route's requests that a service gets.
type Split struct {
	Service ServiceID
	// Weight is relative to the sum of the weights of the route.
	Weight int
}

// Route is a class of requests that share a set of rules.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Splits     []Split
	// TimeoutMilliseconds limits the duration of a whole request. 0 means no
	// limit.
	TimeoutMilliseconds int
	// ObjectiveMilliseconds is the latency objective. It covers the time to the
	// complete response, or to the first event of a stream.
	ObjectiveMilliseconds int
	// GapMilliseconds is the longest gap between two events of a stream that
	// still meets the latency objective.
	GapMilliseconds int
	// Priority is the rank among routes. 0 is the highest priority.
	Priority int
	// MaxAttempts limits the number of endpoints that may run one request.
	MaxAttempts int
	// IsPublic is set if requests need no API key.
	IsPublic bool
	// IsResumable is set if a stream may continue on another endpoint after the
	// last event that was delivered.
	IsResumable bool
	// HasPrompt is set if requests carry prompts whose prefixes endpoints cache.
	HasPrompt bool
}

// IsRetrySafe reports whether a request may run more than once.
func (r *Route) IsRetrySafe() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.IsResumable
}

// PickService picks a service in proportion to the weights. draw is a random
// number in [0, 1). It returns false if the route has no service.
func (r *Route) PickService(draw float64) (ServiceID, bool) {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Splits {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Service, true
		}
	}
	return "", false
}

// LeadsTo reports whether requests on the route may go to a service.
func (r *Route) LeadsTo(service ServiceID) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// Service is the configuration of a group of endpoints.
type Service struct {
	ID ServiceID
	// MaxConnections is the number of connections that one endpoint accepts from
	// all callers together.
	MaxConnections int
	// ColdPerSecond is the number of requests per second that an endpoint can
	// serve during a cold start. 0 means no limit.
	ColdPerSecond float64
	// ColdMilliseconds is the duration of a cold start.
	ColdMilliseconds int
	// Slots is the number of requests that an engine runs at once. It is 0 for
	// plain services.
	Slots int
	// CacheTokens is the size of an engine's cache, in tokens.
	CacheTokens int
}

// Organisation is the configuration of a customer.
type Organisation struct {
	ID   hitchfleet.OrganisationID
	Keys []string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}
