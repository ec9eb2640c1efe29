package hitchforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// counter is a number that goroutines increment concurrently.
type counter = atomic.Int64

// Request is a request as it is sent to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's ID, which its response names. The request isn't sent on a connection that has
	// carried one with the same ID, as a second copy of that one's response couldn't be told from its own.
	ID string
	// NeedsNewConn is set if the response can't be told from one to another request, so that the
	// request is sent on a connection that has carried none.
	NeedsNewConn bool
	// IsOwn reports whether a response is that to the request. Others that arrive before it on a
	// connection that has carried requests before are skipped. Nil means that any response counts.
	IsOwn func(r *http.Response) bool
}

// Exchange is one request to one endpoint, and its response.
type Exchange struct {
	// Response holds the status line and header of the response. Read reads its
	// body.
	Response *http.Response
	// OpenedAt is when the connection was opened, and IsKept is set if it has carried exchanges
	// before.
	OpenedAt time.Time
	IsKept   bool
	// IsRepeat is set if another connection to the address has carried a request with the same ID.
	IsRepeat bool
	// Skipped is how many responses to other requests arrived before Response.
	Skipped int

	pool            *ConnPool
	addr            string
	conn            *conn
	content         io.Reader
	stopCancelWatch func() bool
	writeResult     chan error
	complete        bool
	isDiscarded     bool
	body            bodyReader
}

// Open sends a request and reads the header of its response. It fails when the
// deadline passes. An error is a *Failure; one of kind FailureUnsent guarantees
// that no byte was written. When the context ends, the connection is closed, so
// that the endpoint can stop working on the request.
func (p *ConnPool) Open(ctx context.Context, addr string, r Request, deadline time.Time, tracker *hitchoutcome.DispatchTracker) (_ *Exchange, err error) {
	x := &Exchange{pool: p, addr: addr, body: bodyReader{memory: &p.bodyMemory}}
	defer func() {
		if err != nil {
			x.Close()
		}
	}()
	if err := x.connect(ctx, r, deadline); err != nil {
		return nil, &Failure{Kind: FailureUnsent, Err: err}
	}
	if err := tracker.BeginDispatch(); err != nil {
		return nil, &Failure{Kind: FailureCallerGone, Err: err}
	}
	c := x.conn
	x.OpenedAt, x.IsKept = c.openedAt, c.wasUsed
	c.wasUsed = true
	c.carried.add(r.ID)
	x.stopCancelWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = x.conn.SetDeadline(deadline)
	stopWatch := watchUnacked(c)
	defer stopWatch()
	x.write(r)
	if x.Response, err = x.readOwnHead(r); err != nil {
		return nil, x.newFailure(ctx, err)
	}
	x.content = x.Response.Body
	if x.Response.Body != http.NoBody && slices.Equal(x.Response.TransferEncoding, []string{"chunked"}) {
		x.content = &chunkedBody{br: x.conn.br}
	}
	return x, nil
}

// connect takes an idle connection from the pool, unless a new one is needed, or opens one.
func (x *Exchange) connect(ctx context.Context, r Request, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !r.NeedsNewConn {
		x.conn, x.IsRepeat = x.pool.getIdle(time.Now(), x.addr, r.ID)
	}
	if x.conn != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := x.pool.dial(ctx, x.addr)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", x.addr, err)
	}
	x.conn = c
	x.pool.Dialed.Add(1)
	return nil
}

// maxInlineBytes is the maximum size of a body that is written before the response
// is read. A longer one is written concurrently, as an endpoint may respond before
// it has read the whole body.
const maxInlineBytes = 8 << 10

// write sends the request.
func (x *Exchange) write(r Request) {
	x.writeResult = make(chan error, 1)
	head := r.encodeHead()
	if len(r.Body) <= maxInlineBytes {
		_, err := x.conn.Write(append(head, r.Body...))
		x.writeResult <- err
		return
	}
	c, written := x.conn, x.writeResult
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(r.Body)
		}
		written <- err
	}()
}

