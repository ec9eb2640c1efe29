package hitchingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// earlyServer answers a long request before it has read the body, with a response whose end is that of
// its connection.
type earlyServer struct {
	head, body string
	// end ends the connection while the body is still being written.
	end func(c *net.TCPConn)
}

func (s earlyServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(s.head+s.body, "{id}", r.Header.Get("Id")))
		if r.ContentLength > earlyUploadBytes/2 {
			s.end(conn.(*net.TCPConn))
			return
		}
	}
}

// earlyUploadBytes is the size of a body that the kernel doesn't take whole.
const earlyUploadBytes = 4 << 20

func resetAtOnce(c *net.TCPConn) {
	time.Sleep(2 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// endAndReadSlowly ends the response, and reads the rest of the request later.
func endAndReadSlowly(c *net.TCPConn) {
	_ = c.CloseWrite()
	b := make([]byte, 256<<10)
	for {
		time.Sleep(5 * time.Millisecond)
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

// uploadTo sends a long request and returns its status and body, or an error if the response isn't whole.
func uploadTo(t *testing.T, server *httptest.Server, id string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, server.URL+"/x", strings.NewReader(strings.Repeat("x", earlyUploadBytes)))
	qt.Assert(t, err, qt.IsNil)
	r.Host, r.Header = "h.example", http.Header{"Id": {id}, "Key": {"k"}}
	res, err := server.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// TestPartBeforeResetIsNoWholeAnswer guards against callers that get a part of a response as a whole one: the endpoint
// answers a long request at once without a length, and resets the connection while the request is still
// written (rule MIXED). One that answers early, ends its side and reads on keeps its answer.
func TestPartBeforeResetIsNoWholeAnswer(t *testing.T) {
	const fields = "Id: {id}\r\nDigest: s\r\n\r\n"
	responses := map[string]struct {
		kind       hitchroute.Kind
		head, body string
	}{
		"plain":    {hitchroute.NonIdempotent, "HTTP/1.1 200 OK\r\n" + fields, "a part"},
		"HTTP/1.0": {hitchroute.NonIdempotent, "HTTP/1.0 200 OK\r\n" + fields, "a part"},
		"stream":   {hitchroute.Streaming, "HTTP/1.1 200 OK\r\n" + fields, events12},
	}
	ends := map[string]struct {
		end     func(c *net.TCPConn)
		isWhole bool
	}{
		"reset":             {resetAtOnce, false},
		"ended and read on": {endAndReadSlowly, true},
	}
	for responseName, response := range responses {
		for endName, end := range ends {
			for _, isRelayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, relayed %t", responseName, endName, isRelayed), func(t *testing.T) {
					s := earlyServer{head: response.head, body: response.body, end: end.end}
					route := hitchroute.Route{Kind: response.kind, MaxAttempts: 1}
					backend := &backend{addr: listen(t, s.handle)}
					server := startGateway(t, route, backend)
					if isRelayed {
						server = startRelayingFleetTo(t, route, backend).sender
					}
					for n := range 10 {
						status, body, err := uploadTo(t, server, fmt.Sprint("id-", n))
						isWhole := err == nil && status == http.StatusOK
						qt.Check(t, isWhole, qt.Equals, end.isWhole, qt.Commentf("status %d, %q, %v", status, body, err))
						if isWhole {
							qt.Check(t, body, qt.Equals, response.body)
						}
					}
				})
			}
		}
	}
}
