package hitchingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchroute"
)

// steadyServer answers each request on a kept connection by a response, after a time.
type steadyServer struct {
	response string
	after    time.Duration
	requests atomic.Int64
	since    time.Time // from when on requests are counted
}

func (s *steadyServer) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if time.Now().After(s.since) {
			s.requests.Add(1)
		}
		time.Sleep(s.after)
		if _, err := io.WriteString(conn, strings.ReplaceAll(s.response, "{id}", r.Header.Get("Id"))); err != nil {
			return
		}
	}
}

// TestEndpointsThatFailAtOnceDrawNoRequests guards against endpoints that answer at once with a failure, so that they have
// the fewest requests in flight and get most of them.
func TestEndpointsThatFailAtOnceDrawNoRequests(t *testing.T) {
	failures := map[string]string{
		"500":                  "HTTP/1.1 500 Oops\r\nId: {id}\r\nDigest: s\r\nContent-Length: 0\r\n\r\n",
		"200 without a digest": "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok",
		"200 with another ID":  "HTTP/1.1 200 OK\r\nId: other\r\nDigest: s\r\nContent-Length: 2\r\n\r\nok",
		"503 without an ID":    "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
		"503 without a digest": "HTTP/1.1 503 Full\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
	}
	kinds := map[string]hitchroute.Route{
		"booking": {Kind: hitchroute.NonIdempotent, MaxAttempts: 1},
		"lookup":  {Kind: hitchroute.Idempotent, MaxAttempts: 2},
	}
	for name, failure := range failures {
		for kind, route := range kinds {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				start := time.Now()
				counted := start.Add(time.Second)
				var backends []*backend
				var sound, failing []*steadyServer
				for n := range 6 {
					s := &steadyServer{response: okOwn, after: 20 * time.Millisecond, since: counted}
					if n < 2 {
						s.response, s.after = failure, 0
						failing = append(failing, s)
					} else {
						sound = append(sound, s)
					}
					backends = append(backends, &backend{addr: listen(t, s.handle)})
				}
				server := startGateway(t, route, backends...)
				server.Config.Handler.(*Gateway).RetryRatio = 0.2
				var group sync.WaitGroup
				var sent, served atomic.Int64
				for caller := range 12 {
					group.Go(func() {
						for n := 0; time.Since(start) < 4*time.Second; n++ {
							isCounted := time.Now().After(counted)
							status, _, _, err := sendWith(t, server, map[string]string{"Id": fmt.Sprintf("%d-%d", caller, n), "Key": "k"})
							if isCounted {
								sent.Add(1)
								if err == nil && status == http.StatusOK {
									served.Add(1)
								}
							}
							time.Sleep(20 * time.Millisecond)
						}
					})
				}
				group.Wait()
				atFailing, all := int64(0), int64(0)
				for _, s := range failing {
					atFailing += s.requests.Load()
				}
				for _, s := range sound {
					all += s.requests.Load()
				}
				all += atFailing
				t.Logf("%d of %d attempts reached failing endpoints, %d of %d requests served", atFailing, all, served.Load(), sent.Load())
				qt.Check(t, float64(atFailing) < 0.03*float64(all), qt.IsTrue)
				least := 0.97
				if route.MaxAttempts > 1 {
					least = 0.995
				}
				qt.Check(t, float64(served.Load()) >= least*float64(sent.Load()), qt.IsTrue)
			})
		}
	}
}
