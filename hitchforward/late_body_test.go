package hitchforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestEndpointReadsBodyLate covers a sound endpoint that stops reading for more than a second in
// the middle of a long body, so that its receive window is full, and then reads on and
// responds. Its machine acknowledges everything all the while.
func TestEndpointReadsBodyLate(t *testing.T) {
	const pauseTime = 2500 * time.Millisecond
	const head, body = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok"
	tests := map[string]struct {
		size int
		// early is what it sends before it reads the body, and late what it sends after that.
		early, late string
	}{
		"short":                    {4 << 10, "", head + body},
		"long":                     {4 << 20, "", head + body},
		"above the receive window": {128 << 10, "", head + body},
		"responds before that":     {4 << 20, head + "o", "k"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, test.early)
				<-time.After(pauseTime)
				if n, _ := io.Copy(io.Discard, r.Body); n == int64(test.size) {
					_, _ = io.WriteString(c, test.late)
				}
			}()
			var pool ConnPool
			var tracker hitchoutcome.DispatchTracker
			request := Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, test.size)}
			x, err := pool.Open(context.Background(), l.Addr().String(), request, time.Now().Add(10*time.Second), &tracker)
			qt.Assert(t, err, qt.IsNil)
			defer x.Close()
			got, err := x.ReadAll(10)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, body)
		})
	}
}
