package hitchforward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestAbandonedRequestsAreReset guards against requests that reach an endpoint seconds after they were
// given up: what the kernel holds for a path that is cut is sent at its end, unless the connection is
// reset (rules BUDGET and DRAIN).
func TestAbandonedRequestsAreReset(t *testing.T) {
	exchange := func(ctx context.Context, addr string) {
		request := Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("body")}
		x, err := new(ConnPool).Open(ctx, addr, request, time.Now().Add(5*time.Second), &hitchoutcome.DispatchTracker{})
		if err == nil {
			x.Close()
		}
	}
	call := func(ctx context.Context, addr string) {
		endpoint := hitchfleet.Endpoint{ID: "e", URL: "http://" + addr}
		_, _ = new(Client).Do(ctx, Call{Method: http.MethodPost, Path: "/x", Body: []byte("body")}, endpoint, &hitchoutcome.DispatchTracker{})
	}
	tests := map[string]struct {
		send     func(ctx context.Context, addr string)
		response string
	}{
		"before the response":         {exchange, ""},
		"in the response":             {exchange, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno"},
		"own API before the response": {call, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = l.Close() }()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- respondOnce(l, test.response, cancel) }()
			test.send(ctx, l.Addr().String())
			qt.Assert(t, <-ended, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
}

// TestUnacknowledgedRequestIsReset guards against requests that the kernel gives up in place of the
// instance, so that they may still arrive (rules BUDGET and DRAIN). An endpoint that doesn't read shows the same
// as a path that is cut: nothing more is acknowledged.
func TestUnacknowledgedRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if nc, err := l.Accept(); err == nil {
			accepted <- nc
		}
	}()
	start := time.Now()
	request := Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: make([]byte, 32<<20)}
	_, err = new(ConnPool).Open(t.Context(), l.Addr().String(), request, start.Add(10*time.Second), &hitchoutcome.DispatchTracker{})
	var failure *Failure
	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Check(t, failure.Kind, qt.Equals, FailureCut)
	qt.Check(t, failure.IsUnresponsive(), qt.IsTrue)
	qt.Check(t, errors.Is(err, errUnacked), qt.IsTrue)
	took := time.Since(start)
	qt.Check(t, took >= unackedTimeout && took < kernelUnackedTimeoutMilliseconds*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
	nc := <-accepted
	defer func() { _ = nc.Close() }()
	_, err = io.Copy(io.Discard, nc)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
}

// respondOnce reads a request, sends a response, or calls abandon if there is none, and returns the
// error with which the connection ends.
func respondOnce(l net.Listener, response string, abandon func()) error {
	nc, err := l.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	r, err := http.ReadRequest(br)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if response == "" {
		abandon()
	} else if _, err := io.WriteString(nc, response); err != nil {
		return err
	}
	_, err = br.ReadByte()
	return err
}

// TestPooledCallIsNotResentUncounted guards against a second arrival that no retry budget knows of: net/http
// sends a call again by itself if a connection that was used before breaks (rule BUDGET).
func TestPooledCallIsNotResentUncounted(t *testing.T) {
	tests := map[string]Call{
		"read":                    {Method: http.MethodGet, Path: "/x", Idempotent: true},
		"call with a key":         {Method: http.MethodPost, Path: "/x", Body: []byte("body"), Idempotent: true, Header: http.Header{"Idempotency-Key": {"k"}}},
		"call without a response": {Method: http.MethodPost, Path: "/x", Body: []byte("body"), Idempotent: true},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			endpoint := startEndpoint(t, "e", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
			}))
			var client Client
			t.Cleanup(client.CloseIdleConnections)
			_, err := client.Do(t.Context(), call, endpoint, &hitchoutcome.DispatchTracker{})
			qt.Assert(t, err, qt.IsNil)
			var tracker hitchoutcome.DispatchTracker
			_, err = client.Do(t.Context(), call, endpoint, &tracker)
			var failure *Failure
			qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
			qt.Check(t, failure.Kind, qt.Equals, FailureCut)
			qt.Check(t, tracker.Outcome(), qt.Equals, hitchoutcome.Unknown)
			qt.Check(t, arrivals.Load(), qt.Equals, int64(2))
		})
	}
}
