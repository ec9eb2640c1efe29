// Package hitchstore is a client of the platform's key-value service, over the
// JSON gateway of etcd v3.
//
// Its writes are compare-and-swaps that say truthfully whether they took effect,
// also when the store's answer is lost: each transaction leaves a receipt beside
// the value, which tells the writer what became of it. docs/design/store.md has
// the proof.
//
//	client := hitchstore.Client{Endpoints: []string{"http://127.0.0.1:2379"}, Writer: "router-7"}
//	entry, err := client.Get(ctx, "config")
//	entry, err = client.Swap(ctx, "config", entry.Revision, value, 0)
package hitchstore

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"
)

const (
	// MaxValueBytes is the largest value that the store takes, with the envelope
	// of this package.
	MaxValueBytes = 1 << 20

	defaultReadsPerSecond  = 100
	defaultWritesPerSecond = 20
	defaultReceiptPrefix   = "hitchstore/receipts/"

	// callTimeout bounds one call; a call of the client is several at most.
	callTimeout = time.Second
	// maxAttempts bounds the calls that a read or write repeats.
	maxAttempts = 5

	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 2 * time.Second

	// A store is out after so many failures in a row, or after failing so long.
	outAfterFailures = 3
	outAfter         = 2 * time.Second
)

// Client reads and writes the key-value service. Only Endpoints must be set. Its
// methods are safe for several goroutines.
type Client struct {
	// Endpoints are base addresses of the store, such as http://10.0.0.1:2379. A
	// failing one is left for the next.
	Endpoints []string
	// Writer names this process in the values that it writes.
	Writer string
	// HTTP does the calls; http.DefaultClient if nil. It must have no Timeout, as
	// that would break watches.
	HTTP *http.Client
	// Now tells the time; time.Now if nil.
	Now func() time.Time
	// ReadsPerSecond and WritesPerSecond bound the calls; a call above the rate
	// waits. Bursts last up to a second.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReceiptPrefix starts the keys of the receipts of this package.
	ReceiptPrefix string

	mu       sync.Mutex
	endpoint int
	reads    *rate.Limiter
	writes   *rate.Limiter
	calls    Calls
	health   health

	receipts receipts
}

// Calls counts the calls that the client has made, by kind. A watch is one call,
// and so is each renewal of it.
type Calls struct {
	Range          uint64
	Txn            uint64
	LeaseGrant     uint64
	LeaseKeepAlive uint64
	LeaseRevoke    uint64
	Watch          uint64
}

// Total returns the number of all calls.
func (c Calls) Total() uint64 {
	return c.Range + c.Txn + c.LeaseGrant + c.LeaseKeepAlive + c.LeaseRevoke + c.Watch
}

// Calls returns the number of calls so far.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// limiter returns the rate limit that a call has to pass.
func (c *Client) limiter(path string) *rate.Limiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reads == nil {
		reads := cmp.Or(c.ReadsPerSecond, defaultReadsPerSecond)
		writes := cmp.Or(c.WritesPerSecond, defaultWritesPerSecond)
		c.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
		c.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
	}
	if path == pathRange || path == pathWatch {
		return c.reads
	}
	return c.writes
}

// count adds a call.
func (c *Client) count(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch path {
	case pathRange:
		c.calls.Range++
	case pathWatch:
		c.calls.Watch++
	case pathTxn:
		c.calls.Txn++
	case pathGrant:
		c.calls.LeaseGrant++
	case pathKeepAlive:
		c.calls.LeaseKeepAlive++
	case pathRevoke:
		c.calls.LeaseRevoke++
	}
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

func (c *Client) http() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// newBackoff returns jittered exponential pauses between the repeats of a call.
func newBackoff() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstBackoff
	pauses.MaxInterval = maxBackoff
	return pauses
}

func newSessionID() string { return ulid.Make().String() }
