package hitchforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchoutcome"
)

const (
	ownHead    = "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": {id}\r\n"
	oneEvent   = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	wholeEvent = oneEvent + "data: [DONE]\n\n"
)

// serveRaw serves each request on a connection by raw bytes until respond returns false. {id} stands for
// the attempt's ID.
func serveRaw(t *testing.T, respond func(n int, r *http.Request) (response string, goesOn bool)) hitchfleet.Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for n := 1; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			response, goesOn := respond(n, r)
			_, _ = io.WriteString(c, strings.ReplaceAll(response, "{id}", r.Header.Get(AttemptHeader)))
			if !goesOn {
				return
			}
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	return hitchfleet.Endpoint{ID: "e", URL: "http://" + l.Addr().String()}
}

// streamOnce makes one attempt at a stream.
func streamOnce(t *testing.T, client *Client, e hitchfleet.Endpoint, caller *collector, tracker *hitchoutcome.DispatchTracker) error {
	s := &Stream{
		Call:    Call{Method: http.MethodPost, Path: "/x", Body: []byte("b"), Idempotent: true, Deadline: time.Now().Add(2 * time.Second)},
		Deliver: caller.deliver, OnResponse: func(*Response) {},
	}
	return client.Stream(t.Context(), s, e, tracker)
}

// TestForeignErrorDoesntLeaveStreamRunning guards against streams that go on at another engine while the
// first one still works on them: an error without an ID, which belongs to no request, says nothing of the
// stream, which is canceled (rule TWICE).
func TestForeignErrorDoesntLeaveStreamRunning(t *testing.T) {
	for _, status := range []int{400, 421, 429, 502, 503, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			canceled := make(chan string, 9)
			var second atomic.Value
			e := serveRaw(t, func(n int, r *http.Request) (string, bool) {
				if r.Method == http.MethodDelete {
					canceled <- r.URL.Path
					return ownHead + "Content-Length: 0\r\n\r\n", true
				}
				if n == 1 {
					return ownHead + "Content-Length: " + fmt.Sprint(len(wholeEvent)) + "\r\n\r\n" + wholeEvent, true
				}
				second.Store(r.Header.Get(AttemptHeader))
				return fmt.Sprintf("HTTP/1.1 %d Oops\r\nContent-Length: 0\r\n\r\n", status), true
			})
			var client Client
			var caller collector
			qt.Assert(t, streamOnce(t, &client, e, &caller, &hitchoutcome.DispatchTracker{}), qt.IsNil)
			var tracker hitchoutcome.DispatchTracker
			qt.Assert(t, streamOnce(t, &client, e, &caller, &tracker), qt.IsNotNil)
			qt.Check(t, tracker.Outcome(), qt.Equals, hitchoutcome.Unknown)
			select {
			case path := <-canceled:
				qt.Check(t, path, qt.Equals, fmt.Sprint("/v1/streams/", second.Load()))
			case <-time.After(2 * time.Second):
				t.Error("the stream goes on at its engine")
			}
		})
	}
}

// TestEngineBusyAtResumeDoesntLeaveStreamRunning is the same for an engine that breaks off and has no room when
// the stream is resumed.
func TestEngineBusyAtResumeDoesntLeaveStreamRunning(t *testing.T) {
	canceled := make(chan struct{}, 9)
	e := serveRaw(t, func(_ int, r *http.Request) (string, bool) {
		switch r.Method {
		case http.MethodDelete:
			canceled <- struct{}{}
			return ownHead + "Content-Length: 0\r\n\r\n", true
		case http.MethodGet:
			return "HTTP/1.1 503 Full\r\n" + AttemptHeader + ": {id}\r\nContent-Length: 0\r\n\r\n", true
		default:
			return ownHead + "Content-Length: 999\r\n\r\n" + oneEvent, false
		}
	})
	var client Client
	var caller collector
	qt.Assert(t, streamOnce(t, &client, e, &caller, &hitchoutcome.DispatchTracker{}), qt.IsNotNil)
	select {
	case <-canceled:
	case <-time.After(2 * time.Second):
		t.Error("the stream goes on at its engine")
	}
}

// TestClientTakesNoBrokenHeadForAnswer guards against answers of the own API that an endpoint broke off in
// the middle of their head (rules MIXED and ORDER).
func TestClientTakesNoBrokenHeadForAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"length": ownHead + "Content-Length: 12\r\n\r\n", "chunked": ownHead + "Transfer-Encoding: chunked\r\n\r\n", "unframed": ownHead + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := strings.ReplaceAll(head, "{id}", "id-of-26-characters-here-1")
			var length atomic.Int64
			e := serveRaw(t, func(int, *http.Request) (string, bool) { return head[:length.Load()], false })
			client := Client{NewAttemptID: func() string { return "id-of-26-characters-here-1" }}
			for n := range len(head) {
				length.Store(int64(n))
				var tracker hitchoutcome.DispatchTracker
				_, err := client.Do(t.Context(), Call{Method: http.MethodPost, Path: "/x"}, e, &tracker)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d bytes", n))
				var caller collector
				qt.Assert(t, streamOnce(t, &client, e, &caller, &tracker), qt.IsNotNil, qt.Commentf("%d bytes", n))
				qt.Assert(t, caller.done, qt.IsFalse)
			}
		})
	}
}

