package hitchingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

const (
	stressEndpoints = 8
	stressRequests  = 400
	stressEvents    = 6
	stressAttempts  = 3
)

// stressEndpoint behaves at random: it serves, is silent and goes on, or refuses, and
// unless it is sound it also fails, closes, hangs or spoils its responses.
type stressEndpoint struct {
	listener net.Listener
	isSound  bool
	fleet    *stressFleet
}

// stressFleet counts what the endpoints of a test see.
type stressFleet struct {
	mu   sync.Mutex
	rand *rand.Rand
	// runs counts the requests that weren't refused, by ID.
	runs map[string]int
	open atomic.Int64 // connections
}

func (f *stressFleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(n)
}

func (f *stressFleet) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (e *stressEndpoint) serve() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.fleet.open.Add(1)
		go func() {
			defer e.fleet.open.Add(-1)
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for e.respond(conn, r) {
			}
		}()
	}
}

// wait waits for up to 1.5 s. It returns false if the connection was closed meanwhile.
func (e *stressEndpoint) wait(conn net.Conn, r *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Duration(100+e.fleet.draw(1400)) * time.Millisecond))
	_, err := r.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return os.IsTimeout(err)
}

// respond serves one request. It returns false if the connection ends.
func (e *stressEndpoint) respond(conn net.Conn, r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Id")
	choices := 20
	if e.isSound {
		choices = 10
	}
	choice := e.fleet.draw(choices)
	if choice == 0 {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 2\r\n\r\nno", id)
		return err == nil
	}
	e.fleet.run(id)
	if choice <= 3 && !e.wait(conn, r) {
		return false
	}
	switch choice {
	case 10:
		return false
	case 11:
		_, err = fmt.Fprintf(conn, "HTTP/1.1 500 Oops\r\nId: %s\r\nDigest: s\r\nContent-Length: 3\r\n\r\nbad", id)
		return err == nil
	case 12:
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nDigest: s\r\nContent-Length: 3\r\n\r\nbad")
		return err == nil
	case 13:
		_, _ = r.Peek(1)
		return false
	case 14:
		_, _ = io.WriteString(conn, "no response at all\r\n")
		return false
	}
	body := stressBody(id, 0)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nDigest: s\r\n", id)
	if request.URL.Path == "/stream/x" {
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		body = stressBody(id, last)
	}
	_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
	pauseAt, endAt := -1, -1
	switch choice {
	case 4, 5:
		pauseAt = e.fleet.draw(len(body) + 1)
	case 15, 16:
		endAt = e.fleet.draw(len(body) + 1)
	case 17:
		pauseAt, endAt = 0, len(body)/2
	case 18: // a whole plain response is right whatever it says
		if request.URL.Path != "/stream/x" {
			break
		}
		body += "id: 1\ndata: again\n\n"
	}
	for len(body) > 0 {
		n := min(1+e.fleet.draw(40), len(body))
		if _, err := io.WriteString(conn, chunk(body[:n])); err != nil {
			return false
		}
		body = body[n:]
		if pauseAt >= 0 && pauseAt-n < 0 && !e.wait(conn, r) {
			return false
		}
		if endAt >= 0 && endAt-n < 0 {
			return false
		}
		pauseAt, endAt = pauseAt-n, endAt-n
	}
	_, err = io.WriteString(conn, chunkedEnd)
	return err == nil
}

// stressBody returns the events of a response that come after an ID.
func stressBody(id string, last int) string {
	var b strings.Builder
	for n := last + 1; n <= stressEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return b.String()
}

