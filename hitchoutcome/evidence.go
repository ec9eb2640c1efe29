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

// Evidence tracks which attempts of one request may have reached an endpoint. The
// zero value is a request without attempts. Its methods are safe for concurrent
// use.
type Evidence struct {
	mu         sync.Mutex
	unresolved int // attempts that were dispatched and aren't known to be unsent
	answered   bool
	closed     bool
}

// Dispatching records the start of an attempt. It must be called before the first
// byte of the attempt is written. It returns ErrClosed if the request already has
// its final response.
func (e *Evidence) Dispatching() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	e.unresolved++
	return nil
}

// Unsent reverts one call of Dispatching. It may be called only if no byte of the
// attempt's request was written (the connection was refused, or the dial failed),
// or if the endpoint guarantees that it hasn't run the request and never will.
func (e *Evidence) Unsent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresolved > 0 {
		e.unresolved--
	}
}

// Answered records that an endpoint's complete response is known.
func (e *Evidence) Answered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = true
}

// Outcome returns the outcome that the attempts so far imply.
func (e *Evidence) Outcome() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outcome()
}

func (e *Evidence) outcome() Outcome {
	switch {
	case e.answered:
		return Ran
	case e.unresolved == 0:
		return NotRun
	default:
		return Unknown
	}
}

// Refuse closes the request and returns its final response. No attempt can start
// afterwards, so that a NotRun remains true.
func (e *Evidence) Refuse(reason Reason, retryAt time.Time, format string, args ...any) *Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	return &Refusal{
		Reason:  reason,
		Outcome: e.outcome(),
		Detail:  fmt.Sprintf(format, args...),
		RetryAt: retryAt,
	}
}
