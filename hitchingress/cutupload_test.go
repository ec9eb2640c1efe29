package hitchingress

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// TestUploadThatBreaksOffIsNotPassedOn guards against a part of a caller's request that passes for the whole one, as its
// connection ends without an error (rule UNASKED).
func TestUploadThatBreaksOffIsNotPassedOn(t *testing.T) {
	const body = "hello world"
	uploads := map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:5]) + chunk(body[5:]) + chunkedEnd,
	}
	ends := map[string]func(c *net.TCPConn){
		"ended":  func(c *net.TCPConn) { _ = c.CloseWrite() },
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	}
	for uploadName, upload := range uploads {
		for endName, end := range ends {
			t.Run(uploadName+", "+endName, func(t *testing.T) {
				t.Parallel()
				endpoint := startBackend(t, okResponse)
				server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, endpoint)
				send := func(length int) net.Conn {
					conn, err := net.Dial("tcp", server.Listener.Addr().String())
					qt.Assert(t, err, qt.IsNil)
					_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\n"+upload[:length])
					qt.Assert(t, err, qt.IsNil)
					return conn
				}
				for length := strings.Index(upload, "\r\n\r\n") + 4; length < len(upload); length++ {
					conn := send(length)
					end(conn.(*net.TCPConn))
					defer func() { _ = conn.Close() }()
					if endName == "ended" { // the caller still reads
						b := make([]byte, len("HTTP/1.1 400"))
						_, err := io.ReadFull(conn, b)
						qt.Assert(t, err, qt.IsNil)
						qt.Assert(t, string(b), qt.Equals, "HTTP/1.1 400")
					}
				}
				time.Sleep(100 * time.Millisecond)
				qt.Assert(t, endpoint.requests.Load(), qt.Equals, int64(0))
				whole := send(len(upload)) // the same request is passed on if it is whole
				defer func() { _ = whole.Close() }()
				_, err := whole.Read(make([]byte, 16))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, endpoint.requests.Load(), qt.Equals, int64(1))
			})
		}
	}
}
