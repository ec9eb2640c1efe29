package hitchingress

import (
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchquota"
)

// Request is the decoded header of a caller's request.
type Request struct {
	// ID is the attempt ID, which the caller generates and the endpoint echoes.
	ID string
	// Key is the caller's API key.
	Key string
	// Deadline is when the caller stops waiting; the zero time if it set no deadline.
	Deadline time.Time
	Prompt   hitchbalance.Prompt
	// LastEventID is the ID of the last stream event that the caller received, or 0.
	LastEventID int
	// Resumes is the ID of the caller's attempt that received the first event of the stream
	// that this request takes up again; empty if it begins one.
	Resumes string
	// Header holds the header fields to forward to the endpoint.
	Header http.Header
}

// RoutingInfo holds the header values that the router adds to a request for an
// endpoint.
type RoutingInfo struct {
	Endpoint     hitchfleet.EndpointID
	Organisation hitchfleet.OrganisationID
	// RemainingTime is the time until the caller's deadline; 0 if it set none.
	RemainingTime time.Duration
	// CacheSourceAddr is the address of an engine from which the endpoint first copies
	// cached parts of the prompt, or empty.
	CacheSourceAddr string
	// LastEventID is the ID of the last event that the caller received; the stream
	// continues with the next one.
	LastEventID int
}

// ResponseHead is the decoded header of an endpoint's response.
type ResponseHead struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// HasDigest reports whether the response carries the endpoint's digest.
	HasDigest bool
	// DidNotRun reports whether the endpoint guarantees that it didn't run the request.
	DidNotRun bool
	// IsOtherEndpoint reports whether another endpoint than the intended one responded.
	IsOtherEndpoint bool
	// HasContentEncoding reports whether the body has a content encoding. Endpoints
	// apply none, so such a body isn't the one that the endpoint sent.
	HasContentEncoding bool
	// IsLeaving reports whether the endpoint says that it is shutting down.
	IsLeaving bool
	// PausedUntil is until when the endpoint wants no requests from this instance; the zero
	// time if it asks for no pause.
	PausedUntil time.Time
	// Quota is the limit of the requests that the endpoint names, if any.
	Quota hitchquota.Quota
	// IsBrittle is set if the endpoint says that it doesn't bear to refuse many requests.
	IsBrittle bool
	// Refusal is that of another instance that was to send the request on; nil if there is none.
	Refusal *hitchoutcome.Refusal
	// Runs is how many endpoints may have run the request until the response, if another instance has
	// sent it on; 0 if that isn't known.
	Runs int
	// Load is the load that the endpoint reports. It is valid only if HasLoad is set.
	Load    hitchbalance.Load
	HasLoad bool
}

// RelayInfo holds the header values of a request that another instance sends on.
type RelayInfo struct {
	// Key is the caller's API key.
	Key string
	// Deadline is when the caller stops waiting; the zero time if it set none.
	Deadline time.Time
	// LastEventID is the ID of the last event that the caller received.
	LastEventID int
}

// Protocol translates between callers, endpoints and the router. Its fields are
// set before the first request.
type Protocol struct {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest func(r *http.Request, now time.Time) Request
	// EncodeRoutingInfo writes the routing information to the header of a request.
	EncodeRoutingInfo func(h http.Header, info RoutingInfo)
	// EncodeRelay writes what a caller sent to the header of a request that another instance
	// sends on.
	EncodeRelay func(h http.Header, info RelayInfo)
	// DecodeResponse decodes the header of an endpoint's response.
	DecodeResponse func(status int, h http.Header, now time.Time) ResponseHead
}
