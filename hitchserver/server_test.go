package hitchserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeListener is a listener of in-memory connections, whose writes end once the
// other side has read all bytes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection that the server accepts.
func (l *pipeListener) dial() *callerConn {
	client, server := net.Pipe()
	l.conns <- server
	return &callerConn{Conn: client, br: bufio.NewReader(client)}
}

// callerConn is a caller's side of a connection.
type callerConn struct {
	net.Conn
	br *bufio.Reader
}

// send writes a part of a request. It returns false if the server has closed the
// connection and so can't have read it.
func (c *callerConn) send(b string) bool {
	_, err := io.WriteString(c, b)
	return err == nil
}

// response reads a whole response and returns its body.
func (c *callerConn) response() (body string, closes bool, err error) {
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(res.Body)
	return string(b), res.Close, err
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// newTestServer returns a server whose handler responds after a while.
func newTestServer(handling time.Duration) *Server {
	return &Server{HTTP: http.Server{
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       90 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-time.After(handling):
				_, _ = io.WriteString(w, "ok")
			case <-r.Context().Done():
			}
		}),
	}}
}

// TestRequestReadDuringShutdownIsAnswered covers a caller that continues to use an open
// connection while the server shuts down: each request that the server has read whole
// must get a response.
func TestRequestReadDuringShutdownIsAnswered(t *testing.T) {
	tests := map[string]struct {
		// before is what the caller does before the shutdown, with the request's first bytes
		// that it has sent by then.
		before func(t *testing.T, c *callerConn) (sent string)
		// delay is the time from the shutdown to the (rest of the) request.
		delay time.Duration
	}{
		"unused connection, at once": {func(*testing.T, *callerConn) string { return "" }, 0},
		"unused connection, later":   {func(*testing.T, *callerConn) string { return "" }, 2 * time.Second},
		"used connection, at once":   {exchangeOnce, 0},
		"used connection, later":     {exchangeOnce, 2 * time.Second},
		"header read in part":        {sendPart, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPipeListener()
				s := newTestServer(100 * time.Millisecond)
				served := make(chan error, 1)
				go func() { served <- s.Serve(l) }()
				c := l.dial()
				synctest.Wait()
				sent := test.before(t, c)
				ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- s.Shutdown(ctx) }()
				synctest.Wait()
				time.Sleep(test.delay)
				if c.send(request[len(sent):]) {
					body, _, err := c.response()
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, body, qt.Equals, "ok")
				} else {
					qt.Check(t, sent, qt.Equals, "")
				}
				_ = c.Close()
				qt.Check(t, <-stopped, qt.IsNil)
				qt.Check(t, <-served, qt.IsNil)
				_ = s.Close()
			})
		})
	}
}

// exchangeOnce sends a request and reads its response.
func exchangeOnce(t *testing.T, c *callerConn) string {
	qt.Assert(t, c.send(request), qt.IsTrue)
	body, _, err := c.response()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "ok")
	synctest.Wait()
	return ""
}

// sendPart sends the first bytes of a request.
func sendPart(t *testing.T, c *callerConn) string {
	const part = "GET / HT"
	qt.Assert(t, c.send(part), qt.IsTrue)
	synctest.Wait()
	return part
}

// TestShutdownWaitsForResponses covers requests in flight when a shutdown begins.
func TestShutdownWaitsForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := newTestServer(3 * time.Second)
		go func() { _ = s.Serve(l) }()
		c := l.dial()
		qt.Assert(t, c.send(request), qt.IsTrue)
		synctest.Wait()
		qt.Assert(t, s.Conns(), qt.Equals, ConnCounts{Handling: 1})
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(t.Context()) }()
		body, _, err := c.response()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "ok")
		qt.Assert(t, <-stopped, qt.IsNil)
		_ = c.Close()
	})
}

// TestUnusedConnectionDoesNotDelayShutdown covers a caller that opened a connection and
// has sent nothing on it.
func TestUnusedConnectionDoesNotDelayShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := newTestServer(0)
		go func() { _ = s.Serve(l) }()
		c := l.dial()
		synctest.Wait()
		qt.Assert(t, s.Conns(), qt.Equals, ConnCounts{New: 1})
		start := time.Now()
		qt.Assert(t, s.Shutdown(t.Context()), qt.IsNil)
		qt.Assert(t, time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
		_, _, err := c.response()
		qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
		_ = c.Close()
	})
}

// TestPhases follows a connection through its phases.
func TestPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := newTestServer(time.Second)
		var closedEarly []Phase
		s.ClosedEarly = func(_ net.Addr, phase Phase) { closedEarly = append(closedEarly, phase) }
		go func() { _ = s.Serve(l) }()
		c := l.dial()
		synctest.Wait()
		qt.Assert(t, s.Conns().String(), qt.Equals, "New:1,Reading:0,Handling:0,Writing:0,Idle:0")
		sendPart(t, c)
		qt.Assert(t, s.Conns(), qt.Equals, ConnCounts{Reading: 1})
		qt.Assert(t, c.send(strings.TrimPrefix(request, "GET / HT")), qt.IsTrue)
		synctest.Wait()
		qt.Assert(t, s.Conns(), qt.Equals, ConnCounts{Handling: 1})
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, s.Conns(), qt.Equals, ConnCounts{Writing: 1}) // the caller hasn't read yet
		_, _, err := c.response()
		qt.Assert(t, err, qt.IsNil)
		synctest.Wait()
		qt.Assert(t, s.Conns(), qt.Equals, ConnCounts{Idle: 1})
		sendPart(t, c)
		_ = c.Close()
		synctest.Wait()
		qt.Assert(t, s.Conns().Total(), qt.Equals, 0)
		qt.Assert(t, closedEarly, qt.DeepEquals, []Phase{PhaseReading})
		_ = s.Close()
	})
}
