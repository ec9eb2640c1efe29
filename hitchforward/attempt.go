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

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

var (
	errNoData       = errors.New("no data received within the inactivity timeout")
	errWrongAttempt = errors.New("the response has the ID of another attempt")
	errTooLarge     = errors.New("the response exceeds the size limit")
	errCallerGone   = errors.New("the caller disconnected")
	errCut          = errors.New("the connection broke after the request was written")
)

// attempt is one attempt of a call at an endpoint.
type attempt struct {
	client   *Client
	id       string
	endpoint hitchfleet.Endpoint
	// gotConn is set once the transport has a connection, and isWritten once it has written the
	// header of the request.
	gotConn, isWritten atomic.Bool
	ctx                context.Context
	cancel             context.CancelCauseFunc
	watchdog           *time.Timer
	response           *http.Response
}

// startAttempt sends a call and reads the header of its response.
func (c *Client) startAttempt(ctx context.Context, call Call, endpoint hitchfleet.Endpoint, id string, tracker *hitchoutcome.DispatchTracker) (_ *attempt, err error) {
	c.init()
	a := &attempt{client: c, id: id, endpoint: endpoint}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	defer func() {
		if err != nil {
			a.close()
		}
	}()
	r, err := a.newRequest(call)
	if err != nil {
		return nil, a.newFailure(FailureUnsent, err)
	}
	if err := tracker.BeginDispatch(); err != nil {
		return nil, a.newFailure(FailureCallerGone, err)
	}
	a.watchdog = time.AfterFunc(c.inactivityTimeout(), func() { a.cancel(errNoData) })
	a.response, err = c.transportFor(call.Idempotent).RoundTrip(r)
	if err != nil && !a.gotConn.Load() {
		tracker.MarkUnsent()
		return nil, a.connectFailure(err)
	}
	if err != nil {
		return nil, a.readFailure(err)
	}
	a.resetWatchdog()
	if err := hitchconn.CheckStatus(a.response.StatusCode); err != nil {
		return nil, a.newFailure(FailureCut, err)
	}
	if err := a.checkAttemptID(); err != nil {
		return nil, err
	}
	if c.ObserveHeader != nil {
		c.ObserveHeader(endpoint, a.response.Header)
	}
	return a, nil
}

// checkAttemptID returns a failure if the response doesn't belong to the attempt.
// A response without an attempt ID, such as the error of a proxy in front of the endpoint, or bytes
// that belong to no call, doesn't show whether the endpoint runs the call.
func (a *attempt) checkAttemptID() error {
	got := OnlyValue(a.response.Header, AttemptHeader)
	if got == a.id {
		return nil
	}
	return a.newFailure(FailureCrossed, fmt.Errorf("%w: %q, status %d", errWrongAttempt, got, a.response.StatusCode))
}

// newRequest builds the HTTP request. Its trace records when the transport gets a
// connection: before that, no byte can have been written.
func (a *attempt) newRequest(call Call) (*http.Request, error) {
	trace := &httptrace.ClientTrace{
		GotConn:      a.handleConn,
		WroteHeaders: func() { a.isWritten.Store(true) },
	}
	url := strings.TrimSuffix(a.endpoint.URL, "/") + call.Path
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(a.ctx, trace), call.Method, url, body)
	if err != nil {
		return nil, err
	}
	r.Header = EndToEndHeader(call.Header)
	r.Header.Set(AttemptHeader, a.id)
	if !call.Deadline.IsZero() {
		r.Header.Set("X-Deadline", call.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return r, nil
}

// handleConn records that the transport has a connection. If the request was written to another one
// before, which broke, the transport is about to send it again by itself: the attempt ends instead,
// as the caller decides about retries.
func (a *attempt) handleConn(info httptrace.GotConnInfo) {
	a.gotConn.Store(true)
	if a.isWritten.Load() {
		a.cancel(errCut)
		_ = info.Conn.Close()
	}
}

// resetWatchdog restarts the inactivity timeout after data has arrived.
func (a *attempt) resetWatchdog() { a.watchdog.Reset(a.client.inactivityTimeout()) }

// Read reads the body of a response that isn't streamed, under the inactivity timeout.
func (a *attempt) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if n > 0 {
		a.resetWatchdog()
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

func (a *attempt) newFailure(kind FailureKind, err error) *Failure {
	a.client.Counts.add(kind)
	return &Failure{Kind: kind, Endpoint: a.endpoint.ID, Attempt: a.id, Err: err}
}

// connectFailure returns the failure of an attempt that got no connection.
func (a *attempt) connectFailure(err error) *Failure {
	kind := a.kindFromCause(FailureUnsent)
	if kind == FailureSilent {
		kind = FailureUnsent
	}
	return a.newFailure(kind, err)
}

// readFailure returns the failure of an attempt that got a connection and then no
// complete response.
func (a *attempt) readFailure(err error) *Failure {
	kind := a.kindFromCause(FailureCut)
	if kind == FailureSilent {
		a.client.CloseIdleConnections()
	}
	return a.newFailure(kind, err)
}

// kindFromCause returns the failure kind for the cause of the context's end: the
// inactivity timeout, the deadline, or the caller's disconnect. If the context
// hasn't ended, it returns defaultKind.
func (a *attempt) kindFromCause(defaultKind FailureKind) FailureKind {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errNoData):
		return FailureSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return FailureTimeout
	case errors.Is(cause, errCut):
		return FailureCut
	case cause != nil:
		return FailureCallerGone
	default:
		return defaultKind
	}
}
