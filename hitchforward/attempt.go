package hitchforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

var (
	errSilent     = errors.New("no byte within the silence limit")
	errCrossed    = errors.New("the answer carries another attempt's ID")
	errTooLarge   = errors.New("the answer is larger than the limit")
	errCallerGone = errors.New("the caller left")
)

// attempt is one try of a call at an endpoint.
type attempt struct {
	client   *Client
	id       string
	endpoint hitchfleet.Endpoint
	wrote    atomic.Bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	response *http.Response
}

// open sends a call and reads the head of its answer.
func (c *Client) open(ctx context.Context, call Call, to hitchfleet.Endpoint, id string, ev *hitchoutcome.Evidence) (_ *attempt, err error) {
	c.init()
	a := &attempt{client: c, id: id, endpoint: to}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer func() {
		if err != nil {
			a.close()
		}
	}()
	r, err := a.request(call)
	if err != nil {
		return nil, a.fail(FailureUnsent, err)
	}
	if err := ev.Dispatching(); err != nil {
		return nil, a.fail(FailureCallerGone, err)
	}
	a.watchdog = time.AfterFunc(c.silence(), func() { a.cancel(errSilent) })
	a.response, err = c.transportFor(call.Idempotent).RoundTrip(r)
	if err != nil && !a.wrote.Load() {
		ev.Unsent()
		return nil, a.failUnsent(err)
	}
	if err != nil {
		return nil, a.failRead(err)
	}
	a.heard()
	if err := a.check(); err != nil {
		return nil, err
	}
	return a, nil
}

// check makes sure that the answer belongs to the attempt. An error status
// without an attempt ID, as from something before the endpoint, is no answer.
func (a *attempt) check() error {
	got, status := a.response.Header.Get(AttemptHeader), a.response.StatusCode
	switch {
	case got == a.id:
		return nil
	case got == "" && status >= http.StatusBadRequest:
		return a.fail(FailureBusy, fmt.Errorf("status %d without an attempt ID", status))
	default:
		return a.fail(FailureCrossed, fmt.Errorf("%w: %q", errCrossed, got))
	}
}

// request builds the HTTP request. Its trace notes when a connection is handed
// over: before that no byte can have been written.
func (a *attempt) request(call Call) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.wrote.Store(true) }}
	url := strings.TrimSuffix(a.endpoint.URL, "/") + call.Path
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(a.ctx, trace), call.Method, url, body)
	if err != nil {
		return nil, err
	}
	r.Header = EndToEnd(call.Header)
	r.Header.Set(AttemptHeader, a.id)
	if !call.Deadline.IsZero() {
		r.Header.Set("X-Deadline", call.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return r, nil
}

// heard puts off the watchdog, as a byte has come.
func (a *attempt) heard() { a.watchdog.Reset(a.client.silence()) }

// Read reads the answer's body under the watchdog.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if n > 0 {
		a.heard()
	}
	return n, err
}

func (a *attempt) close() {
	if a.watchdog != nil {
		a.watchdog.Stop()
	}
	a.cancel(context.Canceled)
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

func (a *attempt) fail(kind FailureKind, err error) *Failure {
	a.client.Counts.add(kind)
	return &Failure{Kind: kind, Endpoint: a.endpoint.ID, Attempt: a.id, Err: err}
}

// failUnsent names the failure of an attempt that got no connection.
func (a *attempt) failUnsent(err error) *Failure {
	kind := a.causeKind(FailureUnsent)
	if kind == FailureSilent {
		kind = FailureUnsent
	}
	return a.fail(kind, err)
}

// failRead names the failure of a connection that broke while it was read.
func (a *attempt) failRead(err error) *Failure {
	kind := a.causeKind(FailureCut)
	if kind == FailureSilent {
		a.client.Retire()
	}
	return a.fail(kind, err)
}

// causeKind tells a silent connection, a passed deadline and a caller that left
// from the given kind.
func (a *attempt) causeKind(otherwise FailureKind) FailureKind {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errSilent):
		return FailureSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return FailureTimeout
	case cause != nil:
		return FailureCallerGone
	default:
		return otherwise
	}
}
