// Package hitchforward carries requests to endpoints and whole answers back.
//
// Each attempt has its own ID, which the endpoint returns. An answer with
// another ID, a cut answer and a connection without a byte for too long are
// failures, never answers. What may have reached an endpoint is recorded in the
// request's hitchoutcome.Evidence before the first byte is written.
//
//	var client hitchforward.Client
//	var ev hitchoutcome.Evidence
//	answer, err := client.Do(ctx, call, endpoint, &ev)
package hitchforward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
)

// Default limits of a Client.
const (
	DefaultSilenceMillis  = 3_000
	DefaultMaxAnswerBytes = 16 << 20
	DefaultIdlePerHost    = 32
	idleConnLimit         = 30 * time.Second
	dialLimit             = 2 * time.Second
)

// AttemptHeader carries the attempt's ID to the endpoint and back.
const AttemptHeader = "X-Attempt-Id"

// Client sends attempts to endpoints. The zero value works. Its methods are
// safe for several goroutines.
type Client struct {
	// Dial opens connections; the zero value dials TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// NewAttempt mints attempt IDs; the zero value makes ULIDs.
	NewAttempt func() string
	// SilenceMillis is how long, in milliseconds, a connection may stay without
	// a byte before the attempt counts as silent.
	SilenceMillis int
	// MaxAnswerBytes bounds an answer that is not streamed.
	MaxAnswerBytes int64

	// Counts tells what went wrong so far.
	Counts Counts

	once   sync.Once
	pooled *http.Transport
	fresh  *http.Transport
}

func (c *Client) init() {
	c.once.Do(func() {
		c.pooled = c.transport()
		c.pooled.MaxIdleConnsPerHost = DefaultIdlePerHost
		c.pooled.IdleConnTimeout = idleConnLimit
		c.fresh = c.transport()
		c.fresh.DisableKeepAlives = true
	})
}

func (c *Client) transport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialLimit}).DialContext
	}
	return &http.Transport{DialContext: dial, DisableCompression: true}
}

// transportFor returns the transport of a call. Calls that aren't idempotent
// get a connection of their own: on a pooled one, net/http sends a request
// again by itself when the server closes it, if the request has an
// Idempotency-Key header.
func (c *Client) transportFor(idempotent bool) *http.Transport {
	if idempotent {
		return c.pooled
	}
	return c.fresh
}

// Retire closes the idle connections, as one of their kind went silent.
func (c *Client) Retire() {
	c.init()
	c.pooled.CloseIdleConnections()
}

func (c *Client) newAttempt() string {
	if c.NewAttempt != nil {
		return c.NewAttempt()
	}
	return ulid.Make().String()
}

func (c *Client) silence() time.Duration {
	if c.SilenceMillis > 0 {
		return time.Duration(c.SilenceMillis) * time.Millisecond
	}
	return DefaultSilenceMillis * time.Millisecond
}

func (c *Client) maxAnswer() int64 {
	if c.MaxAnswerBytes > 0 {
		return c.MaxAnswerBytes
	}
	return DefaultMaxAnswerBytes
}
