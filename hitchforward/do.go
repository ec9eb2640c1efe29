package hitchforward

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Do makes one attempt and returns the endpoint's complete response. An error is a
// *Failure. An idempotent call to a busy endpoint fails with FailureBusy; the
// response to any other call is returned whatever its status.
func (c *Client) Do(ctx context.Context, call Call, endpoint hitchfleet.Endpoint, tracker *hitchoutcome.DispatchTracker) (_ *Response, err error) {
	ctx, cancel := withDeadline(ctx, call)
	defer cancel()
	a, err := c.startAttempt(ctx, call, endpoint, c.newAttemptID(), tracker)
	if err != nil {
		return nil, err
	}
	defer a.close()
	body, err := a.readBody()
	if err != nil {
		return nil, err
	}
	if call.Idempotent && isBusy(a.response.StatusCode) {
		return nil, a.newFailure(FailureBusy, fmt.Errorf("endpoint returned status %d", a.response.StatusCode))
	}
	tracker.MarkAnswered()
	return &Response{
		Status:  a.response.StatusCode,
		Header:  EndToEndHeader(a.response.Header),
		Body:    body,
		Attempt: a.id,
	}, nil
}

// readBody reads the complete body. Only bodies that are being read count as memory of the
// client: those that are complete are its caller's.
func (a *attempt) readBody() ([]byte, error) {
	reader := bodyReader{memory: &a.client.bodyMemory}
	defer reader.release()
	body, err := reader.readAll(a, a.response, a.client.maxResponseBytes())
	if errors.Is(err, errTooLarge) {
		return nil, a.newFailure(FailureTooLarge, err)
	}
	if err != nil {
		return nil, a.readFailure(err)
	}
	return body, nil
}

// isBusy reports whether another endpoint may serve the call after this status.
func isBusy(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func withDeadline(ctx context.Context, call Call) (context.Context, context.CancelFunc) {
	if call.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, call.Deadline)
}
