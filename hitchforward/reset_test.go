package hitchforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestAbandonedRequestsAreReset guards against requests that reach an endpoint seconds after they were
// given up: what the kernel holds for a path that is cut is sent at its end, unless the connection is
// reset (rules BUDGET and DRAIN).
func TestAbandonedRequestsAreReset(t *testing.T) {
	tests := map[string]struct{ response string }{
		"before the response": {""},
		"in the response":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno"},
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
			var pool ConnPool
			request := Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("body")}
			x, err := pool.Open(ctx, l.Addr().String(), request, time.Now().Add(5*time.Second), &hitchoutcome.DispatchTracker{})
			if err == nil {
				x.Close()
			}
			qt.Assert(t, <-ended, qt.ErrorIs, syscall.ECONNRESET)
		})
	}
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
