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

	"citronhitch.example/citronhitch/hitchoutcome"
)

// endpoint is a back end that answers each request on a connection with bytes of
// the test's choice.
type endpoint struct {
	addr     string
	accepted atomic.Int64
	requests atomic.Int64
}

// serve starts an endpoint. The answer function gets the number of the request
// and returns the bytes to write; false closes the connection behind them.
func serve(t *testing.T, answer func(n int64, r *http.Request) (string, bool)) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go e.handle(c, answer)
		}
	}()
	return e
}

func (e *endpoint) handle(c net.Conn, answer func(int64, *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b, keep := answer(e.requests.Add(1), r)
		if _, err := io.WriteString(c, b); err != nil || !keep {
			return
		}
	}
}

func do(t *testing.T, p *Conns, addr string) (string, error) {
	var ev hitchoutcome.Evidence
	x, err := p.Open(t.Context(), addr, Message{Method: http.MethodGet, Target: "/a//b/?q=%20", Host: "h.example"}, time.Now().Add(5*time.Second), &ev)
	if err != nil {
		return "", err
	}
	defer x.Close()
	b, err := x.ReadAll(1 << 20)
	return string(b), err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

func TestAConnectionIsKeptOnlyIfNothingIsLeftOnIt(t *testing.T) {
	tests := map[string]struct {
		answer string
		keep   bool
		conns  int64
	}{
		"whole":                  {whole, true, 1},
		"bytes behind the end":   {whole + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", true, 2},
		"it says that it closes": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, 2},
		"it closes":              {whole, false, 2},
		"no length":              {"HTTP/1.1 200 OK\r\n\r\nok", false, 2},
		"kept for no time":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok", true, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := serve(t, func(int64, *http.Request) (string, bool) { return test.answer, test.keep })
			var p Conns
			for range 2 {
				got, err := do(t, &p, e.addr)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, "ok")
				settled(t, &p, e.addr, test.conns == 1)
			}
			qt.Assert(t, e.accepted.Load(), qt.Equals, test.conns)
			qt.Assert(t, e.requests.Load(), qt.Equals, int64(2))
		})
	}
}

// settled waits until what the endpoint did behind its answer has arrived.
func settled(t *testing.T, p *Conns, addr string, usable bool) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		ok := len(list) == 0 || usable || list[0].check() != nil || !time.Now().Before(list[0].keptUntil)
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

func TestAnswersThatBreakOffAreFailures(t *testing.T) {
	tests := map[string]string{
		"in the head":         "HTTP/1.1 200 OK\r\nContent-Le",
		"in the body":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"in a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"between chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"not HTTP":            "garbage that is no answer\r\n\r\n",
		"nothing":             "",
		"only an interim one": "HTTP/1.1 100 Continue\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			e := serve(t, func(int64, *http.Request) (string, bool) { return answer, false })
			var p Conns
			_, err := do(t, &p, e.addr)
			qt.Assert(t, err, qt.Not(qt.IsNil))
			qt.Assert(t, p.idle[e.addr], qt.HasLen, 0)
		})
	}
}

func TestAFailureSaysWhetherAnythingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := l.Addr().String()
	qt.Assert(t, l.Close(), qt.IsNil)
	cut := serve(t, func(int64, *http.Request) (string, bool) { return "", false })
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
			var p Conns
			var ev hitchoutcome.Evidence
			_, err := p.Open(t.Context(), test.addr, Message{Method: http.MethodPost, Target: "/", Host: "h"}, time.Now().Add(time.Second), &ev)
			var f *Failure
			qt.Assert(t, errors.As(err, &f), qt.IsTrue)
			qt.Assert(t, f.Kind, qt.Equals, test.want)
			qt.Assert(t, ev.Outcome(), qt.Equals, test.outcome)
		})
	}
}

func TestACallerThatLeavesEndsTheExchange(t *testing.T) {
	gone := make(chan struct{})
	e := serve(t, func(_ int64, r *http.Request) (string, bool) {
		<-gone
		return whole, true
	})
	defer close(gone)
	var p Conns
	var ev hitchoutcome.Evidence
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := p.Open(ctx, e.addr, Message{Method: http.MethodGet, Target: "/", Host: "h"}, time.Now().Add(time.Minute), &ev)
	var f *Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Kind, qt.Equals, FailureCallerGone)
}

func TestTheTargetGoesOnAsItCame(t *testing.T) {
	targets := make(chan string, 1)
	e := serve(t, func(_ int64, r *http.Request) (string, bool) {
		targets <- r.RequestURI
		return whole, true
	})
	var p Conns
	_, err := do(t, &p, e.addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-targets, qt.Equals, "/a//b/?q=%20")
}

func TestConnectionsExpire(t *testing.T) {
	e := serve(t, func(int64, *http.Request) (string, bool) { return whole, true })
	var p Conns
	_, err := do(t, &p, e.addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.idle[e.addr], qt.HasLen, 1)
	p.Expire(time.Now())
	qt.Assert(t, p.idle[e.addr], qt.HasLen, 1)
	p.Expire(time.Now().Add(5 * time.Second))
	qt.Assert(t, p.idle, qt.HasLen, 0)
}

// TestNothingIsSentForACallerThatHasLeft: a kept connection is at hand, but the
// caller left before the message is written.
func TestNothingIsSentForACallerThatHasLeft(t *testing.T) {
	e := serve(t, func(int64, *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true
	})
	var conns Conns
	until := time.Now().Add(5 * time.Second)
	x, err := conns.Open(context.Background(), e.addr, Message{Method: http.MethodGet, Target: "/", Host: "h"}, until, &hitchoutcome.Evidence{})
	qt.Assert(t, err, qt.IsNil)
	_, err = x.ReadAll(10)
	qt.Assert(t, err, qt.IsNil)
	x.Close()
	ctx, leave := context.WithCancel(context.Background())
	leave()
	var ev hitchoutcome.Evidence
	_, err = conns.Open(ctx, e.addr, Message{Method: http.MethodGet, Target: "/", Host: "h"}, until, &ev)
	var f *Failure
	qt.Assert(t, errors.As(err, &f), qt.IsTrue)
	qt.Assert(t, f.Kind, qt.Equals, FailureUnsent)
	qt.Assert(t, ev.Outcome(), qt.Equals, hitchoutcome.NotRun)
	// The kept connection still works, and its next request is the second one.
	x, err = conns.Open(context.Background(), e.addr, Message{Method: http.MethodGet, Target: "/", Host: "h"}, until, &hitchoutcome.Evidence{})
	qt.Assert(t, err, qt.IsNil)
	x.Close()
	qt.Assert(t, e.requests.Load(), qt.Equals, int64(2))
}
