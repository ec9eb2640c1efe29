package hitchingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// TestErrorOfNextEndpointIsNotInStream guards against streams that have begun, break off, and hold
// the error of the endpoint that was to go on, or end as if they were whole (rules ORDER and MIXED).
// An empty response that ends with its connection is whole: see TestEndOfResumedStreamMayBeEmpty.
func TestErrorOfNextEndpointIsNotInStream(t *testing.T) {
	response := func(status, header, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
	const own, digest, text = "Id: {id}\r\n", "Digest: s\r\n", "Content-Type: text/plain\r\n"
	tests := map[string]string{
		"500":                       response("500 Oops", own+digest+text, "the engine failed\n\n"),
		"500 in the form of events": response("500 Oops", own+digest, events34),
		"500 without a digest":      response("500 Oops", own, "id: 3\ndata: error\n\n"),
		"502":                       response("502 Bad Gateway", own+digest, "bad\n"),
		"503, not run":              response("503 Full", own+"Not-Run: 1\r\n", "full\n\n"),
		"503":                       response("503 Full", own+digest, "full\n\n"),
		"404":                       response("404 Not Found", own+digest, "gone\n\n"),
		"429":                       response("429 Slow Down", own+digest, events34),
		"204":                       "HTTP/1.1 204 No Content\r\n" + own + digest + "\r\n",
		"206":                       response("206 Partial", own+digest, events34),
		"302":                       response("302 Found", own+digest+"Location: /y\r\n", "moved\n\n"),
		"200 with a text":           response("200 OK", own+digest+text, "the engine failed\n\n"),
		"200 with text at the end":  response("200 OK", own+digest, "id: 3\ndata: c\n\nthe engine failed"),
		"200 with a head inside":    response("200 OK", own+digest, "HTTP/1.1 500 Oops\r\n\r\nbad\n\n"),
		"200 of another request":    response("200 OK", "Id: other\r\n"+digest, events34),
		"200 without a digest":      response("200 OK", own, events34),
		"200 that is encoded":       response("200 OK", own+digest+"Content-Encoding: gzip\r\n", events34),
		"no response at all":        "the engine failed\r\n\r\n",
		"another protocol":          "HTTP/1.1 101 Switching Protocols\r\n" + own + digest + "\r\n" + events34,
	}
	for name, second := range tests {
		for _, isRelayed := range []bool{false, true} {
			for _, rest := range []string{"", "id: 3\ndata: c"} {
				t.Run(fmt.Sprintf("%s, relayed %t, rest %q", name, isRelayed, rest), func(t *testing.T) {
					first, other := startBackend(t, chunkedHead+chunk(events12+rest)), startBackend(t, second)
					var body string
					var err error
					if isRelayed {
						f := startRelayingFleetTo(t, hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 2, GapMilliseconds: 400}, first, other)
						_, body, _, err = send(t, f.sender, "k")
					} else {
						_, body, _, err = send(t, startGateway(t, resumableRoute, first, other), "k")
					}
					qt.Check(t, err, qt.IsNotNil) // the stream isn't whole
					qt.Check(t, strings.HasPrefix(events12+events34, body), qt.IsTrue, qt.Commentf("%q", body))
					qt.Check(t, strings.HasPrefix(body, events12), qt.IsTrue, qt.Commentf("%q", body))
					qt.Check(t, other.requests.Load(), qt.Equals, int64(1))
				})
			}
		}
	}
}

// prefixServer sends the first bytes of a response and closes the connection, by a reset if
// isReset is set.
type prefixServer struct {
	response string
	length   atomic.Int64
	isReset  atomic.Bool
}

func (s *prefixServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, s.response[:s.length.Load()])
	if s.isReset.Load() {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestHeadThatBreaksOffIsNoAnswer guards against answers that an endpoint, or an instance between, broke off
// in the middle of their head, and that callers get as a whole one with an empty or short body
// (rules MIXED and ORDER).
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\n"
	tests := map[string]struct {
		kind     hitchroute.Kind
		response string
	}{
		"length":         {hitchroute.NonIdempotent, head + "Content-Length: 12\r\n\r\n"},
		"chunked":        {hitchroute.NonIdempotent, head + "Transfer-Encoding: chunked\r\n\r\n"},
		"unframed":       {hitchroute.NonIdempotent, head + "\r\n"},
		"idempotent":     {hitchroute.Idempotent, head + "Content-Length: 0\r\n\r\n"},
		"stream":         {hitchroute.Streaming, head + "Transfer-Encoding: chunked\r\n\r\n"},
		"after a 103":    {hitchroute.NonIdempotent, "HTTP/1.1 103 Early Hints\r\nId: {id}\r\nDigest: s\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"},
		"two line feeds": {hitchroute.NonIdempotent, "HTTP/1.1 200 OK\nId: {id}\nDigest: s\nContent-Length: 10\n\n"},
	}
	for name, test := range tests {
		for _, isRelayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, isRelayed), func(t *testing.T) {
				t.Parallel()
				s := &prefixServer{response: strings.ReplaceAll(test.response, "{id}", "id-1")}
				addr := listen(t, s.handle)
				server := startGateway(t, hitchroute.Route{Kind: test.kind, MaxAttempts: 1}, &backend{addr: addr})
				if isRelayed {
					cutOff(t, server.Config.Handler.(*Gateway), hitchfleet.Instance{ID: "other", PeerAddr: addr})
				}
				for length := range len(s.response) {
					for _, isReset := range []bool{false, true} {
						s.length.Store(int64(length))
						s.isReset.Store(isReset)
						status, body, _, err := send(t, server, "k")
						qt.Assert(t, err == nil && status < http.StatusInternalServerError, qt.IsFalse, qt.Commentf("%d bytes, reset %t: %d %q", length, isReset, status, body))
					}
				}
			})
		}
	}
}
