package hitchingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchroute"
)

// startHangingBackend starts a backend that sends a part of a response and then
// nothing. The returned channel receives a value for each request.
func startHangingBackend(t *testing.T, part string) (*backend, <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(part, "{id}", r.Header.Get("Id")))
				received <- struct{}{}
			}()
		}
	}()
	return &backend{addr: listener.Addr().String()}, received
}

// startRequest sends a request and returns the response before its body is read.
func startRequest(t *testing.T, server *httptest.Server) (*http.Response, error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	r.Host = "h.example"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	return server.Client().Do(r)
}

// TestRequestsCutByShutdownGetResponse covers requests whose endpoint hangs until the
// end of a shutdown: only a stream that has begun may end without a final response.
func TestRequestsCutByShutdownGetResponse(t *testing.T) {
	tests := map[string]struct {
		kind   hitchroute.Kind
		part   string
		status int
		isCut  bool
	}{
		"booking without a response":     {hitchroute.NonIdempotent, "", http.StatusBadGateway, false},
		"lookup without a response":      {hitchroute.Idempotent, "", http.StatusBadGateway, false},
		"lookup with a part of the body": {hitchroute.Idempotent, "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nContent-Length: 9\r\n\r\nno", http.StatusBadGateway, false},
		"stream without an event":        {hitchroute.Streaming, "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\n\r\n", http.StatusBadGateway, false},
		"stream with an event":           {hitchroute.Streaming, "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\n\r\nid: 1\ndata: x\n\n", http.StatusOK, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hanging, received := startHangingBackend(t, test.part)
			server := startGateway(t, hitchroute.Route{Kind: test.kind, MaxAttempts: 1}, hanging)
			g := server.Config.Handler.(*Gateway)
			go func() {
				<-received
				if !test.isCut {
					g.EndRequests()
				}
			}()
			res, err := startRequest(t, server)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, res.StatusCode, qt.Equals, test.status)
			if test.isCut { // the caller has received the header, so that the stream has begun
				g.EndRequests()
			}
			_, err = io.ReadAll(res.Body)
			qt.Assert(t, res.Body.Close(), qt.IsNil)
			qt.Assert(t, err != nil, qt.Equals, test.isCut, qt.Commentf("%v", err))
		})
	}
}

// TestRequestAfterTheEndIsRefusedAsNotRun covers requests that are still read once the
// instance has ended its requests.
func TestRequestAfterTheEndIsRefusedAsNotRun(t *testing.T) {
	endpoint := startBackend(t, okResponse)
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, endpoint)
	server.Config.Handler.(*Gateway).EndRequests()
	status, _, header, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, header.Get("Retry-After"), qt.Equals, "0.000")
	qt.Assert(t, endpoint.requests.Load(), qt.Equals, int64(0))
}

// TestWaitingRequestIsRefusedAsNotRunAtShutdown covers a request that waits for the
// first configuration when the shutdown ends.
func TestWaitingRequestIsRefusedAsNotRunAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{Protocol: protocol, Balancer: &hitchbalance.Balancer{}, Log: hclog.NewNullLogger(), Metrics: &Metrics{}, StartedAt: time.Now()}
		time.AfterFunc(maxStartWait/2, g.EndRequests)
		start := time.Now()
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
		qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, time.Since(start), qt.Equals, maxStartWait/2)
	})
}

// TestStreamThatBeginsLateInShutdownIsRefused covers callers who arrive while an
// instance shuts down: what may outlast the shutdown is refused as not run.
func TestStreamThatBeginsLateInShutdownIsRefused(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		drain  Drain
		status int
	}{
		"early":              {Drain{LateFrom: now.Add(time.Minute), End: now.Add(2 * time.Minute)}, http.StatusOK},
		"late":               {Drain{LateFrom: now, End: now.Add(4 * time.Second)}, http.StatusServiceUnavailable},
		"late, ends in time": {Drain{LateFrom: now, End: now.Add(6 * time.Second)}, http.StatusOK},
		"no end known":       {Drain{}, http.StatusOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoint := startBackend(t, okResponse)
			server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1, TimeoutMilliseconds: 5000}, endpoint)
			server.Config.Handler.(*Gateway).StartDraining(test.drain)
			status, _, header, err := send(t, server, "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, test.status)
			if status == http.StatusServiceUnavailable {
				qt.Assert(t, header.Get("Retry-After"), qt.Equals, "0.000")
				qt.Assert(t, endpoint.requests.Load(), qt.Equals, int64(0))
			}
		})
	}
}
