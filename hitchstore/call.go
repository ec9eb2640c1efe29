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

// call does one call within its timeout. Any error has a *callError in it.
func (c *Client) call(ctx context.Context, path string, request, answer any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, endpoint, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		c.noteFailure(endpoint)
		return &callError{Ambiguous: true, Err: fmt.Errorf("%s: read answer: %w", path, err)}
	}
	c.noteAnswer()
	return nil
}

// post sends a request and returns a response whose status is 200, with its body
// unread. Any error has a *callError in it.
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
	address, endpoint := c.address()
	if address == "" {
		return nil, 0, &callError{Final: true, Err: errNoEndpoints}
	}
	c.count(path)
	response, err := c.send(ctx, strings.TrimSuffix(address, "/")+path, body)
	if err != nil {
		c.noteFailure(endpoint)
		return nil, 0, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, 0, c.refused(endpoint, response)
	}
	return response, endpoint, nil
}

// send posts a body. Its error is a *callError, which is ambiguous if there was a
// connection, as without one nothing can have been sent.
func (c *Client) send(ctx context.Context, url string, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, &callError{Final: true, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http().Do(request)
	if err != nil {
		return nil, &callError{Ambiguous: connected.Load(), Err: err}
	}
	return response, nil
}

// refused turns an answer that reports an error into a callError. A status below
// 500 says that the call wasn't carried out; one above leaves it open, as etcd
// answers so also when a proposal was sent and its result is unknown.
func (c *Client) refused(endpoint int, response *http.Response) *callError {
	var problem wireProblem
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
		c.noteFailure(endpoint)
		return failed
	}
	failed.Final = response.StatusCode != http.StatusTooManyRequests
	c.noteAnswer()
	return failed
}

// retry repeats a call that may be repeated, until it succeeds, fails for good,
// or the attempts or the context run out.
func (c *Client) retry(ctx context.Context, path string, request, answer any) (err error) {
	pauses := newBackoff()
	for range maxAttempts {
		err = c.call(ctx, path, request, answer)
		var failed *callError
		if err == nil || errors.As(err, &failed) && failed.Final {
			return err
		}
		if !sleep(ctx, pauses.NextBackOff()) {
			return err
		}
	}
	return err
}

// sleep waits and reports whether the context lasted.
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
