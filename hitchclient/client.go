// Package hitchclient is a client for a fleet of routers. It requests the router
// addresses for a chat and caches them, changes to another router when one fails
// or shuts down, delays retries until the time that a router states, and retries a
// booking only with the same idempotency key.
//
//	client := hitchclient.Client{Routers: addresses, Key: apiKey}
//	response, err := client.Chat(ctx, "chat-7", body, nil)
//	booking, err := client.Book(ctx, "boxoffice-api", "/boxoffice/slots", body)
package hitchclient

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
)

// Limits of a client. The defaults apply to fields that are zero.
const (
	defaultMaxAttempts       = 8
	defaultInactivityTimeout = 6 * time.Second
	defaultAttemptTimeout    = 15 * time.Second
	dialTimeout              = time.Second
	maxBodyBytes             = 16 << 20
	// minRetryDelay is the minimum delay before a retry.
	minRetryDelay = 50 * time.Millisecond
)

// Client is a client that uses an API key of one organisation. Only Routers and
// Key are required. Its methods are safe for concurrent use.
type Client struct {
	// Routers are the configured addresses of routers, as host:port. The client
	// requests the addresses to use for a chat from them.
	Routers []string
	// Key is the organisation's API key.
	Key string
	// Zone is the client's availability zone, or "" if it is unknown.
	Zone string
	// MaxAttempts is the maximum number of attempts for a request; 0 means 8.
	MaxAttempts int
	// OnNotRun is called for each response which states that a booking was not
	// executed. isAbandoned is set if the client will not send the key again: it
	// changes to another key or gives up.
	OnNotRun func(key string, isAbandoned bool)
	// InactivityTimeoutMillis is the inactivity timeout of a stream, in milliseconds; 0
	// means 6 seconds. Routers write a comment every two seconds.
	InactivityTimeoutMillis int
	// AttemptTimeoutMillis is the timeout, in milliseconds, for one attempt at a call
	// that isn't streamed, and for the first line of a stream; 0 means 15 seconds.
	AttemptTimeoutMillis int
	// TLS verifies the routers' certificates; nil means connections without TLS.
	TLS *tls.Config
	// HTTP sends the requests; nil means a client with the package's own transport.
	HTTP *http.Client

	once         sync.Once
	http         *http.Client
	mu           sync.Mutex
	addressCache map[string]Address
}

// Address is the response of GET /v1/address: the routers to use, in order of
// preference. The field names are those of the API.
type Address struct {
	Addresses       []string
	Deadline        time.Time
	BookingKey      string
	BookingDeadline time.Time
}

func (c *Client) httpClient() *http.Client {
	c.once.Do(func() {
		c.http = c.HTTP
		if c.http == nil {
			c.http = &http.Client{Transport: hitchconn.NewTransport(&http.Transport{
				DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 16, TLSClientConfig: c.TLS,
			})}
		}
	})
	return c.http
}

// url returns the URL of a path at a router.
func (c *Client) url(router, path string) string {
	if c.TLS != nil {
		return "https://" + router + path
	}
	return "http://" + router + path
}

// inactivityTimeout returns the time after which a stream without data fails.
func (c *Client) inactivityTimeout() time.Duration {
	if c.InactivityTimeoutMillis > 0 {
		return time.Duration(c.InactivityTimeoutMillis) * time.Millisecond
	}
	return defaultInactivityTimeout
}

// attemptTimeout returns the timeout for one attempt.
func (c *Client) attemptTimeout() time.Duration {
	if c.AttemptTimeoutMillis > 0 {
		return time.Duration(c.AttemptTimeoutMillis) * time.Millisecond
	}
	return defaultAttemptTimeout
}

func (c *Client) maxAttempts() int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return defaultMaxAttempts
}

// Address returns the routers to use for a chat, in order of preference. It sends
// a request only if no cached address is available or its deadline has passed. If
// that request fails, it returns the expired address.
func (c *Client) Address(ctx context.Context, chat string) (Address, error) {
	c.mu.Lock()
	cached, ok := c.addressCache[chat]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.Deadline) && len(cached.Addresses) > 0 {
		return cached, nil
	}
	fresh, err := c.requestAddress(ctx, url.Values{"chat": {chat}, "zone": {c.Zone}})
	if err != nil && ok {
		return cached, nil
	}
	if err == nil {
		c.cacheAddress(chat, fresh)
	}
	return fresh, err
}

func (c *Client) cacheAddress(chat string, address Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addressCache == nil {
		c.addressCache = make(map[string]Address)
	}
	c.addressCache[chat] = address
}

// dropCachedAddress removes a chat's cached address because one of its routers
// failed or is shutting down.
func (c *Client) dropCachedAddress(chat string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addressCache, chat)
}

// MintKey requests a new idempotency key for one booking on a route.
func (c *Client) MintKey(ctx context.Context, route string) (Address, error) {
	return c.requestAddress(ctx, url.Values{"route": {route}, "zone": {c.Zone}})
}

// requestAddress sends an address request to the configured routers in turn, until
// one of them succeeds.
func (c *Client) requestAddress(ctx context.Context, query url.Values) (address Address, err error) {
	err = fmt.Errorf("no router addresses configured")
	for _, router := range c.Routers {
		address, err = c.requestAddressFrom(ctx, router, query)
		if err == nil || ctx.Err() != nil {
			return address, err
		}
	}
	return address, err
}

func (c *Client) requestAddressFrom(ctx context.Context, router string, query url.Values) (address Address, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(router, "/v1/address?"+query.Encode()), nil)
	if err != nil {
		return address, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.httpClient().Do(request)
	if err != nil {
		return address, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return address, err
	}
	if response.StatusCode != http.StatusOK {
		return address, parseProblem(response, body)
	}
	return address, json.Unmarshal(body, &address)
}

// waitToRetry waits until a time, but at least for minRetryDelay, or until ctx is
// done.
func waitToRetry(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(max(time.Until(until), minRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
