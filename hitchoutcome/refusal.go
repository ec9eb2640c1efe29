package hitchoutcome

import (
	"fmt"
	"time"
)

// Reason says why a request was refused, in one word for programs.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest      Reason = "BadRequest"
	ReasonUnauthenticated Reason = "Unauthenticated"
	ReasonForbidden       Reason = "Forbidden"
	ReasonNoRoute         Reason = "NoRoute"
	ReasonTooLarge        Reason = "TooLarge"
	ReasonKeyMissing      Reason = "KeyMissing"
	ReasonKeyInvalid      Reason = "KeyInvalid"
	ReasonKeyExpired      Reason = "KeyExpired"
	ReasonKeyReused       Reason = "KeyReused"
	ReasonHomeLost        Reason = "HomeLost"
	ReasonOverloaded      Reason = "Overloaded"
	ReasonShareExceeded   Reason = "ShareExceeded"
	ReasonNoEndpoint      Reason = "NoEndpoint"
	ReasonEndpointLost    Reason = "EndpointLost"
	ReasonTimeout         Reason = "Timeout"
	ReasonStoreOut        Reason = "StoreOut"
	ReasonStale           Reason = "Stale"
	ReasonLeaving         Reason = "Leaving"
	ReasonConflict        Reason = "Conflict"
	ReasonInternal        Reason = "Internal"
)

// Refusal is the final answer to a request that the system has given up on. It
// is an error; callers match it with errors.As.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// Detail is one sentence for people.
	Detail string
	// RetryAt is when the caller may come back. The zero time means that coming
	// back with the same request won't help.
	RetryAt time.Time
}

// Error returns one line that names the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// WithDetail returns a copy with another sentence for people.
func (r Refusal) WithDetail(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)
	return &r
}

// RefuseUnsent refuses a request that has no Evidence yet, since nothing was
// dispatched for it: bad input, no permission, no slot. It is NotRun.
func RefuseUnsent(reason Reason, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: NotRun,
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}
