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

// maxResumes is the maximum number of times that one attempt is resumed at its
// engine.
const maxResumes = 3

// maxCommentFactor is how long a stream may have comments but no event, as a multiple of the
// inactivity timeout: 15 s by default. A sound engine sends comments while it is slow.
const maxCommentFactor = 5

// cancelTimeout is the timeout of the request that cancels a stream at an engine.
const cancelTimeout = 2 * time.Second

// Stream is one streamed call and the part of its response that the caller has
// received. It may be attempted at several endpoints, one after the other.
type Stream struct {
	Call     Call
	Progress Progress
	// Deliver passes one event to the caller; an error means that the caller
	// disconnected.
	Deliver func(Event) error
	// OnHeader is called once with the response's header, before the first event.
	OnHeader func(http.Header)
	// OnResponse is called instead if the endpoint's response isn't a stream.
	OnResponse func(*Response)

	gotHeader bool
}

// Stream attempts a streamed call at an endpoint until the end of the response is
// delivered. If the connection breaks or times out without data, the stream is
// resumed at the same engine over a new connection. An error is a *Failure, of kind
// FailureUnsent only if the call itself wasn't sent.
func (c *Client) Stream(ctx context.Context, s *Stream, endpoint hitchfleet.Endpoint, tracker *hitchoutcome.DispatchTracker) error {
	ctx, cancel := withDeadline(ctx, s.Call)
	defer cancel()
	id := c.newAttemptID()
	s.Progress.startReplay()
	err := c.streamAttempt(ctx, s, s.Call, endpoint, id, tracker)
	hasBegun := mayStillRun(err)
	for n := 0; n < maxResumes && canResume(err); n++ {
		resumeErr := c.streamAttempt(ctx, s, newResumeCall(s, id), endpoint, id, tracker)
		if isUnsent(resumeErr) {
			err = &Failure{Kind: FailureCut, Endpoint: endpoint.ID, Attempt: id, Err: fmt.Errorf("resume: %w, after: %w", resumeErr, err)}
			break
		}
		err = resumeErr
	}
	if err != nil && hasBegun {
		go c.cancelStream(context.WithoutCancel(ctx), endpoint, id)
	}
	return err
}

func isUnsent(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Kind == FailureUnsent
}

// mayStillRun reports whether the engine may still be generating a stream after the call for it has
// failed. What it says when the stream is resumed doesn't show that it isn't.
func mayStillRun(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Kind != FailureUnsent && f.Kind != FailureBusy
}

// canResume reports whether the engine may still have the stream, and sends events.
func canResume(err error) bool {
	var f *Failure
	return errors.As(err, &f) && !errors.Is(err, errTooLarge) && (f.Kind == FailureSilent || f.Kind == FailureCut)
}

// newResumeCall returns the call that requests the rest of a stream from its
// engine.
func newResumeCall(s *Stream, id string) Call {
	header := make(http.Header)
	header.Set("Last-Event-ID", strconv.Itoa(s.Progress.startResume()))
	return Call{
		Method:     http.MethodGet,
		Path:       "/v1/streams/" + id,
		Header:     header,
		Idempotent: true,
		Deadline:   s.Call.Deadline,
	}
}

func (c *Client) streamAttempt(ctx context.Context, s *Stream, call Call, endpoint hitchfleet.Endpoint, id string, tracker *hitchoutcome.DispatchTracker) error {
	a, err := c.startAttempt(ctx, call, endpoint, id, tracker)
	if err != nil {
		return err
	}
	defer a.close()
	if a.response.StatusCode != http.StatusOK {
		return a.handleNonStream(s, call, tracker)
	}
	if !s.gotHeader && s.OnHeader != nil {
		s.OnHeader(EndToEndHeader(a.response.Header))
	}
	s.gotHeader = true
	return a.deliverEvents(s, tracker)
}

// handleNonStream handles a response that isn't a stream: the endpoint is busy, has
// lost the stream, or has responded to the call otherwise.
func (a *attempt) handleNonStream(s *Stream, call Call, tracker *hitchoutcome.DispatchTracker) error {
	status := a.response.StatusCode
	resumed := call.Method == http.MethodGet
	if resumed || isBusy(status) || s.gotHeader || s.OnResponse == nil {
		return a.newFailure(FailureBusy, fmt.Errorf("endpoint returned status %d", status))
	}
	body, err := a.readBody()
	if err != nil {
		return err
	}
	tracker.MarkAnswered()
	s.OnResponse(&Response{Status: status, Header: EndToEndHeader(a.response.Header), Body: body, Attempt: a.id})
	return nil
}

// deliverEvents delivers events until the final one.
func (a *attempt) deliverEvents(s *Stream, tracker *hitchoutcome.DispatchTracker) error {
	// Bytes alone don't restart the inactivity timeout, and comments do so only for a while,
	// as an endpoint may send them forever.
	events := newEventReader(a.response.Body)
	eventAt := time.Now()
	events.onBlock = func() {
		if time.Since(eventAt) < maxCommentFactor*a.client.inactivityTimeout() {
			a.resetWatchdog()
		}
	}
	for {
		event, err := events.next()
		if err != nil {
			return a.readFailure(err)
		}
		eventAt = time.Now()
		a.resetWatchdog()
		delivered, isNew, err := s.Progress.Add(event)
		if err != nil {
			return a.newFailure(progressFailureKind(err), err)
		}
		if !isNew {
			continue
		}
		if delivered.Done() {
			tracker.MarkAnswered()
		}
		if err := s.Deliver(delivered); err != nil {
			return a.newFailure(FailureCallerGone, fmt.Errorf("%w: %w", errCallerGone, err))
		}
		if delivered.Done() {
			return nil
		}
	}
}

// progressFailureKind returns the kind of the failure for an event that can't be delivered.
func progressFailureKind(err error) FailureKind {
	switch {
	case errors.Is(err, errNoChunk):
		return FailureCut
	case errors.Is(err, errTooLarge):
		return FailureTooLarge
	default:
		return FailureDiverged
	}
}

// cancelStream cancels a stream at its engine, as the caller no longer waits for
// it.
func (c *Client) cancelStream(ctx context.Context, endpoint hitchfleet.Endpoint, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	call := Call{Method: http.MethodDelete, Path: "/v1/streams/" + id, Idempotent: true}
	var tracker hitchoutcome.DispatchTracker
	_, _ = c.Do(ctx, call, endpoint, &tracker)
}
