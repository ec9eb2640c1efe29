package hitchoutcome

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrClosed is returned if an attempt is to start for a request that already has
// its final response.
var ErrClosed = errors.New("hitchoutcome: the request already has its final response")

// DispatchTracker tracks whether an attempt of one request may have run at an
// endpoint. The zero value is a request without attempts. Its methods are safe for
// concurrent use.
type DispatchTracker struct {
	mu         sync.Mutex
	unresolved int // attempts that were dispatched and may have run
	answered   bool
	closed     bool
}

// BeginDispatch records the start of an attempt. It must be called before the first
// byte of the attempt is written. It returns ErrClosed if the request already has
// its final response.
func (t *DispatchTracker) BeginDispatch() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	t.unresolved++
	return nil
}

// MarkUnsent reverts one call of BeginDispatch. It may be called only if no byte of
// the attempt's request was written (the connection was refused, or the dial
// failed), or if the endpoint guarantees that it hasn't run the request and never
// will.
func (t *DispatchTracker) MarkUnsent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresolved > 0 {
		t.unresolved--
	}
}

// MarkAnswered records that an endpoint's complete response is known.
func (t *DispatchTracker) MarkAnswered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered = true
}

// Outcome returns the outcome that the attempts so far imply.
func (t *DispatchTracker) Outcome() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcome()
}

func (t *DispatchTracker) outcome() Outcome {
	switch {
	case t.answered:
		return Ran
	case t.unresolved == 0:
		return NotRun
	default:
		return Unknown
	}
}

// Refuse closes the request and returns its final response. No attempt can start
// afterwards, so that a NotRun remains true.
func (t *DispatchTracker) Refuse(reason Reason, retryAt time.Time, format string, args ...any) *Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return &Refusal{
		Reason:  reason,
		Outcome: t.outcome(),
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}
