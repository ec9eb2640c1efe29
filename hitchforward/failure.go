package hitchforward

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"citronhitch.example/citronhitch/hitchfleet"
)

// FailureKind says how an attempt failed.
type FailureKind uint8

// The kinds of failures.
const (
	// FailureUnsent means that no byte of the request was written.
	FailureUnsent FailureKind = iota
	// FailureSilent means that the connection carried no byte for too long.
	FailureSilent
	// FailureCut means that the connection broke before the answer was whole.
	FailureCut
	// FailureCrossed means that the answer belonged to another attempt.
	FailureCrossed
	// FailureBusy means that the endpoint answered that it can't serve now.
	FailureBusy
	// FailureTooLarge means that the answer was larger than the limit.
	FailureTooLarge
	// FailureDiverged means that a replay didn't repeat what the caller has.
	FailureDiverged
	// FailureTimeout means that the request's deadline passed.
	FailureTimeout
	// FailureCallerGone means that the caller left.
	FailureCallerGone
	failureKinds
)

var failureNames = [failureKinds]string{
	"Unsent", "Silent", "Cut", "Crossed", "Busy", "TooLarge", "Diverged", "Timeout", "CallerGone",
}

// String returns the kind's name as it stands in logs.
func (k FailureKind) String() string {
	if k < failureKinds {
		return failureNames[k]
	}
	return fmt.Sprintf("FailureKind(%d)", uint8(k))
}

// Failure is an attempt that brought no whole answer. Callers match it with
// errors.As.
type Failure struct {
	Kind     FailureKind
	Endpoint hitchfleet.EndpointID
	Attempt  string
	Err      error
}

// Error names the kind, the endpoint, the attempt and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("attempt %s at endpoint %s: %s: %v", f.Attempt, f.Endpoint, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// IsSilence tells whether nothing came in time, rather than that the endpoint
// refused or broke the connection: the way to it may be cut.
func (f *Failure) IsSilence() bool {
	switch f.Kind {
	case FailureSilent:
		return true
	case FailureUnsent, FailureCut:
		var timeout net.Error
		return errors.As(f.Err, &timeout) && timeout.Timeout()
	default:
		return false
	}
}

// MayRetry tells whether an idempotent call may be tried again after the
// failure.
func (f *Failure) MayRetry() bool {
	switch f.Kind {
	case FailureTooLarge, FailureDiverged, FailureTimeout, FailureCallerGone:
		return false
	default:
		return true
	}
}

// Counts holds the number of failures by kind. The zero value is ready.
type Counts struct {
	byKind [failureKinds]atomic.Int64
}

func (c *Counts) add(k FailureKind) { c.byKind[k].Add(1) }

// Of returns the number of failures of a kind.
func (c *Counts) Of(k FailureKind) int64 { return c.byKind[k].Load() }
