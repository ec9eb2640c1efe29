package hitchoutcome

import (
	"fmt"
	"time"
)

// Reason is the machine-readable cause of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest      Reason = "BadRequest"
	ReasonUnauthenticated Reason = "Unauthenticated"
	ReasonForbidden       Reason = "Forbidden"
	ReasonNoRoute         Reason = "NoRoute"
	ReasonTooLarge        Reason = "TooLarge"
	ReasonHeadTooLarge    Reason = "HeadTooLarge"
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
	// ReasonOriginUnknown and ReasonOtherVersions are for streams that can't go on: it
	// isn't known which version of the endpoints began it, or there is none of it.
	ReasonOriginUnknown Reason = "OriginUnknown"
	ReasonOtherVersions Reason = "OtherVersions"
	ReasonLeaving       Reason = "Leaving"
	// ReasonQuarantined is for requests at which endpoints crash.
	ReasonQuarantined Reason = "Quarantined"
	ReasonConflict    Reason = "Conflict"
	ReasonInternal    Reason = "Internal"
)

// Refusal is the final response to a request that the system doesn't serve or has
// stopped trying to serve. It is an error; callers match it with errors.As.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// Detail is a human-readable sentence.
	Detail string
	// RetryAt is when the caller may retry. The zero time means that a retry of the
	// same request can't succeed.
	RetryAt time.Time
}

// Error returns the reason, the outcome and the detail in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// WithDetail returns a copy with another detail.
func (r Refusal) WithDetail(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)
	return &r
}

// RefuseNotRun returns the refusal of a request that has no DispatchTracker because
// nothing was dispatched for it, such as after invalid input, without permission or
// without a free slot. Its outcome is NotRun.
func RefuseNotRun(reason Reason, retryAt time.Time, format string, args ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: NotRun,
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}
