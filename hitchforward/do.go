package hitchforward

import (
	"context"
	"fmt"
	"io"
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

// readBody reads the complete body.
func (a *attempt) readBody() ([]byte, error) {
	limit := a.client.maxResponseBytes()
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, a.readFailure(err)
	}
	if int64(len(body)) > limit {
		return nil, a.newFailure(FailureTooLarge, errTooLarge)
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
