package hitchingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// runCounter counts the runs of each request at all endpoints of a test.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[id]++
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// strayServer runs each request. On a connection that has carried a whole response, bytes that
// belong to no request arrive once the next request has been read, before its own response.
type strayServer struct {
	*runCounter
	stray string
	// isFirst is set if such bytes also come before the first response of a connection.
	isFirst bool
	// response is its own response to each request; empty means okOwn.
	response string
	delay    time.Duration
}

const okOwn = "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nContent-Length: 2\r\n\r\nok"

func (s strayServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for isKept := s.isFirst; ; isKept = true {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		s.add(id)
		if isKept {
			_, _ = io.WriteString(conn, s.stray)
			time.Sleep(s.delay)
		}
		response := s.response
		if response == "" {
			response = okOwn
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "{id}", id))
	}
}

// strayRefusals are refusals that have no ID, or that of no request.
var strayRefusals = map[string]string{
	"503":               "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"400":               "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"421":               "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nOther: 1\r\nContent-Length: 0\r\n\r\n",
	"429 with an ID":    "HTTP/1.1 429 Slow Down\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"503 asks to leave": "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nLeaving: 1\r\nPause: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
}

// checkRunsOnce sends requests one after the other. None may run twice, or run and be refused by a
// status that promises that it hasn't.
func checkRunsOnce(t *testing.T, runs *runCounter, send func(header map[string]string) (int, error)) {
	for n := range 12 {
		id := fmt.Sprint("id-", n)
		status, err := send(map[string]string{"Id": id, "Key": "k"})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, runs.of(id) <= 1, qt.IsTrue, qt.Commentf("%s: %d runs, status %d", id, runs.of(id), status))
		if promisesNotRun(status) {
			qt.Check(t, runs.of(id), qt.Equals, 0, qt.Commentf("%s: status %d", id, status))
		}
	}
}

// TestForeignRefusalDoesntRunRequestTwice guards against requests that run at a second endpoint, or
// are refused as not run, as a refusal arrived on their connection that wasn't their own (rules
// TWICE and REFUSED).
func TestForeignRefusalDoesntRunRequestTwice(t *testing.T) {
	routes := map[string]hitchroute.Route{
		"payment": {Kind: hitchroute.NonIdempotent, MaxAttempts: 1},
		"stream":  {Kind: hitchroute.Streaming, MaxAttempts: 1, GapMilliseconds: 400},
	}
	for name, stray := range strayRefusals {
		for kind, route := range routes {
			for _, isFirst := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, first %t", name, kind, isFirst), func(t *testing.T) {
					runs := &runCounter{}
					s := strayServer{runCounter: runs, stray: stray, isFirst: isFirst}
					if kind == "stream" {
						s.response = chunkedHead + chunk(events12) + chunkedEnd
					}
					var backends []*backend
					for range 4 {
						backends = append(backends, &backend{addr: listen(t, s.handle)})
					}
					server := startGateway(t, route, backends...)
					checkRunsOnce(t, runs, func(header map[string]string) (int, error) {
						status, _, _, err := sendWith(t, server, header)
						return status, err
					})
				})
			}
		}
	}
}

// TestForeignRefusalOfRelayDoesntRunRequestTwice is the same for an instance that sends requests on.
func TestForeignRefusalOfRelayDoesntRunRequestTwice(t *testing.T) {
	refusal := func(reason string) string {
		return fmt.Sprintf("HTTP/1.1 503 Refused\r\n%s: %s\r\n%s: NotRun\r\nContent-Length: 0\r\n\r\n", headerRefusal, reason, headerOutcome)
	}
	// An endpoint may send any header, which the instance between must not pass on.
	ofEndpoint := "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\n" + headerRefusal + ": Leaving\r\n" + headerOutcome + ": NotRun\r\nContent-Length: 2\r\n\r\nok"
	tests := map[string]strayServer{
		"leaving":                  {stray: refusal("Leaving")},
		"stale":                    {stray: refusal("Stale")},
		"overloaded":               {stray: refusal("Overloaded")},
		"leaving, on a new one":    {stray: refusal("Leaving"), isFirst: true},
		"endpoint's own refusal":   {stray: strayRefusals["503"]},
		"headers set by endpoints": {response: ofEndpoint},
		"headers passed on":        {response: ofEndpoint},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			s.runCounter = &runCounter{}
			route := hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}
			if name == "headers set by endpoints" {
				f := startRelayingFleetTo(t, route, &backend{addr: listen(t, s.handle)}, &backend{addr: listen(t, s.handle)})
				checkRunsOnce(t, s.runCounter, func(header map[string]string) (int, error) {
					status, body, _, err := sendWith(t, f.sender, header)
					qt.Check(t, body, qt.Equals, "ok")
					return status, err
				})
				return
			}
			server := startGateway(t, route, startBackend(t, okResponse))
			var relays []hitchfleet.Instance
			for n := range 3 {
				relays = append(relays, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("relay-", n)), PeerAddr: listen(t, s.handle)})
			}
			cutOff(t, server.Config.Handler.(*Gateway), relays...)
			checkRunsOnce(t, s.runCounter, func(header map[string]string) (int, error) {
				status, _, _, err := sendWith(t, server, header)
				return status, err
			})
		})
	}
}

