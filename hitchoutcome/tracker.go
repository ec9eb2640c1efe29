package hitchoutcome

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrClosed says that a request has its final answer, so that no attempt may
// start any more.
var ErrClosed = errors.New("hitchoutcome: the request has its final answer")

// Evidence records what may have reached endpoints for one request. The zero
// value is a request of which nothing was dispatched. Its methods are safe for
// several goroutines.
type Evidence struct {
	mu     sync.Mutex
	open   int // attempts dispatched and not proved unsent
	ran    bool
	closed bool
}

// Dispatching must be called before the first byte of an attempt is written.
// It fails with ErrClosed once the request has its final answer.
func (e *Evidence) Dispatching() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	e.open++
	return nil
}

// Unsent takes back one Dispatching. It may be called only where no byte of
// the attempt's request was written (the connection was refused, or the dial
// failed), or where the endpoint promised that it didn't run the request and
// never will.
func (e *Evidence) Unsent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open > 0 {
		e.open--
	}
}

// Answered records that an endpoint's whole answer is known.
func (e *Evidence) Answered() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran = true
}

// Outcome returns what the evidence proves so far.
func (e *Evidence) Outcome() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outcome()
}

func (e *Evidence) outcome() Outcome {
	switch {
	case e.ran:
		return Ran
	case e.open == 0:
		return NotRun
	default:
		return Unknown
	}
}

// Refuse closes the request and returns its final answer. After it no attempt
// can start, so a NotRun stays true.
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
