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

// call does one call within its timeout. Any error is a *callError.
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
// unread.
func (c *Client) post(ctx context.Context, path string, request any) (r *http.Response, endpoint int, err error) {
	if err := c.limiter(path).Wait(ctx); err != nil {
		return nil, 0, &callError{Err: fmt.Errorf("%s: local rate limit: %w", path, err)}
	}
	address, endpoint := c.address()
	if address == "" {
		return nil, 0, &callError{Final: true, Err: errNoEndpoints}
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, 0, &callError{Final: true, Err: fmt.Errorf("%s: %w", path, err)}
	}
	var connected atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	url := strings.TrimSuffix(address, "/") + path
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &callError{Final: true, Err: fmt.Errorf("%s: %w", path, err)}
	}
	q.Header.Set("Content-Type", "application/json")
	c.count(path)
	response, err := c.http().Do(q)
	if err != nil {
		c.noteFailure(endpoint)
		// Without a connection nothing can have been sent.
		return nil, 0, &callError{Ambiguous: connected.Load(), Err: fmt.Errorf("%s: %w", path, err)}
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, 0, c.refused(path, endpoint, response)
	}
	return response, endpoint, nil
}

// refused turns an answer that reports an error into a callError. A status below
// 500 says that the call wasn't carried out; one above leaves it open, as etcd
// answers so also when a proposal was sent and its result is unknown.
func (c *Client) refused(path string, endpoint int, response *http.Response) *callError {
	var problem wireProblem
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes))
	if err == nil {
		err = json.Unmarshal(text, &problem)
	}
	if err != nil {
		problem.Message = response.Status
	}
	failed := &callError{Code: problem.Code, Err: fmt.Errorf("%s: status %d: %s", path, response.StatusCode, problem.Message)}
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		failed.Ambiguous = true
		c.noteFailure(endpoint)
	case response.StatusCode == http.StatusTooManyRequests:
		c.noteAnswer()
	default:
		failed.Final = true
		c.noteAnswer()
	}
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
