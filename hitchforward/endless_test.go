package hitchforward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconn"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// endlessBytes is how much an endpoint without end sends at most, so that a test without
// a limit fails rather than uses up the memory.
const endlessBytes = 64 << 20

// maxEndlessAllocBytes is how much memory may be allocated, in total, for an exchange
// with an endpoint whose response has no end.
const maxEndlessAllocBytes = 1 << 20

// startEndlessEndpoint starts an endpoint that responds to each request with start and
// then with repetitions of unit until the connection is closed.
func startEndlessEndpoint(t *testing.T, start, unit string) (addr string, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan struct{}, 16)
	block := []byte(strings.Repeat(unit, max(1, (64<<10)/len(unit))))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close(); ended <- struct{}{} }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if _, err := io.WriteString(c, start); err != nil {
					return
				}
				for sent := 0; sent < endlessBytes; sent += len(block) {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), ended
}

// allocatedBytes returns how much memory the process has allocated since its start.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// TestEndlessHeadFails covers endpoints whose status line, header or interim responses
// have no end.
func TestEndlessHeadFails(t *testing.T) {
	tests := map[string]struct{ start, unit string }{
		"status line":             {"HTTP/1.1 200 ", "a"},
		"header line":             {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"continued header line":   {"HTTP/1.1 200 OK\r\nA: a\r\n", " a\r\n"},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		"interim responses":       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim header lines":    {"HTTP/1.1 103 Early Hints\r\n", "A: a\r\n"},
		"bytes that are no lines": {"", "\x00\xff"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessEndpoint(t, test.start, test.unit)
			var p ConnPool
			var tracker hitchoutcome.DispatchTracker
			before := allocatedBytes()
			_, err := p.Open(t.Context(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(5*time.Second), &tracker)
			allocated := allocatedBytes() - before
			qt.Assert(t, allocated < maxEndlessAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
			var f *Failure
			qt.Assert(t, errors.As(err, &f), qt.IsTrue)
			qt.Assert(t, f.Kind, qt.Equals, FailureTooLarge)
			qt.Assert(t, tracker.Outcome(), qt.Equals, hitchoutcome.Unknown)
			<-closed
			qt.Assert(t, p.idle[addr], qt.HasLen, 0)
		})
	}
}

// TestInvalidStatusFails covers status codes that the caller's server can't write, and
// those that aren't of HTTP: net/http's WriteHeader panics below 100.
func TestInvalidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "020", "+99", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			e := startTestEndpoint(t, func(int64, *http.Request) (string, bool) {
				return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok" + completeResponse, true
			})
			var p ConnPool
			_, err := get(t, &p, e.addr)
			qt.Assert(t, err, qt.ErrorIs, hitchconn.ErrInvalidStatus)
			qt.Assert(t, p.idle[e.addr], qt.HasLen, 0)
		})
	}
}

// TestEndlessBodyFails covers endpoints whose response body, chunk extensions or trailers
// have no end.
func TestEndlessBodyFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		start, unit string
		want        FailureKind
	}{
		"until the close":   {head + "\r\n", "a", FailureTooLarge},
		"declared length":   {head + "Content-Length: 1000000000000\r\n\r\n", "a", FailureTooLarge},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n", FailureTooLarge},
		"one chunk":         {head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "a", FailureTooLarge},
		"chunk of no size":  {head + "Transfer-Encoding: chunked\r\n\r\n", "0", FailureCut},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n1;", "a", FailureCut},
		"chunk extensions":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("a", 1000) + "\r\na\r\n", FailureCut},
		"trailer line":      {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "a", FailureCut},
		"trailer lines":     {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: a\r\n", FailureCut},
		"declared trailers": {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: a\r\n", FailureCut},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessEndpoint(t, test.start, test.unit)
			var p ConnPool
			before := allocatedBytes()
			x, err := p.Open(t.Context(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(5*time.Second), &hitchoutcome.DispatchTracker{})
			qt.Assert(t, err, qt.IsNil)
			_, err = x.ReadAll(testBodyBytes)
			allocated := allocatedBytes() - before
			qt.Assert(t, x.FailureFor(t.Context(), err).Kind, qt.Equals, test.want, qt.Commentf("%v", err))
			qt.Assert(t, allocated < maxEndlessAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
			x.Close()
			<-closed
			qt.Assert(t, p.idle[addr], qt.HasLen, 0)
			qt.Assert(t, p.bodyMemory.used.Load(), qt.Equals, int64(0))
		})
	}
}

// testBodyBytes is the limit of a body in the tests.
const testBodyBytes = 256 << 10

// TestBodiesShareMemory covers many endless bodies at once beside short ones. Each is
// within its own limit, and together they would exceed the memory of an instance.
func TestBodiesShareMemory(t *testing.T) {
	const exchanges, limit = 64, 1 << 20
	body := strings.Repeat("a", limit)
	large := startTestEndpoint(t, func(int64, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + body, true
	})
	small := startTestEndpoint(t, func(int64, *http.Request) (string, bool) { return completeResponse, true })
	var p ConnPool
	open := func(addr string) *Exchange {
		x, err := p.Open(t.Context(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(30*time.Second), &hitchoutcome.DispatchTracker{})
		qt.Assert(t, err, qt.IsNil)
		return x
	}
	complete := 0
	for range exchanges {
		x := open(large.addr)
		t.Cleanup(x.Close)
		if _, err := x.ReadAll(limit); err == nil {
			complete++
		} else {
			qt.Assert(t, err, qt.ErrorIs, errTooLarge)
		}
		y := open(small.addr)
		b, err := y.ReadAll(limit)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(b), qt.Equals, "ok")
		y.Close()
	}
	qt.Assert(t, complete, qt.Equals, maxBodyMemoryBytes/limit)
}

// TestKeepAliveTimeoutIsBounded covers endpoints whose Keep-Alive timeout is absurd: their
// idle connections would hold descriptors for years.
func TestKeepAliveTimeoutIsBounded(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5":                    5*time.Second - idleMargin,
		"timeout=1000000000":           maxIdleTimeout,
		"timeout=9223372036854775807":  maxIdleTimeout,
		"timeout=-5":                   0,
		"timeout=-9223372036854775807": 0,
	} {
		got := keepAliveTimeout(http.Header{"Keep-Alive": {value}})
		qt.Check(t, got, qt.Equals, want, qt.Commentf("%s", value))
	}
}
