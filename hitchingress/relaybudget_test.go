package hitchingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// relayingFleet is an instance that is cut off from endpoints, and others through which it serves.
type relayingFleet struct {
	sender   *httptest.Server
	relays   []hitchfleet.Instance
	backends []*backend
}

// startRelayingFleet starts two relays in front of backends. slack is that for retries, and serve
// serves a relayed request.
func startRelayingFleet(t *testing.T, route hitchroute.Route, slack float64, serve func(g *Gateway, w http.ResponseWriter, r *http.Request), responses ...string) *relayingFleet {
	var backends []*backend
	for range 4 {
		backends = append(backends, startBackend(t, responses...))
	}
	return startRelays(t, route, slack, serve, backends...)
}

// startRelayingFleetTo starts two relays in front of the given backends.
func startRelayingFleetTo(t *testing.T, route hitchroute.Route, backends ...*backend) *relayingFleet {
	return startRelays(t, route, 20, (*Gateway).ServeRelayed, backends...)
}

// startRelays starts two relays in front of backends, and the instance that is cut off.
func startRelays(t *testing.T, route hitchroute.Route, slack float64, serve func(g *Gateway, w http.ResponseWriter, r *http.Request), backends ...*backend) *relayingFleet {
	f := &relayingFleet{backends: backends}
	view := viewOf(route, f.backends...)
	view = view.Update(hitchview.InstanceMsg{Revision: 90, Instance: hitchfleet.Instance{ID: "sender"}})
	for n := range 2 {
		g := newRelayGateway(fmt.Sprint("relay-", n), slack)
		g.SetView(time.Now(), view)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(g, w, r) }))
		t.Cleanup(server.Close)
		f.relays = append(f.relays, hitchfleet.Instance{ID: g.Self.ID, PeerAddr: server.Listener.Addr().String()})
	}
	sender := newRelayGateway("sender", slack)
	sender.SetView(time.Now(), view)
	cutOff(t, sender, f.relays...)
	f.sender = httptest.NewServer(sender)
	t.Cleanup(f.sender.Close)
	return f
}

func newRelayGateway(id string, slack float64) *Gateway {
	return &Gateway{
		Self: hitchfleet.Instance{ID: hitchfleet.InstanceID(id), Zone: "0"}, Protocol: protocol, Balancer: &hitchbalance.Balancer{},
		Conns: &hitchforward.ConnPool{}, Log: hclog.NewNullLogger(), Metrics: &Metrics{}, RetryRatio: 1, RetrySlack: slack,
	}
}

// arrivals returns the number of requests that have reached the backends.
func (f *relayingFleet) arrivals() (n int64) {
	for _, b := range f.backends {
		n += b.requests.Load()
	}
	return n
}

// TestRelayedRequestsKeepMaxAttempts guards against requests that run at more endpoints than their
// route allows, as the instance that relays them doesn't know which attempts the other one has made
// (rule BUDGET).
func TestRelayedRequestsKeepMaxAttempts(t *testing.T) {
	// breakOff serves a relayed request and ends before its response is sent.
	breakOff := func(g *Gateway, _ http.ResponseWriter, r *http.Request) {
		g.ServeRelayed(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	tests := map[string]struct {
		serve    func(g *Gateway, w http.ResponseWriter, r *http.Request)
		response string
	}{
		"errors":                {(*Gateway).ServeRelayed, failedResponse},
		"truncated responses":   {(*Gateway).ServeRelayed, truncatedResponse},
		"closed connections":    {(*Gateway).ServeRelayed, ""},
		"relays that break off": {breakOff, failedResponse},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, maxAttempts := range []int{1, 2, 3} {
				f := startRelayingFleet(t, hitchroute.Route{Kind: hitchroute.Idempotent, MaxAttempts: maxAttempts}, 20, test.serve, test.response)
				_, _, _, err := send(t, f.sender, "k")
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, f.arrivals(), qt.Equals, int64(maxAttempts))
			}
		})
	}
}

// TestRelayedRequestsAllowNoMoreRetries guards against relayed requests that count as first attempts
// both at the instance that relays them and at the one that sends them, so that they allow twice
// as many retries (rule BUDGET).
func TestRelayedRequestsAllowNoMoreRetries(t *testing.T) {
	const requests = 40
	f := startRelayingFleet(t, hitchroute.Route{Kind: hitchroute.Idempotent, MaxAttempts: 2}, 0, (*Gateway).ServeRelayed, notRunResponse)
	for range requests {
		_, _, _, err := send(t, f.sender, "k")
		qt.Check(t, err, qt.IsNil)
	}
	qt.Assert(t, f.arrivals(), qt.Equals, int64(requests)) // the relays have no requests of their own
}

// TestRelayThatDoesntKnowItsSenderIsPassedOver covers a relay that has just started, so that it doesn't list the
// instance that sends it a request: another one sends it on.
func TestRelayThatDoesntKnowItsSenderIsPassedOver(t *testing.T) {
	f := startRelayingFleet(t, hitchroute.Route{Kind: hitchroute.NonIdempotent, MaxAttempts: 1}, 20, func(g *Gateway, w http.ResponseWriter, r *http.Request) {
		if g.Self.ID == "relay-0" {
			r.Header.Set(headerRelayedBy, "unlisted")
		}
		g.ServeRelayed(w, r)
	}, okResponse)
	for n := range 8 {
		status, _, _, err := sendWith(t, f.sender, map[string]string{"Id": fmt.Sprint("id-", n), "Key": "k"})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
	qt.Check(t, f.arrivals(), qt.Equals, int64(8))
}
