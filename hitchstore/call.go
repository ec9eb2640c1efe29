package hitchstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

var errNoEndpoints = errors.New("the client has no endpoints")

// call makes one call within callTimeout and decodes the response. Any error wraps a
// *callError.
func (c *Client) call(ctx context.Context, path string, request, result any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, endpoint, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := messageReader{body: response.Body, left: maxResponseBytes(request)}
	if err := json.NewDecoder(&body).Decode(result); err != nil {
		c.recordFailure(endpoint)
		return &callError{Ambiguous: true, Final: errors.Is(err, errMessageTooLarge), Err: fmt.Errorf("%s: read response: %w", path, err)}
	}
	c.recordSuccess()
	return nil
}

// post sends a request and returns a response with status 200, its body unread. Any
// error wraps a *callError.
func (c *Client) post(ctx context.Context, path string, request any) (r *http.Response, endpoint int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s: %w", path, err)
		}
	}()
	if err := c.limiter(path).Wait(ctx); err != nil {
		return nil, 0, &callError{Err: fmt.Errorf("local rate limit: %w", err)}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, 0, &callError{Final: true, Err: err}
	}
	address, endpoint := c.currentEndpoint()
	if address == "" {
		return nil, 0, &callError{Final: true, Err: errNoEndpoints}
	}
	c.countCall(path)
	response, err := c.send(ctx, strings.TrimSuffix(address, "/")+path, body)
	if err != nil {
		c.recordFailure(endpoint)
		return nil, 0, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, 0, c.errorFromResponse(endpoint, response)
	}
	return response, endpoint, nil
}

// send posts a body. Its error is a *callError. It is ambiguous if there was a
// connection; without one, nothing can have been sent.
func (c *Client) send(ctx context.Context, url string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &callError{Final: true, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, &callError{Ambiguous: connected.Load(), Err: err}
	}
	return response, nil
}

// errorFromResponse converts an error response into a callError. A status below 500
// means that the call wasn't carried out. A status of 500 or above leaves that open:
// etcd also returns it when a proposal was sent and its result is unknown.
func (c *Client) errorFromResponse(endpoint int, response *http.Response) *callError {
	var problem wireError
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes))
	if err == nil {
		err = json.Unmarshal(text, &problem)
	}
	if err != nil {
		problem.Message = response.Status
	}
	failed := &callError{Code: problem.Code, Err: fmt.Errorf("status %d: %s", response.StatusCode, problem.Message)}
	if response.StatusCode >= http.StatusInternalServerError {
		failed.Ambiguous = true
		c.recordFailure(endpoint)
		return failed
	}
	failed.Final = response.StatusCode != http.StatusTooManyRequests
	c.recordSuccess()
	return failed
}

// retry makes an idempotent call until it succeeds or fails permanently, or until the
// attempts are used up or the context ends.
func (c *Client) retry(ctx context.Context, path string, request, result any) (err error) {
	delays := newBackoff()
	for range maxAttempts {
		err = c.call(ctx, path, request, result)
		var failed *callError
		if err == nil || errors.As(err, &failed) && failed.Final {
			return err
		}
		if !sleep(ctx, delays.NextBackOff()) {
			return err
		}
	}
	return err
}

// sleep waits for d and reports whether the context is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
