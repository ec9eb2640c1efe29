// Package hitchfleet defines the types for the routers, zones, organisations and
// endpoints of a fleet, and ranks candidates by rendezvous hashing.
//
//	order := hitchfleet.Rank(nil, key, instances, hitchfleet.Instance.Key)
//	home := order[0].Candidate
package hitchfleet

import "time"

// Region names a group of availability zones that are close to each other.
type Region string

// AvailabilityZone names a part of a region that fails and is drained as a unit.
type AvailabilityZone string

// OrganisationID names a customer.
type OrganisationID string

// ModelID names a model that engines serve.
type ModelID string

// RouteID names a route: a model or a plain service, by the name that callers
// request.
type RouteID string

// InstanceID names a router instance. A restarted instance may keep its ID; it
// then differs from the earlier one by its Incarnation.
type InstanceID string

// Instance is one router of the fleet.
type Instance struct {
	ID InstanceID
	// Incarnation increases with each start of the instance.
	Incarnation uint64
	// Addr is the address for callers, as host:port.
	Addr string
	// PeerAddr is the address for other routers, as host:port: over UDP for the
	// serve command, over TCP for the ingress command.
	PeerAddr string
	// DatagramAddr is the address to which other instances send the datagrams that
	// they exchange several times a second.
	DatagramAddr string
	// LinkMegabits is the bandwidth of the instance's network link, in Mbit/s.
	LinkMegabits int
	Region       Region
	Zone         AvailabilityZone
	// Leaving is set once the instance is shutting down.
	Leaving bool
}

// EndpointID names an endpoint.
type EndpointID string

// EndpointKind distinguishes model engines from plain services.
type EndpointKind uint8

// The kinds of endpoints.
const (
	KindEngine EndpointKind = iota
	KindService
)

// String returns the kind's name.
func (k EndpointKind) String() string {
	if k == KindService {
		return "Service"
	}
	return "Engine"
}

// Endpoint is a back end: a model engine or a plain service.
type Endpoint struct {
	ID   EndpointID
	Kind EndpointKind
	// URL is the endpoint's base address, such as http://127.0.0.1:9001.
	URL    string
	Region Region
	Zone   AvailabilityZone
	// Route is the model or service that the endpoint serves.
	Route RouteID
	// Leaving is set once the platform lists the endpoint as leaving.
	Leaving bool
	// Service is the group of endpoints that serve the same requests. It is set if
	// the configuration routes to services.
	Service ServiceID
	// Addr is the address on which the endpoint listens, such as 10.128.0.9:8080.
	Addr string
	// Slots is the number of requests that the endpoint runs concurrently; 0 if
	// unknown.
	Slots int
	// ColdUntil is the end of a cold start; the zero time if there is none.
	ColdUntil time.Time
	// Sequence counts the heartbeats of the endpoint since its start.
	Sequence int64
	// Born is the start time of the endpoint, in Unix milliseconds. It changes when
	// the endpoint restarts under the same ID.
	Born int64
	// Version is the version of the endpoint's software, such as v1.2. A stream may go on
	// only at endpoints of the version that began it.
	Version string
}

// Supersedes reports whether the state is at least as recent as the previous state
// of the same endpoint. Heartbeats may reach the store out of order.
func (e Endpoint) Supersedes(previous Endpoint) bool {
	if e.Born != previous.Born {
		return e.Born > previous.Born
	}
	return e.Sequence >= previous.Sequence
}

// ServiceID names a group of endpoints that serve the same requests.
type ServiceID string

// InstanceList is the platform's list of the fleet at a point in time. It lags
// behind the actual state.
type InstanceList struct {
	Endpoints []Endpoint
	Instances []Instance
	// AsOf is when the platform created the list.
	AsOf time.Time
}
