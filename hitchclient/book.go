package hitchclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Booking is the response to a call that isn't idempotent.
type Booking struct {
	Status int
	Body   []byte
	// Key is the idempotency key of the call.
	Key string
	// Attempts is the number of attempts made.
	Attempts int
}

// Book makes a call that isn't idempotent, with an idempotency key that a router
// mints. It retries with the same key after a failure, and changes to another key
// only if a response states that the call was not executed (NotRun).
func (c *Client) Book(ctx context.Context, route, path string, body []byte) (booking Booking, err error) {
	for attempt := range c.maxAttempts() {
		booking.Attempts = attempt + 1
		if booking.Key == "" {
			booking.Key, err = c.mintBookingKey(ctx, route)
		}
		if booking.Key != "" {
			booking, err = c.BookWithKey(ctx, c.routerForAttempt(attempt), booking.Key, path, body)
			booking.Attempts = attempt + 1
		}
		if err == nil || ctx.Err() != nil {
			return booking, err
		}
		var problem *Problem
		isNotRun := errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun
		retryAt, canRetry := retryTime(err)
		isAbandoned := isNotRun && (needsNewKey(problem) || !canRetry || attempt+1 == c.maxAttempts())
		if isNotRun && c.OnNotRun != nil {
			c.OnNotRun(booking.Key, isAbandoned)
		}
		if isNotRun && needsNewKey(problem) {
			booking.Key, canRetry = problem.BookingKey, true
		}
		if !canRetry || attempt+1 == c.maxAttempts() || waitToRetry(ctx, retryAt) != nil {
			return booking, err
		}
	}
	return booking, err
}

// needsNewKey reports whether a retry needs another key, because the key was
// missing or can't be used any more.
func needsNewKey(problem *Problem) bool {
	switch problem.Reason {
	case hitchoutcome.ReasonHomeLost, hitchoutcome.ReasonKeyExpired, hitchoutcome.ReasonKeyMissing:
		return true
	default:
		return problem.BookingKey != ""
	}
}

func (c *Client) mintBookingKey(ctx context.Context, route string) (string, error) {
	address, err := c.MintKey(ctx, route)
	return address.BookingKey, err
}

// routerForAttempt returns the router for an attempt. Attempts use the known
// routers in turn.
func (c *Client) routerForAttempt(attempt int) string { return c.Routers[attempt%len(c.Routers)] }

// BookWithKey makes one attempt at a call that isn't idempotent, at the given router
// and with the given idempotency key.
func (c *Client) BookWithKey(ctx context.Context, router, key, path string, body []byte) (booking Booking, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout())
	defer cancel()
	booking.Key, booking.Attempts = key, 1
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(router, "/services"+path), bytes.NewReader(body))
	if err != nil {
		return booking, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	// Without GetBody net/http can't retry the request on its own.
	request.GetBody = nil
	response, err := c.httpClient().Do(request)
	if err != nil {
		return booking, err
	}
	defer func() { _ = response.Body.Close() }()
	booking.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	booking.Status = response.StatusCode
	if err != nil {
		return booking, err
	}
	if response.Header.Get("Content-Type") == "application/problem+json" && response.Header.Get("X-Outcome") != "Ran" {
		return booking, parseProblem(response, booking.Body)
	}
	return booking, nil
}

// Lookup makes an idempotent call (GET) to a plain service and returns the
// response body. After a failure it retries at the next router.
func (c *Client) Lookup(ctx context.Context, path string) (body []byte, err error) {
	for attempt := range c.maxAttempts() {
		body, err = c.lookupAt(ctx, c.routerForAttempt(attempt), path)
		if err == nil || ctx.Err() != nil {
			return body, err
		}
		retryAt, canRetry := retryTime(err)
		if !canRetry || attempt+1 == c.maxAttempts() || waitToRetry(ctx, retryAt) != nil {
			return body, err
		}
	}
	return body, err
}

func (c *Client) lookupAt(ctx context.Context, router, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(router, "/services"+path), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, parseProblem(response, body)
	}
	return body, nil
}
