package hitchburn

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Limits of the latency levels.
const (
	// FirstTokenLimit is from the request's arrival to its first token.
	FirstTokenLimit = 1500 * time.Millisecond
	// TokenGapLimit is the mean time between two tokens of one answer.
	TokenGapLimit = 48 * time.Millisecond
)

// RequestKind tells apart what the levels ask of a request.
type RequestKind uint8

// The kinds of requests.
const (
	// KindStream is a chat whose answer is streamed.
	KindStream RequestKind = iota
	// KindWhole is a chat whose answer comes whole.
	KindWhole
	// KindService is an idempotent call of a plain service.
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

// Event is what became of one request. It holds nothing of the request's content.
// Names that aren't known are empty.
type Event struct {
	Kind         RequestKind
	Route        hitchfleet.RouteID
	Organisation hitchfleet.OrganisationID
	// Zone is the availability zone of the endpoint that the request was last sent
	// to, or of the router if it was sent to none.
	Zone     hitchfleet.AvailabilityZone
	Endpoint hitchfleet.EndpointID
	// Request and Attempt name the request and its last attempt; Chat is the hash
	// of the chat. They are for the access log alone.
	Request string
	Attempt string
	Chat    hitchfleet.Key
	// Batch marks work that promises no latency.
	Batch bool
	// Status is the status code of an answer, or zero if the request was refused.
	Status int
	// Reason tells why it was refused; empty if it was answered.
	Reason  hitchoutcome.Reason
	Outcome hitchoutcome.Outcome
	// CallerGone is set if the caller left before the answer's end.
	CallerGone bool
	// Start and End are when the request came and when its answer ended.
	Start time.Time
	End   time.Time
	// FirstToken and LastToken are when the first and the last token were handed to
	// the caller, or zero. Tokens counts the events of the answer that carry data.
	FirstToken time.Time
	LastToken  time.Time
	Tokens     int
}

// serverError is the least status code of a fault that isn't the caller's
// (RFC 9110, 15.6).
const serverError = 500

// IsAnswered tells whether the request has a whole answer.
func (e Event) IsAnswered() bool { return e.Reason == "" && !e.CallerGone }

// FirstTokenAfter returns the time from the request to its first token.
func (e Event) FirstTokenAfter() (after time.Duration, ok bool) {
	return e.FirstToken.Sub(e.Start), !e.FirstToken.IsZero()
}

// MeanGap returns the mean time between the answer's tokens: from the first to
// the last, divided by the number of gaps. It needs two tokens.
func (e Event) MeanGap() (gap time.Duration, ok bool) {
	if e.Tokens < 2 {
		return 0, false
	}
	return e.LastToken.Sub(e.FirstToken) / time.Duration(e.Tokens-1), true
}

// verdict is what an event says on a level.
type verdict uint8

const (
	notCounted verdict = iota
	good
	bad
)

func verdictOf(isGood bool) verdict {
	if isGood {
		return good
	}
	return bad
}

// on returns the event's verdict on a level.
func (e *Event) on(l Level) verdict {
	switch l {
	case Availability:
		return e.availability()
	case FirstToken:
		return e.firstToken()
	case TokenGap:
		return e.tokenGap()
	default:
		return e.booking()
	}
}

// availability doesn't count a caller that left by itself.
func (e *Event) availability() verdict {
	switch {
	case e.CallerGone:
		return notCounted
	case e.Reason != "":
		return verdictOf(isCallersFault(e.Reason) && e.Outcome == hitchoutcome.NotRun)
	default:
		return verdictOf(e.Status < serverError)
	}
}

// firstToken counts interactive streams that have a first token, and those that
// waited longer than the limit for none. A caller that left earlier, and a
// refusal within the limit, say nothing on latency.
func (e *Event) firstToken() verdict {
	if e.Kind != KindStream || e.Batch {
		return notCounted
	}
	if after, ok := e.FirstTokenAfter(); ok {
		return verdictOf(after <= FirstTokenLimit)
	}
	if e.End.Sub(e.Start) > FirstTokenLimit && (e.Reason != "" || e.CallerGone) {
		return bad
	}
	return notCounted
}

func (e *Event) tokenGap() verdict {
	gap, ok := e.MeanGap()
	if !ok || e.Kind != KindStream || e.Batch {
		return notCounted
	}
	return verdictOf(gap <= TokenGapLimit)
}

// booking counts every call that isn't idempotent, whether its caller left or not.
func (e *Event) booking() verdict {
	if e.Kind != KindBooking {
		return notCounted
	}
	return verdictOf(e.Outcome != hitchoutcome.Unknown)
}

// isCallersFault tells whether a refusal is for something that the caller can
// mend or is not allowed.
func isCallersFault(reason hitchoutcome.Reason) bool {
	switch reason {
	case hitchoutcome.ReasonBadRequest, hitchoutcome.ReasonUnauthenticated, hitchoutcome.ReasonForbidden,
		hitchoutcome.ReasonNoRoute, hitchoutcome.ReasonTooLarge, hitchoutcome.ReasonKeyMissing,
		hitchoutcome.ReasonKeyInvalid, hitchoutcome.ReasonKeyExpired, hitchoutcome.ReasonKeyReused,
		hitchoutcome.ReasonShareExceeded, hitchoutcome.ReasonConflict:
		return true
	default:
		return false
	}
}
