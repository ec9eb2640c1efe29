package hitchingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// callWithoutChunks sends a request by HTTP/1.0, which has no chunks: the end of a stream is that of its connection.
func callWithoutChunks(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	_, err = io.WriteString(conn, "GET /x HTTP/1.0\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// TestCallerWithoutChunksSeesBrokenStream guards against parts of streams that callers of HTTP/1.0 take for whole ones, as
// the instance ends their connection as after a whole stream (rules MIXED and ORDER).
func TestCallerWithoutChunksSeesBrokenStream(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		response string
		want     error
	}{
		"broken off": {chunkedHead + chunk(events12), syscall.ECONNRESET},
		"whole":      {chunkedHead + chunk(events12) + chunkedEnd, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			addr := startCallerServer(t, startBackend(t, test.response))
			got, err := io.ReadAll(callWithoutChunks(t, addr))
			qt.Check(t, err, qt.ErrorIs, test.want)
			_, body, _ := strings.Cut(string(got), "\r\n\r\n")
			qt.Check(t, body, qt.Equals, events12)
		})
	}
	t.Run("caller stalls", func(t *testing.T) {
		endpoint, ended := startEventServer(t, 4<<10)
		conn := callWithoutChunks(t, startCallerServer(t, endpoint))
		qt.Check(t, <-ended, qt.IsNotNil)
		time.Sleep(100 * time.Millisecond) // the instance ends the connection
		_, err := io.ReadAll(conn)
		qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
	})
}

// TestPlainResponseHasLength guards against parts of plain responses that pass for whole ones, as neither the endpoint
// nor the instance says how long they are (rule MIXED).
func TestPlainResponseHasLength(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	addr := startCallerServerOf(t, hitchroute.NonIdempotent, startBackend(t, "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nConnection: close\r\n\r\n"+body))
	for _, call := range []func(*testing.T, string) net.Conn{callWithoutChunks, callSlowly} {
		res, err := http.ReadResponse(bufio.NewReader(call(t, addr)), nil)
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(res.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, res.ContentLength, qt.Equals, int64(len(body)))
		qt.Check(t, string(got) == body, qt.IsTrue)
	}
}
