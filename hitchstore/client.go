// Package hitchstore is a client of the platform's key-value service, over the
// JSON gateway of etcd v3.
//
// Its writes are compare-and-swaps that report reliably whether they took effect,
// also if the store's response is lost: each transaction writes a receipt in addition
// to the value, by which the writer determines the result. docs/design/store.md has
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

	"citronhitch.example/citronhitch/hitchconn"
)

const (
	// MaxValueBytes is the largest value that the store accepts, including the
	// envelope of this package.
	MaxValueBytes = 1 << 20

	defaultReadsPerSecond  = 100
	defaultWritesPerSecond = 20
	defaultReceiptPrefix   = "hitchstore/receipts/"

	// callTimeout limits one call to the store. A method of the client may make
	// several.
	callTimeout = time.Second
	// maxAttempts limits the attempts of a read or write.
	maxAttempts = 5

	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second

	// The store counts as unavailable after this number of consecutive failures, or
	// once failures have lasted this long.
	unavailableAfterFailures = 3
	unavailableAfter         = 2 * time.Second
)

// Client reads and writes the key-value service. Only Endpoints must be set. Its
// methods are safe for concurrent use.
type Client struct {
	// Endpoints are base addresses of the store, such as http://10.0.0.1:2379. After a
	// failure the client switches to the next one.
	Endpoints []string
	// Writer names this process in the values that it writes.
	Writer string
	// HTTP makes the calls; if nil, a client that limits the heads of responses to 16 KiB. It must have no Timeout, as
	// that would end watches.
	HTTP *http.Client
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; a call above the
	// limit waits. A burst may have as many calls as the limit allows in a second.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ReceiptPrefix is the prefix of the keys of receipts.
	ReceiptPrefix string

	mu       sync.Mutex
	endpoint int
	reads    *rate.Limiter
	writes   *rate.Limiter
	calls    Calls
	health   health

	receipts receipts
}

// Calls counts the calls that the client has made, by kind. A watch counts as one
// call, and so does each of its reconnections.
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

// limiter returns the rate limiter for a call.
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

func (c *Client) countCall(path string) {
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

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return &defaultHTTP
	}
	return c.HTTP
}

// newBackoff returns the jittered exponential backoff between attempts.
func newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	return delays
}

// maxHeadBytes limits the head of a response, which net/http parses into several times its size.
const maxHeadBytes = 16 << 10

// defaultHTTP is the HTTP client of clients that have none.
var defaultHTTP = http.Client{Transport: newTransport()}

func newTransport() hitchconn.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHeadBytes
	return hitchconn.NewTransport(t)
}

func newSessionID() string { return ulid.Make().String() }
