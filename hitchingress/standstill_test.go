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
)

// standstill is a step of an exchange at which an endpoint stands still and goes on.
type standstill int

const (
	// beforeAccept is before the connection is accepted: the kernel takes it and the request.
	beforeAccept standstill = iota
	beforeRead
	// beforeRun is after the request was read, and afterRun after it ran.
	beforeRun
	afterRun
	inHead
	inBody
	afterResponse
	standstills
)

// pausedServer stands still at a step of each request whose ID isn't id-0.
type pausedServer struct {
	*runCounter
	at     standstill
	length time.Duration
	// response is what it sends; {id} stands for the request's ID.
	response string
}

func (s pausedServer) pauseAt(step standstill, id string) {
	if step == s.at && id != "id-0" {
		time.Sleep(s.length)
	}
}

// start starts the server and returns its address.
func (s pausedServer) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			if s.at == beforeAccept {
				time.Sleep(s.length)
			}
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(conn)
		}
	}()
	return l.Addr().String()
}

func (s pausedServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		s.pauseAt(beforeRead, "")
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		s.pauseAt(beforeRun, id)
		s.add(id)
		s.pauseAt(afterRun, id)
		response := strings.ReplaceAll(s.response, "{id}", id)
		head := strings.Index(response, "\r\n\r\n")
		for _, part := range []struct {
			text string
			then standstill
		}{{response[:head/2], inHead}, {response[head/2 : head+5], inBody}, {response[head+5:], afterResponse}} {
			if _, err := io.WriteString(conn, part.text); err != nil {
				return
			}
			s.pauseAt(part.then, id)
		}
	}
}

// TestEndpointThatStandsStillRunsRequestOnce guards against second runs of requests whose endpoint stands still
// at any step and goes on, in time or when its request was given up (rule TWICE). A caller is never told
// that such a request hasn't run.
func TestEndpointThatStandsStillRunsRequestOnce(t *testing.T) {
	const timeout = 700
	plain := "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nContent-Length: 4\r\n\r\n{id}"
	stream := chunkedHead + chunk(events12) + chunkedEnd
	for step := range standstills {
		for _, length := range []time.Duration{300 * time.Millisecond, 1100 * time.Millisecond} {
			for name, route := range map[string]hitchroute.Route{
				"payment":     {Kind: hitchroute.NonIdempotent, MaxAttempts: 3, ObjectiveMilliseconds: 100},
				"stream once": {Kind: hitchroute.Streaming, MaxAttempts: 3, GapMilliseconds: 100, ObjectiveMilliseconds: 100},
			} {
				t.Run(fmt.Sprintf("%s, step %d, %s", name, step, length), func(t *testing.T) {
					t.Parallel()
					route.TimeoutMilliseconds = timeout
					s := pausedServer{runCounter: &runCounter{}, at: step, length: length, response: plain}
					if route.Kind == hitchroute.Streaming {
						s.response = stream
					}
					sound := s
					sound.at = standstills
					server := startGateway(t, route, &backend{addr: s.start(t)}, &backend{addr: sound.start(t)}, &backend{addr: sound.start(t)})
					for n := range 12 { // the usual wait is known then
						if step >= beforeRun {
							_, _, _, err := sendWith(t, server, map[string]string{"Id": "id-0", "Key": "k", "N": fmt.Sprint(n)})
							qt.Assert(t, err, qt.IsNil)
						}
					}
					for n := range 3 {
						id := fmt.Sprint("id-", n+1)
						status, _, _, err := sendWith(t, server, map[string]string{"Id": id, "Key": "k"})
						qt.Check(t, err == nil || route.Kind == hitchroute.Streaming, qt.IsTrue)
						qt.Check(t, promisesNotRun(status), qt.IsFalse, qt.Commentf("%s: %d", id, status))
					}
					time.Sleep(4 * length) // what was given up may still run
					for n := range 3 {
						id := fmt.Sprint("id-", n+1)
						qt.Check(t, s.of(id) <= 1, qt.IsTrue, qt.Commentf("%s", id))
					}
				})
			}
		}
	}
}
