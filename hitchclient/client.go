// Package hitchclient is a caller that uses the fleet as it should be used: it
// asks which address to use and keeps the answer, goes to an alternative when a
// router fails or leaves, comes back when it is told to, and repeats a booking
// only with the same key.
//
//	client := hitchclient.Client{Entries: addresses, Key: apiKey}
//	answer, err := client.Chat(ctx, "chat-7", body, nil)
//	booked, err := client.Book(ctx, "boxoffice-api", "/boxoffice/slots", body)
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
)

// Limits of a client whose fields are zero.
const (
	defaultTries   = 8
	defaultSilence = 6 * time.Second
	defaultTry     = 15 * time.Second
	dialLimit      = time.Second
	maxBody        = 16 << 20
	// retryFloor is the least wait before the same request is sent again.
	retryFloor = 50 * time.Millisecond
)

// Client is a caller of one organisation. The zero value with Entries and Key set
// works. Its methods are safe for several goroutines.
type Client struct {
	// Entries are addresses of routers, as host:port, that the client knows from
	// its settings. It asks them for better ones.
	Entries []string
	// Key is the organisation's API key.
	Key string
	// Zone is the client's availability zone, if it knows it.
	Zone string
	// Tries bounds how often a request is sent.
	Tries int
	// OnNotRun is called for each answer that says that a booking didn't run. The
	// key is abandoned if the client goes on with another one, or not at all.
	OnNotRun func(key string, isAbandoned bool)
	// SilenceMillis is how long, in milliseconds, a stream may carry nothing before
	// the client takes its connection for silent. Routers write a comment every two
	// seconds.
	SilenceMillis int
	// TryMillis bounds, in milliseconds, one try of a call whose answer comes whole.
	TryMillis int
	// TLS is how to check the routers' certificates; nil means that callers connect
	// in the clear.
	TLS *tls.Config
	// HTTP sends requests; nil means a client of its own.
	HTTP *http.Client

	once    sync.Once
	http    *http.Client
	mu      sync.Mutex
	answers map[string]Address
}

// Address is the answer to which address to use. The names are the API's.
type Address struct {
	Addresses       []string
	Deadline        time.Time
	BookingKey      string
	BookingDeadline time.Time
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		c.http = c.HTTP
		if c.http == nil {
			c.http = &http.Client{Transport: &http.Transport{
				DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext, MaxIdleConnsPerHost: 16, TLSClientConfig: c.TLS,
			}}
		}
	})
	return c.http
}

// url returns the address of an operation at a router.
func (c *Client) url(router, path string) string {
	if c.TLS != nil {
		return "https://" + router + path
	}
	return "http://" + router + path
}

// silence returns how long a stream may carry nothing.
func (c *Client) silence() time.Duration {
	if c.SilenceMillis > 0 {
		return time.Duration(c.SilenceMillis) * time.Millisecond
	}
	return defaultSilence
}

// tryLimit returns how long one try of a whole call may take.
func (c *Client) tryLimit() time.Duration {
	if c.TryMillis > 0 {
		return time.Duration(c.TryMillis) * time.Millisecond
	}
	return defaultTry
}

func (c *Client) tries() int {
	if c.Tries > 0 {
		return c.Tries
	}
	return defaultTries
}

// Address returns the routers to use for a chat, the best one first. It asks only
// when it has no answer or the answer's deadline has passed.
func (c *Client) Address(ctx context.Context, chat string) (Address, error) {
	c.mu.Lock()
	known, ok := c.answers[chat]
	c.mu.Unlock()
	if ok && time.Now().Before(known.Deadline) && len(known.Addresses) > 0 {
		return known, nil
	}
	fresh, err := c.ask(ctx, url.Values{"chat": {chat}, "zone": {c.Zone}})
	if err != nil && ok {
		return known, nil
	}
	if err == nil {
		c.keep(chat, fresh)
	}
	return fresh, err
}

func (c *Client) keep(chat string, a Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == nil {
		c.answers = make(map[string]Address)
	}
	c.answers[chat] = a
}

// forget drops an answer, as a router of it failed or leaves.
func (c *Client) forget(chat string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answers, chat)
}

// MintKey returns a new key for one booking on a route.
func (c *Client) MintKey(ctx context.Context, route string) (Address, error) {
	return c.ask(ctx, url.Values{"route": {route}, "zone": {c.Zone}})
}

// ask puts the question to the known routers in turn.
func (c *Client) ask(ctx context.Context, query url.Values) (a Address, err error) {
	err = fmt.Errorf("no router is known")
	for _, entry := range c.Entries {
		a, err = c.askOne(ctx, entry, query)
		if err == nil || ctx.Err() != nil {
			return a, err
		}
	}
	return a, err
}

func (c *Client) askOne(ctx context.Context, entry string, query url.Values) (a Address, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.tryLimit())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(entry, "/v1/address?"+query.Encode()), nil)
	if err != nil {
		return a, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	answer, err := c.client().Do(r)
	if err != nil {
		return a, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil {
		return a, err
	}
	if answer.StatusCode != http.StatusOK {
		return a, problemOf(answer, body)
	}
	return a, json.Unmarshal(body, &a)
}

// pause waits until a time, and at least retryFloor.
func pause(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(max(time.Until(until), retryFloor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
