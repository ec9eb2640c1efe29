package hitchburn

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Latency limits of the service levels FirstToken and TokenGap.
const (
	// FirstTokenLimit is the maximum time from a request's arrival to its first token.
	FirstTokenLimit = 1500 * time.Millisecond
	// TokenGapLimit is the maximum mean time between the tokens of one response.
	TokenGapLimit = 48 * time.Millisecond
)

// RequestKind determines which service levels apply to a request.
type RequestKind uint8

// The kinds of requests.
const (
	// KindStream is a chat request with a streamed response.
	KindStream RequestKind = iota
	// KindNonStreaming is a chat request whose response is sent in one piece.
	KindNonStreaming
	// KindService is an idempotent call to a service without an engine.
	KindService
	// KindBooking is a call that isn't idempotent.
	KindBooking
	kindCount
)

var kindNames = [kindCount]string{"Stream", "Whole", "Service", "Booking"}

// String returns the kind's name.
func (k RequestKind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "Unknown"
}

// Event describes one finished request without its content. Unknown names are
// empty.
type Event struct {
	Kind         RequestKind
	Route        hitchfleet.RouteID
	Organisation hitchfleet.OrganisationID
	// Zone is the availability zone of the endpoint that received the last attempt,
	// or of the router if no attempt was sent.
	Zone     hitchfleet.AvailabilityZone
	Endpoint hitchfleet.EndpointID
	// Request and Attempt are the IDs of the request and its last attempt; Chat is
	// the hash of the chat. Only the access log uses them.
	Request string
	Attempt string
	Chat    hitchfleet.Key
	// Batch marks batch requests, for which the latency levels don't apply.
	Batch bool
	// Status is the HTTP status code of the response, or zero if the request was
	// refused.
	Status int
	// Reason is why the request was refused; empty if an endpoint responded.
	Reason  hitchoutcome.Reason
	Outcome hitchoutcome.Outcome
	// CallerDisconnected is set if the caller disconnected before the end of the response.
	CallerDisconnected bool
	// Start is when the request arrived, End when its response ended.
	Start time.Time
	End   time.Time
	// FirstToken and LastToken are when the first and the last token were sent to
	// the caller, or zero. Tokens counts the response's events that carry data.
	FirstToken time.Time
	LastToken  time.Time
	Tokens     int
}

// minServerErrorStatus is the lowest status code of a server error (RFC 9110, 15.6).
const minServerErrorStatus = 500

// HasCompleteResponse reports whether the caller received a complete response.
func (e Event) HasCompleteResponse() bool { return e.Reason == "" && !e.CallerDisconnected }

// TimeToFirstToken returns the time from the request's arrival to its first token.
func (e Event) TimeToFirstToken() (after time.Duration, ok bool) {
	return e.FirstToken.Sub(e.Start), !e.FirstToken.IsZero()
}

// MeanTokenGap returns the mean time between the response's tokens: the time from
// the first to the last, divided by the number of gaps. It needs two tokens.
func (e Event) MeanTokenGap() (gap time.Duration, ok bool) {
	if e.Tokens < 2 {
		return 0, false
	}
	return e.LastToken.Sub(e.FirstToken) / time.Duration(e.Tokens-1), true
}

// verdict classifies an event for one service level.
type verdict uint8

const (
	notCounted verdict = iota
	good
	bad
)

func verdictIf(isGood bool) verdict {
	if isGood {
		return good
	}
	return bad
}

// verdictFor classifies the event for a service level.
func (e *Event) verdictFor(l Level) verdict {
	switch l {
	case Availability:
		return e.availabilityVerdict()
	case FirstToken:
		return e.firstTokenVerdict()
	case TokenGap:
		return e.tokenGapVerdict()
	default:
		return e.bookingVerdict()
	}
}

// availabilityVerdict doesn't count requests whose caller disconnected.
func (e *Event) availabilityVerdict() verdict {
	switch {
	case e.CallerDisconnected:
		return notCounted
	case e.Reason != "":
		return verdictIf(isCallerError(e.Reason) && e.Outcome == hitchoutcome.NotRun)
	default:
		return verdictIf(e.Status < minServerErrorStatus)
	}
}

// firstTokenVerdict counts interactive streams that have a first token, and those
// that ended without one after more than the limit. Requests that the caller
// cancelled or that were refused within the limit aren't counted, as they give no
// information about latency.
func (e *Event) firstTokenVerdict() verdict {
	if e.Kind != KindStream || e.Batch {
		return notCounted
	}
	if after, ok := e.TimeToFirstToken(); ok {
		return verdictIf(after <= FirstTokenLimit)
	}
	if e.End.Sub(e.Start) > FirstTokenLimit && (e.Reason != "" || e.CallerDisconnected) {
		return bad
	}
	return notCounted
}

func (e *Event) tokenGapVerdict() verdict {
	gap, ok := e.MeanTokenGap()
	if !ok || e.Kind != KindStream || e.Batch {
		return notCounted
	}
	return verdictIf(gap <= TokenGapLimit)
}

// bookingVerdict counts every non-idempotent call, also if its caller disconnected.
func (e *Event) bookingVerdict() verdict {
	if e.Kind != KindBooking {
		return notCounted
	}
	return verdictIf(e.Outcome != hitchoutcome.Unknown)
}

// isCallerError reports whether a request was refused because it was invalid, not
// permitted or over the caller's share.
func isCallerError(reason hitchoutcome.Reason) bool {
	switch reason {
	case hitchoutcome.ReasonBadRequest, hitchoutcome.ReasonUnauthenticated, hitchoutcome.ReasonForbidden,
		hitchoutcome.ReasonNoRoute, hitchoutcome.ReasonTooLarge, hitchoutcome.ReasonHeadTooLarge, hitchoutcome.ReasonKeyMissing,
		hitchoutcome.ReasonKeyInvalid, hitchoutcome.ReasonKeyExpired, hitchoutcome.ReasonKeyReused,
		hitchoutcome.ReasonShareExceeded, hitchoutcome.ReasonConflict:
		return true
	default:
		return false
	}
}
