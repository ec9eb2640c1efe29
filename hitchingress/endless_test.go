package hitchingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// endlessBytes is how much an endpoint without end sends at most, so that a test without
// a limit fails rather than uses up the memory.
const endlessBytes = 4 << 20

// endlessResponse is a response that starts and then repeats a unit until the connection
// is closed. It pauses before each unit unless interval is zero.
type endlessResponse struct {
	start, unit string
	interval    time.Duration
}

// startEndlessBackend starts a backend that sends an endless response to each request.
func startEndlessBackend(t *testing.T, response endlessResponse) *backend {
	b := &backend{}
	b.addr = listen(t, func(conn net.Conn) { b.sendEndless(conn, response) })
	return b
}

func (b *backend) sendEndless(conn net.Conn, response endlessResponse) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.requests.Add(1)
	if _, err := io.WriteString(conn, strings.ReplaceAll(response.start, "{id}", r.Header.Get("Id"))); err != nil {
		return
	}
	unit := []byte(response.unit)
	if response.interval == 0 {
		unit = []byte(strings.Repeat(response.unit, 1+(16<<10)/len(response.unit)))
	}
	for sent := 0; sent < endlessBytes; sent += len(unit) {
		time.Sleep(response.interval)
		if _, err := conn.Write(unit); err != nil {
			return
		}
	}
}

// allocatedBytes returns how much memory the process has allocated since its start.
func allocatedBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// checkEndless sends a request whose first endpoint sends without end. The caller must get
// the response of the second endpoint, within the time, and the first endpoint must
// count as failed, so that it doesn't get the next request.
func checkEndless(t *testing.T, route hitchroute.Route, response endlessResponse, second *backend, want string, within time.Duration) {
	first := startEndlessBackend(t, response)
	server := startGateway(t, route, first, second)
	before, sentAt := allocatedBytes(), time.Now()
	for range 2 {
		status, body, _, err := send(t, server, "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		// A comparison by quicktest would take minutes if the body is long.
		qt.Assert(t, withoutComments(body) == want, qt.IsTrue, qt.Commentf("%.200q", body))
	}
	took, allocated := time.Since(sentAt), allocatedBytes()-before
	qt.Assert(t, took < within, qt.IsTrue, qt.Commentf("%s", took))
	qt.Assert(t, allocated < maxEndlessAllocBytes, qt.IsTrue, qt.Commentf("%d bytes", allocated))
	qt.Assert(t, first.requests.Load(), qt.Equals, int64(1))
}

// withoutComments returns a body without the comments and empty lines between events.
func withoutComments(body string) string {
	var out strings.Builder
	for block := range strings.SplitAfterSeq(body, "\n\n") {
		if !isComment([]byte(block)) {
			out.WriteString(strings.TrimLeft(block, "\n"))
		}
	}
	return out.String()
}

// startStreamBackend starts a backend that sends the events after the last one that the
// caller has.
func startStreamBackend(t *testing.T) *backend {
	b := &backend{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		lastEventID := r.Header.Get("Last-Event-Id")
		b.lastEventID.Store(lastEventID)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Digest", "second")
		lastID, err := strconv.Atoi(lastEventID)
		if err != nil {
			return
		}
		blocks := strings.SplitAfter(strings.TrimSuffix(events12+events34, "\n\n"), "\n\n")
		_, _ = io.WriteString(w, strings.Join(blocks[lastID:], "")+"\n\n")
	}))
	t.Cleanup(server.Close)
	b.addr = server.Listener.Addr().String()
	return b
}

// maxEndlessAllocBytes is how much memory two requests may allocate, of which one meets an
// endless response.
const maxEndlessAllocBytes = 2 << 20

// TestEndlessRefusal covers an endpoint that refuses a request and sends a body without
// end. The request was never run, and another endpoint serves it at once.
func TestEndlessRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\n\r\n"
	tests := map[string]endlessResponse{
		"until the close": {refusal, "a", 0},
		"declared":        {"HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 1000000000\r\n\r\n", "a", 0},
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			checkEndless(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 2}, response, startBackend(t, okResponse), "ok", time.Second)
		})
	}
}

// TestSlowRefusalIsRetriedAtOnce covers an endpoint that refuses a request and sends a
// body slowly. It may be sound, but the request doesn't wait for the rest.
func TestSlowRefusalIsRetriedAtOnce(t *testing.T) {
	slow := startEndlessBackend(t, endlessResponse{"HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\n\r\n", "a", 20 * time.Millisecond})
	server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 2}, slow, startBackend(t, okResponse))
	sentAt := time.Now()
	status, body, _, err := send(t, server, "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "ok")
	took := time.Since(sentAt)
	qt.Assert(t, took < time.Second, qt.IsTrue, qt.Commentf("%s", took))
}

// TestEndlessEvents covers an endpoint that sends bytes without end in a stream, before
// its first event or after some. The stream is resumed at another endpoint, and the
// caller sees only events.
func TestEndlessEvents(t *testing.T) {
	const head = streamHead + "\r\n"
	tests := map[string]endlessResponse{
		"first event":              {head + "id: 1\ndata: ", "a", 0},
		"later event":              {head + events12 + "id: 3\ndata: ", "a", 0},
		"lines of an event":        {head + events12 + "id: 3\n", "data: a\n", 0},
		"events without an ID":     {head + events12, "data: a\n\n", 0},
		"bytes that are no events": {head + events12, "\x00\xff\n\n", 0},
		"comments":                 {head + events12, ": a\n\n", 0},
		"empty lines":              {head + events12, "\n", 0},
		"repeated event":           {head + events12, "id: 2\ndata: b\n\n", 0},
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 2, GapMilliseconds: 400}
			checkEndless(t, route, response, startStreamBackend(t), events12+events34, time.Second)
		})
	}
}

// TestSlowBytesEndInTime covers endpoints that send a byte now and then, so that some byte
// always arrives in time, and never complete a head or an event.
func TestSlowBytesEndInTime(t *testing.T) {
	const interval = 20 * time.Millisecond
	tests := map[string]endlessResponse{
		"status line":       {"HTTP/1.1 200 ", "a", interval},
		"header line":       {"HTTP/1.1 200 OK\r\nA: ", "a", interval},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "A: a\r\n", interval},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", interval},
		"first event":       {streamHead + "\r\nid: 1\ndata: ", "a", interval},
		"later event":       {streamHead + "\r\n" + events12 + "id: 3\ndata: ", "a", interval},
		"comments":          {streamHead + "\r\n" + events12, ": a\n\n", interval},
	}
	for name, response := range tests {
		t.Run(name, func(t *testing.T) {
			route := hitchroute.Route{Kind: hitchroute.Streaming, IsResumable: true, MaxAttempts: 2, GapMilliseconds: 100, ObjectiveMilliseconds: 500}
			checkEndless(t, route, response, startStreamBackend(t), events12+events34, 2*minEventTimeout)
		})
	}
}
