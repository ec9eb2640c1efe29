package hitchingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// TestLongBodiesShareMemory guards against callers whose long bodies together use up the
// memory of the instance: those beyond the limit are refused as not run, and short ones pass.
func TestLongBodiesShareMemory(t *testing.T) {
	t.Parallel()
	endpoint := startBackend(t, okResponse)
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.Idempotent}, endpoint)
	g := server.Config.Handler.(*Gateway)
	g.Bodies.Bytes = 1 << 20
	const size = 600 << 10
	first, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = first.Close() }()
	_, err = fmt.Fprintf(first, "POST /x HTTP/1.1\r\nHost: h.example\r\nId: id-2\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	qt.Assert(t, err, qt.IsNil)
	for g.Bodies.Used() < size {
		time.Sleep(time.Millisecond)
	}
	post := func(size int) int {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(strings.Repeat("x", size)))
		qt.Assert(t, err, qt.IsNil)
		r.Host, r.Header = "h.example", http.Header{"Id": {"id-1"}, "Key": {"k"}}
		res, err := server.Client().Do(r)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = res.Body.Close() }()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode
	}
	qt.Assert(t, post(size), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, post(1<<10), qt.Equals, http.StatusOK)
	_, err = io.WriteString(first, "x")
	qt.Assert(t, err, qt.IsNil)
	for endpoint.requests.Load() < 2 || g.Bodies.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, post(size), qt.Equals, http.StatusOK)
}

// TestBodyThatStopsArrivingIsRefused guards against callers that never finish their bodies:
// each would hold a part of the memory until it disconnects.
func TestBodyThatStopsArrivingIsRefused(t *testing.T) {
	t.Parallel()
	endpoint := startBackend(t, okResponse)
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.Idempotent, TimeoutMilliseconds: 300}, endpoint)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\nContent-Length: 10\r\n\r\nhalf")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	buf := make([]byte, 256)
	n, err := conn.Read(buf)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buf[:n]), qt.Contains, "503")
	qt.Assert(t, endpoint.requests.Load(), qt.Equals, int64(0))
}
