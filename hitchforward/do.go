package hitchforward

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Do makes one attempt and returns the endpoint's whole answer. An error is a
// *Failure. An idempotent call to a busy endpoint fails with FailureBusy; for
// any other call the endpoint's answer stands, whatever its status.
func (c *Client) Do(ctx context.Context, call Call, to hitchfleet.Endpoint, ev *hitchoutcome.Evidence) (_ *Answer, err error) {
	ctx, cancel := withDeadline(ctx, call)
	defer cancel()
	a, err := c.open(ctx, call, to, c.newAttempt(), ev)
	if err != nil {
		return nil, err
	}
	defer a.close()
	body, err := a.readWhole()
	if err != nil {
		return nil, err
	}
	if call.Idempotent && isBusy(a.response.StatusCode) {
		return nil, a.fail(FailureBusy, fmt.Errorf("status %d", a.response.StatusCode))
	}
	ev.Answered()
	return &Answer{
		Status:  a.response.StatusCode,
		Header:  EndToEnd(a.response.Header),
		Body:    body,
		Attempt: a.id,
	}, nil
}

// readWhole reads the body to its marked end.
func (a *attempt) readWhole() ([]byte, error) {
	limit := a.client.maxAnswer()
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, a.failRead(err)
	}
	if int64(len(body)) > limit {
		return nil, a.fail(FailureTooLarge, errTooLarge)
	}
	return body, nil
}

// isBusy tells the statuses after which another endpoint may serve the call.
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
