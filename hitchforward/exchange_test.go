package hitchforward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// testEndpoint is an endpoint that responds to each request with bytes that the test
// defines.
type testEndpoint struct {
	addr     string
	accepted atomic.Int64
	requests atomic.Int64
}

// startTestEndpoint starts an endpoint. The respond function gets the number of the
// request and returns the bytes to write; false closes the connection after them.
func startTestEndpoint(t *testing.T, respond func(n int64, r *http.Request) (string, bool)) *testEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	e := &testEndpoint{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go e.handle(c, respond)
		}
	}()
	return e
}

func (e *testEndpoint) handle(c net.Conn, respond func(int64, *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b, keep := respond(e.requests.Add(1), r)
		if _, err := io.WriteString(c, b); err != nil || !keep {
			return
		}
	}
}

func get(t *testing.T, p *ConnPool, addr string) (string, error) {
	var tracker hitchoutcome.DispatchTracker
	x, err := p.Open(t.Context(), addr, Request{Method: http.MethodGet, Target: "/a//b/?q=%20", Host: "h.example"}, time.Now().Add(5*time.Second), &tracker)
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := x.ReadAll(1 << 20)
	return string(b), err
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

func TestConnectionIsReusedOnlyWhenClean(t *testing.T) {
	tests := map[string]struct {
		response  string
		keep      bool
		wantConns int64
	}{
		"complete":            {completeResponse, true, 1},
		"bytes after the end": {completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", true, 2},
		"announces close":     {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, 2},
		"closes":              {completeResponse, false, 2},
		"no length":           {"HTTP/1.1 200 OK\r\n\r\nok", false, 2},
		"zero keep-alive":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok", true, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := startTestEndpoint(t, func(int64, *http.Request) (string, bool) { return test.response, test.keep })
			var p ConnPool
			for range 2 {
				got, err := get(t, &p, e.addr)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, "ok")
				waitForEndpoint(t, &p, e.addr, test.wantConns == 1)
			}
			qt.Assert(t, e.accepted.Load(), qt.Equals, test.wantConns)
			qt.Assert(t, e.requests.Load(), qt.Equals, int64(2))
		})
	}
}

// waitForEndpoint waits until the client has received what the endpoint did after
// its response: extra bytes or a close.
func waitForEndpoint(t *testing.T, p *ConnPool, addr string, usable bool) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		ok := len(list) == 0 || usable || list[0].checkIdle() != nil || !time.Now().Before(list[0].idleDeadline)
		p.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-time.After(time.Millisecond):
		case <-t.Context().Done():
			return
		}
	}
}

func TestTruncatedResponsesFail(t *testing.T) {
	tests := map[string]string{
		"in the header":            "HTTP/1.1 200 OK\r\nContent-Le",
		"in the body":              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"in a chunk":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"between chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"not HTTP":                 "garbage that is no answer\r\n\r\n",
		"nothing":                  "",
		"only an interim response": "HTTP/1.1 100 Continue\r\n\r\n",
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			e := startTestEndpoint(t, func(int64, *http.Request) (string, bool) { return response, false })
			var p ConnPool
			_, err := get(t, &p, e.addr)
			qt.Assert(t, err, qt.Not(qt.IsNil))
			qt.Assert(t, p.idle[e.addr], qt.HasLen, 0)
		})
	}
}

func TestFailureKindTellsWhetherRequestWasSent(t *testing.T) {
	closed, release, err := hitchfake.ReserveAddr()
	qt.Assert(t, err, qt.IsNil)
	defer release()
	cut := startTestEndpoint(t, func(int64, *http.Request) (string, bool) { return "", false })
	tests := map[string]struct {
		addr    string
		want    FailureKind
		outcome hitchoutcome.Outcome
	}{
		"refused": {closed, FailureUnsent, hitchoutcome.NotRun},
		"cut":     {cut.addr, FailureCut, hitchoutcome.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p ConnPool
			var tracker hitchoutcome.DispatchTracker
			_, err := p.Open(t.Context(), test.addr, Request{Method: http.MethodPost, Target: "/", Host: "h"}, time.Now().Add(time.Second), &tracker)
			var f *Failure
			qt.Assert(t, errors.As(err, &f), qt.IsTrue)
			qt.Assert(t, f.Kind, qt.Equals, test.want)
			qt.Assert(t, tracker.Outcome(), qt.Equals, test.outcome)
		})
	}
}

func TestCallerDisconnectEndsExchange(t *testing.T) {
	gone := make(chan struct{})
	e := startTestEndpoint(t, func(_ int64, r *http.Request) (string, bool) {
		<-gone
		return completeResponse, true
	})
	defer close(gone)
	var p ConnPool
	var tracker hitchoutcome.DispatchTracker
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := p.Open(ctx, e.addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(time.Minute), &tracker)
	var f *Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Kind, qt.Equals, FailureCallerGone)
}

func TestTargetIsForwardedUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	e := startTestEndpoint(t, func(_ int64, r *http.Request) (string, bool) {
		targets <- r.RequestURI
		return completeResponse, true
	})
	var p ConnPool
	_, err := get(t, &p, e.addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-targets, qt.Equals, "/a//b/?q=%20")
}

func TestIdleConnectionsExpire(t *testing.T) {
	e := startTestEndpoint(t, func(int64, *http.Request) (string, bool) { return completeResponse, true })
	var p ConnPool
	_, err := get(t, &p, e.addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.idle[e.addr], qt.HasLen, 1)
	p.CloseExpired(time.Now())
	qt.Assert(t, p.idle[e.addr], qt.HasLen, 1)
	p.CloseExpired(time.Now().Add(5 * time.Second))
	qt.Assert(t, p.idle, qt.HasLen, 0)
}

// TestNothingIsSentAfterCallerDisconnects opens an exchange for a caller that has
// already disconnected while an idle connection is available. Nothing may be
// written.
func TestNothingIsSentAfterCallerDisconnects(t *testing.T) {
	e := startTestEndpoint(t, func(int64, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true
	})
	var conns ConnPool
	deadline := time.Now().Add(5 * time.Second)
	x, err := conns.Open(context.Background(), e.addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, deadline, &hitchoutcome.DispatchTracker{})
	qt.Assert(t, err, qt.IsNil)
	_, err = x.ReadAll(10)
	qt.Assert(t, err, qt.IsNil)
	x.Close()
	ctx, disconnect := context.WithCancel(context.Background())
	disconnect()
	var tracker hitchoutcome.DispatchTracker
	_, err = conns.Open(ctx, e.addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, deadline, &tracker)
	var f *Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Kind, qt.Equals, FailureUnsent)
	qt.Assert(t, tracker.Outcome(), qt.Equals, hitchoutcome.NotRun)
	// The idle connection is still usable, and the next request on it is the second.
	x, err = conns.Open(context.Background(), e.addr, Request{Method: http.MethodGet, Target: "/", Host: "h"}, deadline, &hitchoutcome.DispatchTracker{})
	qt.Assert(t, err, qt.IsNil)
	x.Close()
	qt.Assert(t, e.requests.Load(), qt.Equals, int64(2))
}
