package hitchserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const partOfHead = "GET / HTTP/1.1\r\n"

// serve starts a server on in-memory connections.
func serve(t *testing.T, s *Server) *pipeListener {
	l := newPipeListener()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l
}

// closedAfter waits until the server closes a connection.
func (c *callerConn) closedAfter() time.Duration {
	start := time.Now()
	_, _ = io.Copy(io.Discard, c.br)
	return time.Since(start)
}

// TestLimitsOfTime covers clients that send nothing, a part of a head, or no further request, also if the limits change.
func TestLimitsOfTime(t *testing.T) {
	limits := Limits{HeadMilliseconds: 3000, IdleMilliseconds: 15000}
	tests := map[string]struct {
		act    func(t *testing.T, c *callerConn) string
		change Limits
		want   time.Duration
	}{
		"nothing":                       {func(*testing.T, *callerConn) string { return "" }, limits, 15 * time.Second},
		"part of a head":                {func(_ *testing.T, c *callerConn) string { c.send(partOfHead); return "" }, limits, 3 * time.Second},
		"idle":                          {exchangeOnce, limits, 15 * time.Second},
		"idle, limits change":           {exchangeOnce, Limits{IdleMilliseconds: 5000}, 6 * time.Second},
		"part of a head, limits change": {func(_ *testing.T, c *callerConn) string { c.send(partOfHead); return "" }, Limits{HeadMilliseconds: 2000}, 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestServer(0)
				s.HTTP.ReadHeaderTimeout, s.HTTP.IdleTimeout, s.Limits = 0, 0, limits
				c := serve(t, s).dial()
				test.act(t, c)
				time.AfterFunc(time.Second, func() { s.SetLimits(test.change) })
				qt.Assert(t, c.closedAfter(), qt.Equals, test.want)
			})
		})
	}
}

// TestHeadLimit guards against heads beyond the limit, also those without end.
func TestHeadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(0)
		s.Limits = Limits{HeadBytes: 1000}
		c := serve(t, s).dial()
		go func() { _, _ = io.Copy(c, strings.NewReader(partOfHead+strings.Repeat("A: a\r\n", 2000))) }()
		res, err := http.ReadResponse(c.br, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, res.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestConnsMakeRoom covers which connection is closed if there are too many, and that a request whose connection was closed
// isn't run.
func TestConnsMakeRoom(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
	tests := map[string]struct {
		// sent is what each connection sends, one second after the other.
		sent []string
		// closed is the one that is closed for another, and -1 the other one.
		closed int
	}{
		"new ones":                    {[]string{"", ""}, 0},
		"head in part":                {[]string{"", partOfHead}, 0},
		"served one waits longer":     {[]string{request, ""}, 1},
		"body in part":                {[]string{post, request}, 0},
		"all are handled":             {[]string{post + "w", post + "w"}, -1},
		"one is handled":              {[]string{post + "w", post}, 1},
		"one is handled, one is idle": {[]string{post + "w", request}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{MaxConns: len(test.sent), ReadsWholeBodies: true, Heads: &HeadBudget{Bytes: 1 << 20}}
				s.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, err := io.ReadAll(r.Body)
					qt.Check(t, err == nil || errors.Is(err, io.ErrClosedPipe), qt.IsTrue)
					if string(body) == "w" {
						time.Sleep(time.Minute)
					}
				})
				l := serve(t, s)
				closed := -1
				for n, text := range test.sent {
					c := l.dial()
					c.send(text)
					go func() {
						if c.closedAfter() < 10*time.Second {
							closed = n
						}
					}()
					time.Sleep(time.Second)
				}
				l.dial()
				time.Sleep(time.Second)
				synctest.Wait()
				qt.Check(t, closed, qt.Equals, test.closed)
				qt.Check(t, s.Evicted(), qt.Equals, int64(1))
				time.Sleep(2 * time.Minute) // until the handlers have returned
			})
		})
	}
}

// TestHeadBudget covers which connection is closed if heads take too much memory together, and that its request isn't run.
func TestHeadBudget(t *testing.T) {
	b := HeadBudget{Bytes: 100 << 10}
	s := &Server{Heads: &b}
	at := func(age time.Duration) *conn {
		server, _ := net.Pipe()
		return &conn{Conn: server, server: s, phaseSince: time.Now().Add(-age)}
	}
	const kB = 1 << 10
	old, young, whole, small := at(2*time.Second), at(time.Millisecond), at(time.Hour), at(time.Hour)
	qt.Assert(t, b.hold(small, freeHeadBytes, false), qt.IsTrue)
	qt.Assert(t, b.hold(old, freeHeadBytes+30*kB, false), qt.IsTrue)
	qt.Assert(t, b.hold(whole, freeHeadBytes+30*kB, true) && b.keep(whole), qt.IsTrue)
	qt.Assert(t, b.hold(young, freeHeadBytes+60*kB, false), qt.IsTrue)
	qt.Assert(t, b.keep(old), qt.IsFalse)
	qt.Assert(t, b.hold(old, freeHeadBytes, true), qt.IsFalse)
	qt.Assert(t, b.hold(young, freeHeadBytes+80*kB, false), qt.IsFalse)
	qt.Assert(t, b.keep(small) && b.keep(whole), qt.IsTrue)
	b.release(whole)
	qt.Assert(t, b.used, qt.Equals, int64(0))
	qt.Assert(t, b.Evicted(), qt.Equals, int64(2))
}

// BenchmarkRequest is what the bounds cost a request, beside other connections that wait.
func BenchmarkRequest(b *testing.B) {
	for _, others := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(others), func(b *testing.B) {
			s := &Server{MaxConns: others + 1, Heads: &HeadBudget{Bytes: 1 << 20}}
			server, _ := net.Pipe()
			c := &conn{Conn: server, server: s}
			for range others {
				s.add(&conn{Conn: server, server: s})
			}
			s.add(c)
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(request)))
			qt.Assert(b, err, qt.IsNil)
			b.ReportAllocs()
			for b.Loop() {
				c.beginRequest()
				c.addToHead([]byte(request))
				c.setPhase(PhaseHandling)
				s.admit(c, r)
				s.observeState(c, http.StateIdle)
			}
		})
	}
}

// BenchmarkEviction is what a head costs for which another connection is closed.
func BenchmarkEviction(b *testing.B) {
	for _, others := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(others), func(b *testing.B) {
			budget := HeadBudget{Bytes: 1}
			for range others {
				budget.set(&conn{phaseSince: time.Now()}, 1, false)
			}
			c := &conn{}
			for b.Loop() {
				_ = budget.heaviest(c, time.Now())
			}
		})
	}
}
