package hitchingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// refuseFirst refuses the first request of each connection. Once the next one has been read, a copy of
// the first response arrives before the response to that one, which runs.
func refuseFirst(runs *runCounter, refusal string) func(net.Conn) {
	return func(conn net.Conn) {
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
			if first == "" {
				first = strings.ReplaceAll(refusal, "{id}", id)
				_, _ = io.WriteString(conn, first)
				continue
			}
			runs.add(id)
			_, _ = io.WriteString(conn, first+strings.ReplaceAll(okOwn, "{id}", id))
		}
	}
}

// TestCopyOfRefusalDoesntRunRepeatedIDTwice guards against second runs of requests whose caller has sent their ID
// before: a copy of the refusal of the earlier one arrives on the same connection (rules TWICE and REFUSED).
func TestCopyOfRefusalDoesntRunRepeatedIDTwice(t *testing.T) {
	ofRelay := fmt.Sprintf("HTTP/1.1 503 Refused\r\n%s: Leaving\r\n%s: NotRun\r\n%s: {id}\r\nContent-Length: 0\r\n\r\n", headerRefusal, headerOutcome, headerRefused)
	tests := map[string]struct {
		refusal string
		kind    hitchroute.Kind
		relays  int
	}{
		"payment, 503": {"HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", hitchroute.NonIdempotent, 0},
		"payment, 421": {"HTTP/1.1 421 Misdirected Request\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", hitchroute.NonIdempotent, 0},
		"stream, 503":  {"HTTP/1.1 503 Full\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", hitchroute.Streaming, 0},
		"relays":       {ofRelay, hitchroute.NonIdempotent, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runs := &runCounter{}
			var backends []*backend
			var relays []hitchfleet.Instance
			for n := range 4 {
				b := &backend{addr: listen(t, refuseFirst(runs, test.refusal))}
				backends = append(backends, b)
				relays = append(relays, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("relay-", n)), PeerAddr: b.addr})
			}
			server := startGateway(t, hitchroute.Route{Kind: test.kind, MaxAttempts: 1}, backends...)
			g := server.Config.Handler.(*Gateway)
			if test.relays > 0 {
				cutOff(t, g, relays...)
			}
			for call := range 6 {
				before := runs.of("id-1")
				status, _, _, err := send(t, server, "k")
				qt.Assert(t, err, qt.IsNil)
				ran := runs.of("id-1") - before
				qt.Check(t, ran <= 1, qt.IsTrue, qt.Commentf("call %d: %d runs, status %d", call, ran, status))
				qt.Check(t, promisesNotRun(status) && ran > 0, qt.IsFalse, qt.Commentf("call %d: status %d", call, status))
			}
			qt.Check(t, g.Metrics.repeatedIDs.Load() > 0, qt.Equals, test.relays == 0) // a relay's refusal closes its connection
		})
	}
}
