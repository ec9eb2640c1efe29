package hitchingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchserver"
)

// startEventServer starts an endpoint that sends n events of 8 KB each, and reports when its
// connection has failed or all events are sent.
func startEventServer(t *testing.T, n int) (_ *backend, ended <-chan error) {
	done := make(chan error, 8)
	b := &backend{}
	b.addr = listen(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		_, err := http.ReadRequest(bufio.NewReader(conn))
		qt.Check(t, err, qt.IsNil)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nId: id-1\r\nDigest: s\r\nContent-Type: text/event-stream\r\n\r\n")
		for id := 1; id <= n && err == nil; id++ {
			_, err = fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 8<<10))
		}
		done <- err
	})
	return b, done
}

// startCallerServer starts a gateway in front of an endpoint, with the small send buffers of
// an instance, and returns its address.
func startCallerServer(t *testing.T, endpoint *backend) (addr string) {
	return startCallerServerOf(t, hitchroute.Streaming, endpoint)
}

// startCallerServerOf is startCallerServer for a route of a kind.
func startCallerServerOf(t *testing.T, kind hitchroute.Kind, endpoint *backend) (addr string) {
	gateway := startGateway(t, hitchroute.Route{Kind: kind, TimeoutMilliseconds: 60_000}, endpoint)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &hitchserver.Server{HTTP: http.Server{Handler: gateway.Config.Handler}, SendBufferBytes: 32 << 10}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// callSlowly sends a request over a connection with a small receive buffer, and returns it
// without having read the response.
func callSlowly(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// TestStalledCallerIsDisconnected guards against callers that stop reading and keep their
// connections: each would hold a stream at an endpoint, and memory here, until its timeout.
func TestStalledCallerIsDisconnected(t *testing.T) {
	t.Parallel()
	endpoint, ended := startEventServer(t, 4<<10)
	addr := startCallerServer(t, endpoint)
	startedAt := time.Now()
	callSlowly(t, addr)
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("all events were taken although nobody read them"))
		qt.Assert(t, time.Since(startedAt) >= callerReadTimeout, qt.IsTrue)
	case <-time.After(3 * callerReadTimeout):
		t.Fatal("the endpoint still holds the stream")
	}
}

// TestSlowCallerGetsItsWholeStream guards against a limit that also cuts off callers that
// read slowly but steadily, for longer than the limit.
func TestSlowCallerGetsItsWholeStream(t *testing.T) {
	t.Parallel()
	const events = 64
	endpoint, _ := startEventServer(t, events)
	conn := callSlowly(t, startCallerServer(t, endpoint))
	startedAt, size := time.Now(), 0
	buf := make([]byte, 32<<10)
	text := ""
	for !strings.HasSuffix(text, "0\r\n\r\n") {
		qt.Assert(t, conn.SetReadDeadline(time.Now().Add(2*callerReadTimeout)), qt.IsNil)
		n, err := conn.Read(buf)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("after %d bytes, %s", size, time.Since(startedAt)))
		size, text = size+n, string(buf[:n])
		if size < 256<<10 {
			time.Sleep(time.Duration(n) * callerReadTimeout * 2 / (256 << 10))
		}
	}
	qt.Assert(t, size > events<<13, qt.IsTrue)
	qt.Assert(t, time.Since(startedAt) > callerReadTimeout, qt.IsTrue, qt.Commentf("too fast to show it"))
}

// TestConnectionServesRequestsAfterSlowOne guards against the write deadline of one response
// that ends the next one on the same connection.
func TestConnectionServesRequestsAfterSlowOne(t *testing.T) {
	t.Parallel()
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.Idempotent}, startBackend(t, okResponse))
	status, _, _, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	time.Sleep(callerReadTimeout + 100*time.Millisecond)
	status, body, _, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "ok")
}
