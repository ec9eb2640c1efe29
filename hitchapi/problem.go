package hitchapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// problemType is the media type of RFC 9457.
const problemType = "application/problem+json"

// Problem is an error answer (RFC 9457). The members of the RFC keep its
// lower-case names; the extension members are in Pascal case.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome tells whether the work ran.
	Outcome hitchoutcome.Outcome `json:"Outcome"`
	Reason  hitchoutcome.Reason  `json:"Reason"`
	// RetryAt is when to come back. It is left out if coming back won't help.
	RetryAt *time.Time `json:"RetryAt,omitempty"`
	// BookingKey is a fresh key to use instead of a missing or unusable one.
	BookingKey string `json:"BookingKey,omitempty"`
}

// statuses maps reasons to HTTP status codes (RFC 9110, 15).
var statuses = map[hitchoutcome.Reason]int{
	hitchoutcome.ReasonBadRequest:      http.StatusBadRequest,
	hitchoutcome.ReasonUnauthenticated: http.StatusUnauthorized,
	hitchoutcome.ReasonForbidden:       http.StatusForbidden,
	hitchoutcome.ReasonNoRoute:         http.StatusNotFound,
	hitchoutcome.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	hitchoutcome.ReasonKeyMissing:      http.StatusBadRequest,
	hitchoutcome.ReasonKeyInvalid:      http.StatusBadRequest,
	hitchoutcome.ReasonKeyExpired:      http.StatusGone,
	hitchoutcome.ReasonKeyReused:       http.StatusUnprocessableEntity,
	hitchoutcome.ReasonHomeLost:        http.StatusServiceUnavailable,
	hitchoutcome.ReasonOverloaded:      http.StatusServiceUnavailable,
	hitchoutcome.ReasonShareExceeded:   http.StatusTooManyRequests,
	hitchoutcome.ReasonNoEndpoint:      http.StatusServiceUnavailable,
	hitchoutcome.ReasonEndpointLost:    http.StatusBadGateway,
	hitchoutcome.ReasonTimeout:         http.StatusGatewayTimeout,
	hitchoutcome.ReasonStoreOut:        http.StatusServiceUnavailable,
	hitchoutcome.ReasonStale:           http.StatusServiceUnavailable,
	hitchoutcome.ReasonLeaving:         http.StatusServiceUnavailable,
	hitchoutcome.ReasonConflict:        http.StatusConflict,
}

// Status returns the HTTP status code of a reason.
func Status(reason hitchoutcome.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// ProblemOf returns the error answer for an error. One that is no refusal is an
// internal error whose outcome is Unknown, and whose text stays inside.
func ProblemOf(err error) *Problem {
	refusal := &hitchoutcome.Refusal{Reason: hitchoutcome.ReasonInternal, Detail: "the router failed"}
	errors.As(err, &refusal)
	status := Status(refusal.Reason)
	p := &Problem{
		Type:    "urn:citronhitch:problem:" + string(refusal.Reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  refusal.Detail,
		Outcome: refusal.Outcome,
		Reason:  refusal.Reason,
	}
	if !refusal.RetryAt.IsZero() {
		at := refusal.RetryAt.UTC().Round(0)
		p.RetryAt = &at
	}
	return p
}

// Error returns the detail. With GetStatus it lets huma send a Problem.
func (p *Problem) Error() string { return p.Detail }

// GetStatus returns the HTTP status code.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of RFC 9457.
func (p *Problem) ContentType(string) string { return problemType }

// WithBookingKey returns a copy that hands the caller a fresh key.
func (p Problem) WithBookingKey(key string) *Problem {
	p.BookingKey = key
	return &p
}

// retryAfter returns whole seconds from now until RetryAt, at least 1
// (RFC 9110, 10.2.3).
func (p *Problem) retryAfter(now time.Time) string {
	seconds := math.Ceil(p.RetryAt.Sub(now).Seconds())
	return strconv.Itoa(int(math.Max(1, seconds)))
}

// setHeader sets the fields that go with the problem.
func (p *Problem) setHeader(header http.Header, now time.Time) {
	header.Set("Content-Type", problemType)
	header.Set("X-Outcome", p.Outcome.String())
	if p.RetryAt != nil {
		header.Set("Retry-After", p.retryAfter(now))
	}
}

// WriteProblem sends an error as the whole answer.
func WriteProblem(w http.ResponseWriter, now time.Time, err error) {
	p, ok := err.(*Problem)
	if !ok {
		p = ProblemOf(err)
	}
	body, _ := json.Marshal(p)
	p.setHeader(w.Header(), now)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// newHumaError makes huma's own errors Problems too. huma finds them before any
// work starts, so they are NotRun.
func newHumaError(status int, msg string, errs ...error) huma.StatusError {
	for _, err := range errs {
		msg += ": " + err.Error()
	}
	return &Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  msg,
		Outcome: hitchoutcome.NotRun,
		Reason:  hitchoutcome.ReasonBadRequest,
	}
}

func init() {
	huma.NewError = newHumaError
}
