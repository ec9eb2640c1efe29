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

// problemMediaType is the media type of error responses (RFC 9457).
const problemMediaType = "application/problem+json"

// Problem is an error response (RFC 9457). The members that the RFC defines have
// lower-case names, and the extension members have Pascal case names.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome reports whether the request was executed.
	Outcome hitchoutcome.Outcome `json:"Outcome"`
	Reason  hitchoutcome.Reason  `json:"Reason"`
	// RetryAt is the earliest time to retry. It is omitted if a retry can't succeed.
	RetryAt *time.Time `json:"RetryAt,omitempty"`
	// BookingKey is a new key that replaces a missing or unusable one.
	BookingKey string `json:"BookingKey,omitempty"`
}

// statusByReason maps refusal reasons to HTTP status codes (RFC 9110, 15).
var statusByReason = map[hitchoutcome.Reason]int{
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
	hitchoutcome.ReasonQuarantined:     http.StatusServiceUnavailable,
	hitchoutcome.ReasonConflict:        http.StatusConflict,
}

// Status returns the HTTP status code for a refusal reason.
func Status(reason hitchoutcome.Reason) int {
	if status, ok := statusByReason[reason]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// ProblemOf converts an error to a Problem. An error that isn't a
// *hitchoutcome.Refusal becomes an internal error with the outcome Unknown, whose
// text isn't sent to the caller.
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
		retryAt := refusal.RetryAt.UTC().Round(0)
		p.RetryAt = &retryAt
	}
	return p
}

// Error returns the detail. Together with GetStatus it implements
// huma.StatusError.
func (p *Problem) Error() string { return p.Detail }

// GetStatus returns the HTTP status code.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of RFC 9457.
func (p *Problem) ContentType(string) string { return problemMediaType }

// WithBookingKey returns a copy that gives the caller a new key.
func (p Problem) WithBookingKey(key string) *Problem {
	p.BookingKey = key
	return &p
}

// retryAfter returns the value of the Retry-After header field (RFC 9110,
// 10.2.3): the seconds until RetryAt, rounded up and at least 1.
func (p *Problem) retryAfter(now time.Time) string {
	seconds := math.Ceil(p.RetryAt.Sub(now).Seconds())
	return strconv.Itoa(int(math.Max(1, seconds)))
}

// setHeader sets the response header fields for the problem.
func (p *Problem) setHeader(header http.Header, now time.Time) {
	header.Set("Content-Type", problemMediaType)
	header.Set("X-Outcome", p.Outcome.String())
	if p.RetryAt != nil {
		header.Set("Retry-After", p.retryAfter(now))
	}
}

// WriteProblem sends an error as the complete response.
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

// newHumaError converts huma's own errors to Problems. huma reports them before a
// request is executed, so their outcome is NotRun.
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
