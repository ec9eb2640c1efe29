package hitchforward

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"citronhitch.example/citronhitch/hitchfleet"
)

// FailureKind is the way in which an attempt failed.
type FailureKind uint8

// The kinds of failures.
const (
	// FailureUnsent means that no byte of the request was written.
	FailureUnsent FailureKind = iota
	// FailureSilent means that no data arrived in time.
	FailureSilent
	// FailureCut means that the connection broke before the response was complete.
	FailureCut
	// FailureCrossed means that the response belonged to another attempt, or to none.
	FailureCrossed
	// FailureBusy means that the endpoint responded that it can't serve the call
	// now.
	FailureBusy
	// FailureTooLarge means that the response was larger than the limit.
	FailureTooLarge
	// FailureDiverged means that a replayed stream differed from the events that
	// the caller already has.
	FailureDiverged
	// FailureTimeout means that the request's deadline passed.
	FailureTimeout
	// FailureCallerGone means that the caller disconnected.
	FailureCallerGone
	failureKindCount
)

var failureNames = [failureKindCount]string{
	"Unsent", "Silent", "Cut", "Crossed", "Busy", "TooLarge", "Diverged", "Timeout", "CallerGone",
}

// String returns the kind's name as used in logs.
func (k FailureKind) String() string {
	if k < failureKindCount {
		return failureNames[k]
	}
	return fmt.Sprintf("FailureKind(%d)", uint8(k))
}

// Failure is the error of an attempt without a complete response. Callers match it
// with errors.As.
type Failure struct {
	Kind     FailureKind
	Endpoint hitchfleet.EndpointID
	Attempt  string
	Err      error
}

// Error returns the attempt, the endpoint, the kind and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("attempt %s at endpoint %s: %s: %v", f.Attempt, f.Endpoint, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// IsUnresponsive reports whether the endpoint didn't respond in time, rather than
// refusing or closing the connection. The network path to it may then be
// unreachable.
func (f *Failure) IsUnresponsive() bool {
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

// MayRetry reports whether an idempotent call may be retried after the failure.
func (f *Failure) MayRetry() bool {
	switch f.Kind {
	case FailureTooLarge, FailureDiverged, FailureTimeout, FailureCallerGone:
		return false
	default:
		return true
	}
}

// FailureCounts counts failures by kind. The zero value is ready to use.
type FailureCounts struct {
	byKind [failureKindCount]atomic.Int64
}

func (c *FailureCounts) add(k FailureKind) { c.byKind[k].Add(1) }

// Get returns the number of failures of a kind.
func (c *FailureCounts) Get(k FailureKind) int64 { return c.byKind[k].Load() }