// encodeHead returns the encoded request line and header.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// maxForeignResponses is how many responses to other requests are skipped.
const maxForeignResponses = 3

// readOwnHead reads the header of the response to the request, or that of another one which can't be
// skipped.
func (x *Exchange) readOwnHead(r Request) (*http.Response, error) {
	for range maxForeignResponses {
		res, err := x.readHead(r.Method)
		if err != nil || r.IsOwn == nil || !x.IsKept || r.IsOwn(res) {
			return res, err
		}
		x.DiscardConnection()
		if !canSkip(res) {
			return res, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
		x.Skipped++
	}
	return x.readHead(r.Method)
}

// canSkip reports whether the end of a response is known and near.
func canSkip(r *http.Response) bool { return r.ContentLength >= 0 && r.ContentLength <= maxDrainBytes }

// readHead reads the header of the final response, skipping interim ones. All of them
// together may have maxHeadBytes.
func (x *Exchange) readHead(method string) (*http.Response, error) {
	// The reader may fill its buffer with the start of the body.
	x.conn.limit.setLimit(maxHeadBytes + readBufferBytes)
	defer x.conn.limit.removeLimit()
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil && x.conn.limit.isReached() {
			return nil, errTooLarge
		}
		if err != nil {
			return nil, err
		}
		if !isInterim(res.StatusCode) {
			return res, hitchconn.CheckStatus(res.StatusCode)
		}
	}
}

// SetReadDeadline sets the deadline for the next read.
func (x *Exchange) SetReadDeadline(deadline time.Time) { _ = x.conn.SetReadDeadline(deadline) }

// Read reads the response body. io.EOF means that the body is complete.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.content.Read(b)
	x.complete = x.complete || errors.Is(err, io.EOF)
	return n, err
}

// DiscardConnection makes Close close the connection, as what arrives on it later might
// not be told from the response to another request.
func (x *Exchange) DiscardConnection() { x.isDiscarded = true }

// Close ends the exchange. Its connection returns to the pool only if the response
// was read completely and no unread bytes remain.
func (x *Exchange) Close() {
	if x.conn == nil {
		return
	}
	x.body.release()
	canceled := x.stopCancelWatch != nil && !x.stopCancelWatch()
	if idleDeadline, ok := x.reusable(time.Now()); ok && !canceled {
		x.pool.putIdle(x.addr, x.conn, idleDeadline)
	} else {
		_ = x.conn.Close()
	}
	x.conn = nil
}

// reusable reports whether the connection can carry another exchange, and until
// when it may stay idle.
func (x *Exchange) reusable(now time.Time) (idleDeadline time.Time, ok bool) {
	if x.Response == nil || !x.complete || x.isDiscarded || x.Response.Close || x.conn.br.Buffered() > 0 {
		return time.Time{}, false
	}
	select {
	case err := <-x.writeResult:
		if err != nil {
			return time.Time{}, false
		}
	default:
		return time.Time{}, false
	}
	return now.Add(keepAliveTimeout(x.Response.Header)), true
}

// keepAliveTimeout returns how long to keep an idle connection: the endpoint's
// Keep-Alive timeout less idleMargin, at most maxIdleTimeout, or defaultIdleTimeout.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			seconds = min(max(seconds, 0), int(2*maxIdleTimeout/time.Second))
			return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}

// FailureFor returns the failure for an error from reading the body.
func (x *Exchange) FailureFor(ctx context.Context, err error) *Failure { return x.newFailure(ctx, err) }

// newFailure returns the failure of an exchange whose request was written.
func (x *Exchange) newFailure(ctx context.Context, err error) *Failure {
	if x.conn != nil && x.conn.isUnacked.Load() {
		err = errUnacked
	}
	kind := FailureCut
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = FailureTimeout
	case ctx.Err() != nil:
		kind = FailureCallerGone
	case errors.Is(err, errTooLarge):
		kind = FailureTooLarge
	case isTimeout(err):
		kind = FailureSilent
	}
	return &Failure{Kind: kind, Err: err}
}