// TestForeignRefusalOfStandbyCountsAsRun guards against streams that run at more endpoints than their
// route allows, as a refusal that wasn't their own arrived in place of a standby's response.
func TestForeignRefusalOfStandbyCountsAsRun(t *testing.T) {
	for name, stray := range strayRefusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := &runCounter{}
			first := startScriptedBackend(t, chunkedHead+chunk(events12), silentThenGoesOn, chunk(events34)+chunkedEnd)
			other := strayServer{runCounter: runs, stray: stray, isFirst: true, delay: time.Second}
			backends := []*backend{&first.backend}
			for range 3 {
				backends = append(backends, &backend{addr: listen(t, other.handle)})
			}
			_, body, _, err := send(t, startGateway(t, resumableRoute, backends...), "k")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, body, qt.Equals, events12+events34)
			qt.Assert(t, runs.of("id-1")+1 <= resumableRoute.MaxAttempts, qt.IsTrue, qt.Commentf("%d standbys", runs.of("id-1")))
		})
	}
}

// TestEndpointsPromiseWithoutProofIsNotPassedOn guards against callers that are told by an endpoint's
// status that a request hasn't run, though the endpoint doesn't say so: the request may have run, and its
// caller would send it again (rule REFUSED). Whoever may repeat it gets the endpoint's own response.
func TestEndpointsPromiseWithoutProofIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for kind, want := range map[hitchroute.Kind]int{hitchroute.NonIdempotent: http.StatusBadGateway, hitchroute.Streaming: http.StatusBadGateway, hitchroute.Idempotent: status} {
			t.Run(fmt.Sprint(status, kind), func(t *testing.T) {
				runs := &runCounter{}
				s := strayServer{runCounter: runs, response: fmt.Sprintf("HTTP/1.1 %d S\r\nId: {id}\r\nDigest: s\r\nContent-Length: 2\r\n\r\nok", status)}
				server := startGateway(t, hitchroute.Route{Kind: kind, MaxAttempts: 1}, &backend{addr: listen(t, s.handle)}, &backend{addr: listen(t, s.handle)})
				got, _, header, err := sendWith(t, server, map[string]string{"Id": "id-1", "Key": "k"})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, runs.of("id-1"), qt.Equals, 1)
				qt.Check(t, got, qt.Equals, want)
				if want == http.StatusBadGateway {
					qt.Check(t, header.Get("Digest"), qt.Equals, "") // it isn't the endpoint's response
				}
			})
		}
	}
}

// TestRefusalOfRequestWithoutID covers callers that send no ID: endpoints refuse their requests without
// one. Such a refusal counts only where no other request can have caused it.
func TestRefusalOfRequestWithoutID(t *testing.T) {
	t.Run("own refusal", func(t *testing.T) {
		first, second := startBackend(t, strayRefusals["400"]), startBackend(t, okResponse)
		status, _, _, err := sendWith(t, startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, first, second), map[string]string{"Key": "k"})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, status, qt.Equals, http.StatusOK)
		qt.Check(t, first.requests.Load(), qt.Equals, int64(1))
	})
	t.Run("kept connection", func(t *testing.T) {
		runs := &runCounter{}
		s := strayServer{runCounter: runs, stray: strayRefusals["503"]}
		server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, &backend{addr: listen(t, s.handle)}, &backend{addr: listen(t, s.handle)})
		for n := range 4 {
			_, _, _, err := sendWith(t, server, map[string]string{"Id": fmt.Sprint("id-", n), "Key": "k"}) // its connection is kept
			qt.Assert(t, err, qt.IsNil)
			_, _, _, err = sendWith(t, server, map[string]string{"Key": "k"})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, runs.of(""), qt.Equals, n+1)
		}
	})
}

// TestOwnResponseAfterForeignOne covers requests that may run once, whose own response follows responses that
// aren't theirs: their callers get it. From an instance that relays, such a response is the last one.
func TestOwnResponseAfterForeignOne(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: other\r\nDigest: s\r\n"
	whole := http.StatusOK
	tests := map[string]struct {
		stray string
		want  int
	}{
		"refusal":           {strayRefusals["503"], whole},
		"two":               {strayRefusals["400"] + strayRefusals["421"], whole},
		"answer to another": {head + "Content-Length: 5\r\n\r\nother", whole},
		"interim":           {"HTTP/1.1 103 Early Hints\r\nId: other\r\n\r\n" + strayRefusals["503"], whole},
		"four":              {strings.Repeat(strayRefusals["503"], 4), http.StatusBadGateway},
		"chunked":           {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", http.StatusBadGateway},
		"without a frame":   {head + "\r\nother", http.StatusBadGateway},
		"too long":          {head + "Content-Length: 1000000\r\n\r\nother", http.StatusBadGateway},
		"no response":       {"\r\nno response\r\n\r\n", http.StatusBadGateway},
	}
	for name, test := range tests {
		for _, isRelayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, isRelayed), func(t *testing.T) {
				s := strayServer{runCounter: &runCounter{}, stray: test.stray, response: "HTTP/1.1 200 OK\r\nId: {id}\r\nDigest: s\r\nContent-Length: 4\r\n\r\n{id}"}
				addr := listen(t, s.handle)
				server := startGateway(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, &backend{addr: addr})
				if isRelayed {
					cutOff(t, server.Config.Handler.(*Gateway), hitchfleet.Instance{ID: "other", PeerAddr: addr})
				}
				for n := range 6 { // each second one on a kept connection, which isn't kept after it
					id, want := fmt.Sprintf("id-%d", n), http.StatusOK
					if n%2 == 1 {
						want = test.want
					}
					if n%2 == 1 && isRelayed {
						want = http.StatusBadGateway
					}
					status, body, _, err := sendWith(t, server, map[string]string{"Id": id, "Key": "k"})
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, status, qt.Equals, want)
					if status == http.StatusOK {
						qt.Check(t, body, qt.Equals, id)
					}
					qt.Check(t, s.of(id), qt.Equals, 1)
				}
			})
		}
	}
}
