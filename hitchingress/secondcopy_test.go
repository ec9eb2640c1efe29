package hitchingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchroute"
)

// copyingServer responds to the first request of each connection, and sends a second copy of
// that response later. The text {id} is replaced by the request's ID.
type copyingServer struct {
	addr string
	// first is the response to the first request of a connection. While isIdle is set its copy
	// follows at once, otherwise once the next request has been read.
	first  string
	isIdle bool
	// runs are the number of requests after the first one, each of which is run and answered by
	// its ID.
	runs atomic.Int64
}

func (s *copyingServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	first := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		switch {
		case id == "id-1":
			first = strings.ReplaceAll(s.first, "{id}", id)
			_, _ = io.WriteString(conn, first)
			if !s.isIdle {
				continue
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, first)
		default:
			s.runs.Add(1)
			if !s.isIdle {
				_, _ = io.WriteString(conn, first)
			}
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nDigest: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
			_, _ = io.WriteString(conn, own)
		}
	}
}

// startCopyingServer starts such a server.
func startCopyingServer(t *testing.T, first string, isIdle bool) *copyingServer {
	s := &copyingServer{first: first, isIdle: isIdle}
	s.addr = listen(t, s.handle)
	return s
}

// cutOff makes a gateway find that it is cut off from endpoints, which other instances reach.
func cutOff(t *testing.T, g *Gateway, relays ...hitchfleet.Instance) {
	g.Protocol.EncodeRelay = func(h http.Header, info RelayInfo) {
		h.Set("Key", info.Key)
		h.Set("Last-Event-Id", fmt.Sprint(info.LastEventID))
	}
	g.Path.Ask = func(context.Context, hitchfleet.Endpoint) hitchpath.Evidence { return hitchpath.Unreached }
	g.Path.Endpoints = func() []hitchfleet.Endpoint { return []hitchfleet.Endpoint{{}} }
	g.Path.Confirm = func(context.Context, bool) []hitchfleet.Instance { return relays }
	g.Path.RecordFailure(time.Now())
	for begun := time.Now(); g.Path.State(time.Now()) != hitchpath.CutOff; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Since(begun) < 5*time.Second, qt.IsTrue)
	}
}

// checkSecondCaller sends a first request and then others. None of these may get the first
// one's response, or be told that it wasn't run if it was.
func (s *copyingServer) checkSecondCaller(t *testing.T, server *httptest.Server) {
	_, _, _, err := sendWith(t, server, map[string]string{"Id": "id-1", "Key": "k"})
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(40 * time.Millisecond)
	for n := 2; n < 4; n++ {
		id, runs := fmt.Sprint("id-", n), s.runs.Load()
		status, body, _, err := sendWith(t, server, map[string]string{"Id": id, "Key": "k"})
		qt.Assert(t, err, qt.IsNil)
		switch status {
		case http.StatusOK:
			qt.Check(t, body, qt.Equals, id)
		case http.StatusServiceUnavailable:
			qt.Check(t, s.runs.Load(), qt.Equals, runs, qt.Commentf("%s", body))
		default:
			qt.Check(t, status, qt.Equals, http.StatusBadGateway)
		}
	}
}

// TestSecondCopyOfResponse covers an endpoint, or an instance that relays requests, that sends
// a second copy of a response on a connection that is idle or in use by the next request.
func TestSecondCopyOfResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nContent-Length: 5\r\n\r\nfirst"
	tests := map[string]struct {
		kind    hitchroute.Kind
		first   string
		isRelay bool
	}{
		"answer":                       {hitchroute.NonIdempotent, ok, false},
		"answer, idempotent":           {hitchroute.Idempotent, ok, false},
		"stream":                       {hitchroute.Streaming, "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events12) + chunkedEnd, false},
		"refusal":                      {hitchroute.NonIdempotent, "HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		"refusal without an ID":        {hitchroute.NonIdempotent, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		"error":                        {hitchroute.Idempotent, "HTTP/1.1 500 Oops\r\nId: {id}\r\nDigest: s\r\nContent-Length: 5\r\n\r\nfirst", false},
		"answer of a relay":            {hitchroute.NonIdempotent, ok, true},
		"refusal of a relay":           {hitchroute.NonIdempotent, "HTTP/1.1 503 Refused\r\n" + headerRefusal + ": Overloaded\r\n" + headerOutcome + ": NotRun\r\nContent-Length: 0\r\n\r\n", true},
		"refusal of a relay that left": {hitchroute.NonIdempotent, "HTTP/1.1 503 Refused\r\n" + headerRefusal + ": Leaving\r\n" + headerOutcome + ": NotRun\r\nContent-Length: 0\r\n\r\n", true},
	}
	for name, test := range tests {
		for _, isIdle := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idle %t", name, isIdle), func(t *testing.T) {
				s := startCopyingServer(t, test.first, isIdle)
				route := hitchroute.Route{Kind: test.kind, MaxAttempts: 1, TimeoutMilliseconds: 2000}
				server := startGateway(t, route, &backend{addr: s.addr})
				if test.isRelay {
					cutOff(t, server.Config.Handler.(*Gateway), hitchfleet.Instance{ID: "other", PeerAddr: s.addr})
				}
				s.checkSecondCaller(t, server)
			})
		}
	}
}
