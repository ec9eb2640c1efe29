package hitchclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// Booking is the answer to a call that isn't idempotent.
type Booking struct {
	Status int
	Body   []byte
	// Key is the key that the call ran under.
	Key string
	// Tries counts the requests that were sent.
	Tries int
}

// Book makes a call that isn't idempotent under a key that the fleet mints. Only
// an answer that says NotRun lets it go on with another key; after any other
// failure it repeats the same key.
func (c *Client) Book(ctx context.Context, route, path string, body []byte) (b Booking, err error) {
	for try := range c.tries() {
		b.Tries = try + 1
		if b.Key == "" {
			b.Key, err = c.newKey(ctx, route)
		}
		if b.Key != "" {
			b, err = c.BookWith(ctx, c.entry(try), b.Key, path, body)
			b.Tries = try + 1
		}
		if err == nil || ctx.Err() != nil {
			return b, err
		}
		var p *Problem
		isNotRun := errors.As(err, &p) && p.Outcome == hitchoutcome.NotRun
		at, again := mayComeBack(err)
		isAbandoned := isNotRun && (needsKey(p) || !again || try+1 == c.tries())
		if isNotRun && c.OnNotRun != nil {
			c.OnNotRun(b.Key, isAbandoned)
		}
		if isNotRun && needsKey(p) {
			b.Key, again = p.BookingKey, true
		}
		if !again || try+1 == c.tries() || pause(ctx, at) != nil {
			return b, err
		}
	}
	return b, err
}

// needsKey tells whether a key can't be used any more.
func needsKey(p *Problem) bool {
	switch p.Reason {
	case hitchoutcome.ReasonHomeLost, hitchoutcome.ReasonKeyExpired, hitchoutcome.ReasonKeyMissing:
		return true
	default:
		return p.BookingKey != ""
	}
}

func (c *Client) newKey(ctx context.Context, route string) (string, error) {
	a, err := c.MintKey(ctx, route)
	return a.BookingKey, err
}

// entry returns the router for a try.
func (c *Client) entry(try int) string { return c.Entries[try%len(c.Entries)] }

// BookWith makes the call once, at one router, under a key.
func (c *Client) BookWith(ctx context.Context, router, key, path string, body []byte) (b Booking, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.tryLimit())
	defer cancel()
	b.Key, b.Tries = key, 1
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(router, "/services"+path), bytes.NewReader(body))
	if err != nil {
		return b, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", key)
	// Without a body to send again, net/http doesn't repeat the request by itself.
	r.GetBody = nil
	response, err := c.client().Do(r)
	if err != nil {
		return b, err
	}
	defer func() { _ = response.Body.Close() }()
	b.Body, err = io.ReadAll(io.LimitReader(response.Body, maxBody))
	b.Status = response.StatusCode
	if err != nil {
		return b, err
	}
	if response.Header.Get("Content-Type") == "application/problem+json" && response.Header.Get("X-Outcome") != "Ran" {
		return b, problemOf(response, b.Body)
	}
	return b, nil
}

// Lookup makes an idempotent call at the first router that answers.
func (c *Client) Lookup(ctx context.Context, path string) (body []byte, err error) {
	for try := range c.tries() {
		body, err = c.lookupAt(ctx, c.entry(try), path)
		if err == nil || ctx.Err() != nil {
			return body, err
		}
		at, again := mayComeBack(err)
		if !again || try+1 == c.tries() || pause(ctx, at) != nil {
			return body, err
		}
	}
	return body, err
}

func (c *Client) lookupAt(ctx context.Context, router, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.tryLimit())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(router, "/services"+path), nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.client().Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, problemOf(response, body)
	}
	return body, nil
}
