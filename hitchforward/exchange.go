package hitchforward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// counter is a number that several goroutines raise.
type counter = atomic.Int64

// Message is a request as it goes to an endpoint.
type Message struct {
	Method string
	// Target is the path and query, byte by byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one message at one endpoint and its answer.
type Exchange struct {
	// Head is the answer's status line and header. Its body is read by Read.
	Head *http.Response

	pool    *Conns
	addr    string
	conn    *conn
	stop    func() bool
	written chan error
	whole   bool
}

// Open sends a message and reads the head of its answer, until the deadline.
// An error is a *Failure; one of kind FailureUnsent proves that no byte was
// written. The context's end closes the connection, which ends the work at the
// endpoint.
func (p *Conns) Open(ctx context.Context, addr string, m Message, until time.Time, ev *hitchoutcome.Evidence) (_ *Exchange, err error) {
	x := &Exchange{pool: p, addr: addr}
	defer func() {
		if err != nil {
			x.Close()
		}
	}()
	if err := x.connect(ctx, until); err != nil {
		return nil, &Failure{Kind: FailureUnsent, Err: err}
	}
	if err := ev.Dispatching(); err != nil {
		return nil, &Failure{Kind: FailureCallerGone, Err: err}
	}
	c := x.conn
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = x.conn.SetDeadline(until)
	x.write(m)
	if x.Head, err = x.readHead(m.Method); err != nil {
		return nil, x.failure(ctx, err)
	}
	return x, nil
}

// connect takes a kept connection or opens one.
func (x *Exchange) connect(ctx context.Context, until time.Time) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if x.conn = x.pool.take(time.Now(), x.addr); x.conn != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	c, err := dial(ctx, x.addr)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", x.addr, err)
	}
	x.conn = c
	x.pool.Dialed.Add(1)
	return nil
}

// inlineBytes is the size up to which a message is written before its answer is
// read. A longer one is written beside, as an endpoint may answer before it has
// read it.
const inlineBytes = 8 << 10

// write sends the message.
func (x *Exchange) write(m Message) {
	x.written = make(chan error, 1)
	head := m.head()
	if len(m.Body) <= inlineBytes {
		_, err := x.conn.Write(append(head, m.Body...))
		x.written <- err
		return
	}
	c, written := x.conn, x.written
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(m.Body)
		}
		written <- err
	}()
}

// head returns the message's request line and header.
func (m Message) head() []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	_ = m.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the final answer.
func (x *Exchange) readHead(method string) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// Extend sets the time until which the next bytes must come.
func (x *Exchange) Extend(until time.Time) { _ = x.conn.SetReadDeadline(until) }

// Read reads the answer's body. io.EOF means that the body is whole.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.Head.Body.Read(b)
	x.whole = x.whole || errors.Is(err, io.EOF)
	return n, err
}

// ReadAll reads the whole body, or fails if it is longer than the limit.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, nil
}

// Close ends the exchange. Its connection is kept only if nothing is left on it.
func (x *Exchange) Close() {
	if x.conn == nil {
		return
	}
	canceled := x.stop != nil && !x.stop()
	if until, ok := x.reusable(time.Now()); ok && !canceled {
		x.pool.put(x.addr, x.conn, until)
	} else {
		_ = x.conn.Close()
	}
	x.conn = nil
}

// reusable tells whether the connection may carry another exchange, and until
// when.
func (x *Exchange) reusable(now time.Time) (until time.Time, ok bool) {
	if x.Head == nil || !x.whole || x.Head.Close || x.conn.br.Buffered() > 0 {
		return time.Time{}, false
	}
	select {
	case err := <-x.written:
		if err != nil {
			return time.Time{}, false
		}
	default:
		return time.Time{}, false
	}
	return now.Add(keepAlive(x.Head.Header)), true
}

// keepAlive returns how long an endpoint keeps an idle connection, less a
// margin.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleLimit
}

// Failure describes an error of the body.
func (x *Exchange) Failure(ctx context.Context, err error) *Failure { return x.failure(ctx, err) }

// failure tells how an exchange failed whose request was written.
func (x *Exchange) failure(ctx context.Context, err error) *Failure {
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