// TestManyRequestsBeforeEndpointsInTrouble sends many requests at once to endpoints that
// behave at random, while the view changes. No caller may get anything but a whole answer
// to its own request, a prefix of a stream that is cut, or a failure; sound endpoints that are only
// silent or full may cost no answer. At the end nothing may be left in flight.
func TestManyRequestsBeforeEndpointsInTrouble(t *testing.T) {
	seed := uint64(20261203)
	if s, err := strconv.ParseUint(os.Getenv("CITRONHITCH_SEED"), 10, 64); err == nil {
		seed = s
	}
	for name, isSound := range map[string]bool{"sound": true, "in trouble": false} {
		t.Run(name, func(t *testing.T) {
			t.Logf("seed %d", seed)
			ignored := goleak.IgnoreCurrent()
			t.Cleanup(func() { goleak.VerifyNone(t, ignored) })
			fleet := &stressFleet{rand: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int)}
			gateway, addrs := startStressGateway(t, fleet, isSound)
			var serverLog lockedBuffer
			server := httptest.NewUnstartedServer(gateway)
			server.Config.ErrorLog = log.New(&serverLog, "", 0)
			server.Start()
			stopChanges := changeViews(gateway)
			var whole, cut, failed, refused atomic.Int64
			var group sync.WaitGroup
			for i := range stressRequests {
				group.Go(func() {
					path := []string{"/stream/x", "/plain/x"}[i%2]
					status, body, err := sendStress(server, path, fmt.Sprintf("id-%d", i))
					want := stressBody(fmt.Sprintf("id-%d", i), 0)
					switch {
					case status == http.StatusOK && err == nil && body == want:
						whole.Add(1)
					case status == http.StatusOK && err != nil && strings.HasPrefix(want, body) && path == "/stream/x":
						cut.Add(1)
					case status == http.StatusServiceUnavailable && err == nil:
						refused.Add(1)
					case status >= http.StatusInternalServerError && err == nil:
						failed.Add(1)
					default:
						t.Errorf("%s %d: status %d, error %v, body %q", path, i, status, err, body)
					}
				})
			}
			group.Wait()
			stopChanges()
			t.Logf("whole %d, cut %d, failed %d, refused %d", whole.Load(), cut.Load(), failed.Load(), refused.Load())
			if isSound {
				qt.Check(t, cut.Load(), qt.Equals, int64(0))
				qt.Check(t, failed.Load(), qt.Equals, int64(0))
			}
			qt.Check(t, gateway.InFlight(), qt.Equals, 0)
			qt.Check(t, gateway.Balancer.Report().Loads, qt.HasLen, 0)
			server.Close()
			for _, addr := range addrs {
				gateway.Conns.CloseIdle(addr)
			}
			deadline := time.Now().Add(2 * time.Second)
			for fleet.open.Load() > 0 && time.Now().Before(deadline) {
				<-time.After(10 * time.Millisecond)
			}
			qt.Check(t, fleet.open.Load(), qt.Equals, int64(0))
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			for id, n := range fleet.runs {
				qt.Check(t, n <= stressAttempts, qt.IsTrue, qt.Commentf("%s ran %d times", id, n))
			}
			qt.Check(t, serverLog.String(), qt.Equals, "")
		})
	}
}

// startStressGateway starts the endpoints, and a gateway before them.
func startStressGateway(t *testing.T, fleet *stressFleet, isSound bool) (*Gateway, []string) {
	table := stressTable(1)
	view := hitchview.View{}.Update(hitchview.TableMsg{Revision: 1, Table: table})
	var addrs []string
	for i := range stressEndpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		e := &stressEndpoint{listener: l, isSound: isSound, fleet: fleet}
		go e.serve()
		t.Cleanup(func() { _ = l.Close() })
		addrs = append(addrs, l.Addr().String())
		view = view.Update(hitchview.EndpointMsg{Revision: hitchfleet.Revision(i + 2), Endpoint: stressEndpointEntry(i, addrs[i])})
	}
	g := &Gateway{
		Self: hitchfleet.Instance{ID: "router", Zone: "0"}, Protocol: protocol, Balancer: &hitchbalance.Balancer{},
		Conns: &hitchforward.ConnPool{}, Log: hclog.NewNullLogger(), Metrics: &Metrics{}, RetryRatio: 3, RetrySlack: 1000,
	}
	g.SetView(time.Now(), view)
	return g, addrs
}

func stressEndpointEntry(i int, addr string) hitchfleet.Endpoint {
	return hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprintf("e%d", i)), Service: "s", Addr: addr, Zone: hitchfleet.AvailabilityZone(fmt.Sprint(i % 3))}
}

func stressTable(version int64) *hitchroute.Table {
	splits := []hitchroute.Split{{Service: "s", Weight: 1}}
	return hitchroute.NewTable(hitchroute.Config{Version: version, Routes: []hitchroute.Route{
		{Name: "stream", Host: "h.example", PathPrefix: "/stream/", Splits: splits, Kind: hitchroute.Streaming, IsResumable: true,
			MaxAttempts: stressAttempts, GapMilliseconds: 100, ObjectiveMilliseconds: 200, TimeoutMilliseconds: 6_000},
		{Name: "plain", Host: "h.example", PathPrefix: "/plain/", Splits: splits, Kind: hitchroute.Idempotent,
			MaxAttempts: stressAttempts, ObjectiveMilliseconds: 200, TimeoutMilliseconds: 6_000},
	}, Organisations: []hitchroute.Organisation{{ID: "o", Keys: []string{"k"}}}})
}

// changeViews replaces the view many times a second: each time a new configuration, and
// another endpoint is gone. The returned function ends that, with a view of all endpoints.
func changeViews(g *Gateway) (stop func()) {
	full := g.View()
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			select {
			case <-done:
				g.SetView(time.Now(), full)
				return
			case <-time.After(20 * time.Millisecond):
			}
			view := full.Update(hitchview.TableMsg{Revision: full.Revision + 1, Table: stressTable(int64(n + 2))})
			if n%3 != 0 {
				view = view.Update(hitchview.EndpointRemovedMsg{Revision: view.Revision + 1, ID: hitchfleet.EndpointID(fmt.Sprintf("e%d", n%stressEndpoints))})
			}
			g.SetView(time.Now(), view)
		}
	}()
	return func() { close(done); <-stopped }
}

// sendStress sends a request on a connection of its own.
func sendStress(server *httptest.Server, path, id string) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.Host, r.Close = "h.example", true
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k")
	res, err := server.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends bytes.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
