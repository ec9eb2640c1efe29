package hitchforward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// maxResumes bounds how often one attempt is resumed at its engine.
const maxResumes = 3

// cancelLimit bounds the order to an engine to stop a stream.
const cancelLimit = 2 * time.Second

// Stream is one streamed call and what its caller has of the answer. It may be
// tried at several endpoints, one after the other.
type Stream struct {
	Call     Call
	Progress Progress
	// Deliver hands one event to the caller; an error means that the caller left.
	Deliver func(Event) error
	// Head is called once with the answer's header before the first event.
	Head func(http.Header)
	// Other is called instead if the endpoint answers without a stream.
	Other func(*Answer)

	headDone bool
}

// Stream tries a streamed call at an endpoint until the answer's end is
// delivered. A connection that breaks or goes silent is resumed at the same
// engine over a fresh one. An error is a *Failure.
func (c *Client) Stream(ctx context.Context, s *Stream, to hitchfleet.Endpoint, ev *hitchoutcome.Evidence) error {
	ctx, cancel := withDeadline(ctx, s.Call)
	defer cancel()
	id := c.newAttempt()
	s.Progress.replay()
	err := c.streamOnce(ctx, s, s.Call, to, id, ev)
	for n := 0; n < maxResumes && canResume(err); n++ {
		err = c.streamOnce(ctx, s, resumeCall(s, id), to, id, ev)
	}
	if mayHold(err) {
		go c.cancelStream(context.WithoutCancel(ctx), to, id)
	}
	return err
}

// mayHold tells whether the engine may still work on a failed stream.
func mayHold(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Kind != FailureUnsent && f.Kind != FailureBusy
}

// canResume tells whether the engine may still hold the stream.
func canResume(err error) bool {
	var f *Failure
	return errors.As(err, &f) && (f.Kind == FailureSilent || f.Kind == FailureCut)
}

// resumeCall asks an engine for the rest of a stream.
func resumeCall(s *Stream, id string) Call {
	header := make(http.Header)
	header.Set("Last-Event-ID", strconv.Itoa(s.Progress.resume()))
	return Call{
		Method:     http.MethodGet,
		Path:       "/v1/streams/" + id,
		Header:     header,
		Idempotent: true,
		Deadline:   s.Call.Deadline,
	}
}

func (c *Client) streamOnce(ctx context.Context, s *Stream, call Call, to hitchfleet.Endpoint, id string, ev *hitchoutcome.Evidence) error {
	a, err := c.open(ctx, call, to, id, ev)
	if err != nil {
		return err
	}
	defer a.close()
	if a.response.StatusCode != http.StatusOK {
		return a.other(s, call, ev)
	}
	if !s.headDone && s.Head != nil {
		s.Head(EndToEnd(a.response.Header))
	}
	s.headDone = true
	return a.pump(s, ev)
}

// other handles an answer that is no stream: a busy endpoint, a lost stream, or
// the endpoint's own word on the call.
func (a *attempt) other(s *Stream, call Call, ev *hitchoutcome.Evidence) error {
	status := a.response.StatusCode
	resumed := call.Method == http.MethodGet
	if resumed || isBusy(status) || s.headDone || s.Other == nil {
		return a.fail(FailureBusy, fmt.Errorf("status %d", status))
	}
	body, err := a.readWhole()
	if err != nil {
		return err
	}
	ev.Answered()
	s.Other(&Answer{Status: status, Header: EndToEnd(a.response.Header), Body: body, Attempt: a.id})
	return nil
}

// pump delivers events until the end mark.
func (a *attempt) pump(s *Stream, ev *hitchoutcome.Evidence) error {
	events := newEventReader(a)
	for {
		event, err := events.next()
		if err != nil {
			return a.failRead(err)
		}
		shown, fresh, err := s.Progress.Take(event)
		if err != nil {
			return a.fail(FailureDiverged, err)
		}
		if !fresh {
			continue
		}
		if shown.Done() {
			ev.Answered()
		}
		if err := s.Deliver(shown); err != nil {
			return a.fail(FailureCallerGone, fmt.Errorf("%w: %w", errCallerGone, err))
		}
		if shown.Done() {
			return nil
		}
	}
}

// cancelStream tells an engine that nobody waits for a stream any more.
func (c *Client) cancelStream(ctx context.Context, to hitchfleet.Endpoint, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	call := Call{Method: http.MethodDelete, Path: "/v1/streams/" + id, Idempotent: true}
	var ev hitchoutcome.Evidence
	_, _ = c.Do(ctx, call, to, &ev)
}