// TestErrorOfNextEngineIsNotInStream guards against streams of the own API that have begun, and hold the
// error of the engine that was to go on, or end as if they were whole (rules ORDER and MIXED).
func TestErrorOfNextEngineIsNotInStream(t *testing.T) {
	tests := map[string]string{
		"500":              "HTTP/1.1 500 Oops\r\n" + AttemptHeader + ": {id}\r\nContent-Length: 3\r\n\r\nbad",
		"404":              "HTTP/1.1 404 Not Found\r\n" + AttemptHeader + ": {id}\r\nContent-Length: 3\r\n\r\nbad",
		"503":              "HTTP/1.1 503 Full\r\n" + AttemptHeader + ": {id}\r\nContent-Length: 3\r\n\r\nbad",
		"200 with a text":  ownHead + "Content-Length: 5\r\n\r\nbad\n\n",
		"200, empty":       ownHead + "Content-Length: 0\r\n\r\n",
		"200, no frame":    ownHead + "\r\n",
		"200, other event": ownHead + "Content-Length: 14\r\n\r\ndata: error\n\n ",
	}
	for name, next := range tests {
		t.Run(name, func(t *testing.T) {
			first := serveRaw(t, func(_ int, r *http.Request) (string, bool) {
				if r.Method != http.MethodPost {
					return "HTTP/1.1 404 Gone\r\n" + AttemptHeader + ": {id}\r\nContent-Length: 0\r\n\r\n", false
				}
				return ownHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(oneEvent), oneEvent), false
			})
			other := serveRaw(t, func(int, *http.Request) (string, bool) { return next, false })
			var client Client
			var caller collector
			s := &Stream{
				Call:    Call{Method: http.MethodPost, Path: "/x", Body: []byte("b"), Idempotent: true, Deadline: time.Now().Add(2 * time.Second)},
				Deliver: caller.deliver, OnResponse: func(r *Response) { t.Errorf("the caller gets %q", r.Body) },
			}
			var tracker hitchoutcome.DispatchTracker
			qt.Assert(t, client.Stream(t.Context(), s, first, &tracker), qt.IsNotNil)
			qt.Assert(t, client.Stream(t.Context(), s, other, &tracker), qt.IsNotNil)
			qt.Check(t, caller.text.String(), qt.Equals, "a")
			qt.Check(t, caller.done, qt.IsFalse)
		})
	}
}

// TestBookingWithForeignResponseMayHaveRun guards against bookings of the own API that are held for not run, or
// get the response to another one, as what arrives isn't their endpoint's response to them.
func TestBookingWithForeignResponseMayHaveRun(t *testing.T) {
	tests := map[string]string{
		"error without an ID":      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"421 without an ID":        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"502 of a proxy":           "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 3\r\n\r\nbad",
		"error of another booking": "HTTP/1.1 503 Full\r\n" + AttemptHeader + ": other\r\nContent-Length: 0\r\n\r\n",
		"answer to another one":    "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": other\r\nContent-Length: 5\r\n\r\nother",
		"answer without an ID":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
		"nothing":                  "",
	}
	for name, foreign := range tests {
		t.Run(name, func(t *testing.T) {
			// On a connection that is kept, the foreign response comes to the second booking.
			e := serveRaw(t, func(n int, r *http.Request) (string, bool) {
				if strings.HasPrefix(r.URL.Path, "/sound") {
					return ownHead + "Content-Length: 3\r\n\r\nown", true
				}
				return foreign, foreign != ""
			})
			var client Client
			for _, path := range []string{"/sound/1", "/foreign/2", "/sound/3"} {
				var tracker hitchoutcome.DispatchTracker
				res, err := client.Do(t.Context(), Call{Method: http.MethodPost, Path: path, Body: []byte("b"), Deadline: time.Now().Add(2 * time.Second)}, e, &tracker)
				if strings.HasPrefix(path, "/sound") {
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, string(res.Body), qt.Equals, "own")
					qt.Check(t, tracker.Outcome(), qt.Equals, hitchoutcome.Ran)
					continue
				}
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, tracker.Outcome(), qt.Equals, hitchoutcome.Unknown)
			}
		})
	}
}
