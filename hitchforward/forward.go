// Package hitchforward sends requests to endpoints and returns their complete
// responses.
//
// Each attempt has its own ID, which the endpoint returns in its response. A
// response with another ID, a truncated response, and a connection on which no data
// arrives within the inactivity timeout are failures, never responses. Before the
// first byte is written, the attempt is recorded in the request's
// hitchoutcome.DispatchTracker.
//
//	var client hitchforward.Client
//	var tracker hitchoutcome.DispatchTracker
//	response, err := client.Do(ctx, call, endpoint, &tracker)
package hitchforward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Default limits of a Client.
const (
	DefaultInactivityTimeoutMillis = 3_000
	DefaultMaxResponseBytes        = 1 << 20
	DefaultMaxIdlePerHost          = 32
	idleConnTimeout                = 30 * time.Second
	dialTimeout                    = 2 * time.Second
)

// AttemptHeader carries the attempt's ID in the request and in the response.
const AttemptHeader = "X-Attempt-Id"

// Client sends attempts to endpoints. The zero value is ready to use. Its methods
// are safe for concurrent use.
type Client struct {
	// Dial opens connections; if nil, the client dials TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// NewAttemptID generates attempt IDs; if nil, the client generates ULIDs.
	NewAttemptID func() string
	// InactivityTimeoutMillis is how long, in milliseconds, a connection may carry
	// no data before the attempt fails with FailureSilent.
	InactivityTimeoutMillis int
	// ObserveHeader is called with the header of each response; nil means that nothing is.
	ObserveHeader func(e hitchfleet.Endpoint, h http.Header)
	// MaxResponseBytes is the maximum size of the body of a response that isn't
	// streamed.
	MaxResponseBytes int64

	// Counts counts the failed attempts.
	Counts FailureCounts

	bodyMemory bodyMemory

	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
}

func (c *Client) init() {
	c.once.Do(func() {
		c.pooled = c.newTransport()
		c.pooled.MaxIdleConnsPerHost = DefaultMaxIdlePerHost
		c.pooled.IdleConnTimeout = idleConnTimeout
		c.unpooled = c.newTransport()
		c.unpooled.DisableKeepAlives = true
	})
}

func (c *Client) newTransport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = dialReset
	}
	return &http.Transport{DialContext: hitchconn.Dial(dial), DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
}

// dialReset opens a connection that discards what wasn't acknowledged when it is closed.
func dialReset(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	resetOnClose(nc)
	return nc, err
}

// transportFor returns the transport for a call. Calls that aren't idempotent get a
// new connection: on a pooled one, net/http resends a request with an
// Idempotency-Key header by itself if the server closes the connection.
func (c *Client) transportFor(idempotent bool) *http.Transport {
	if idempotent {
		return c.pooled
	}
	return c.unpooled
}

// CloseIdleConnections closes the idle connections of the pool. It is called after
// a connection timed out without data, as the idle ones may use the same
// unreachable path.
func (c *Client) CloseIdleConnections() {
	c.init()
	c.pooled.CloseIdleConnections()
}

func (c *Client) newAttemptID() string {
	if c.NewAttemptID != nil {
		return c.NewAttemptID()
	}
	return ulid.Make().String()
}

func (c *Client) inactivityTimeout() time.Duration {
	if c.InactivityTimeoutMillis > 0 {
		return time.Duration(c.InactivityTimeoutMillis) * time.Millisecond
	}
	return DefaultInactivityTimeoutMillis * time.Millisecond
}

func (c *Client) maxResponseBytes() int64 {
	if c.MaxResponseBytes > 0 {
		return c.MaxResponseBytes
	}
	return DefaultMaxResponseBytes
}
