package hitchnode

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/samber/do/v2"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchrouter"
)

// observer keeps service levels, metrics and the access log of a node.
type observer struct {
	node       *Node
	access     hclog.Logger
	recorder   hitchburn.Recorder
	metrics    hitchburn.Metrics
	exposition hitchburn.Exposition
	inFlight   hitchapi.InFlight
}

func provideObserver(i do.Injector) (*observer, error) {
	n := do.MustInvoke[*Node](i)
	o := &observer{node: n, access: n.log().Named("access")}
	o.metrics.Reporter, o.metrics.Instance = &o.exposition, n.Settings.ID
	return o, nil
}

// instrument returns a handler that counts the requests in flight, and records the
// event that the router reports for each request.
func (o *observer) instrument(next http.Handler) http.Handler {
	return o.inFlight.Count(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start, isObserved := time.Now(), false
		requestObserver := &hitchrouter.Observer{Observe: func(now time.Time, e hitchburn.Event) {
			isObserved = true
			o.observe(now, e)
		}}
		defer func() {
			if !isObserved {
				o.observeRefused(r, start, time.Now())
			}
		}()
		next.ServeHTTP(w, r.WithContext(hitchrouter.WithObserver(r.Context(), requestObserver)))
	}))
}

// chatPath is the path of chat requests, as registered by hitchapi.
const chatPath = "/v1/chat/completions"

// observeRefused records a caller's request that the router refused before it
// determined the organisation, because it has no current configuration.
func (o *observer) observeRefused(r *http.Request, start, now time.Time) {
	isService := strings.HasPrefix(r.URL.Path, hitchapi.ServicePrefix+"/")
	refusal := &hitchoutcome.Refusal{}
	if !isService && r.URL.Path != chatPath || !errors.As(o.node.router.Ready(), &refusal) {
		return
	}
	e := hitchburn.Event{
		Kind: hitchburn.KindNonStreaming, Zone: o.node.Settings.Zone, Request: ulid.Make().String(),
		Reason: refusal.Reason, Outcome: refusal.Outcome, Start: start, End: now,
	}
	if isService {
		e.Kind = hitchburn.KindService
	}
	o.observe(now, e)
}

// observe records the event of a request.
func (o *observer) observe(now time.Time, e hitchburn.Event) {
	o.recorder.Record(now, e)
	o.metrics.Observe(e)
	e.LogTo(o.access)
}

func (o *observer) summary() hitchburn.Summary {
	return o.recorder.Summary(time.Now()).WithRouter(o.node.Settings.ID)
}

// serveMetrics updates the totals that other components count, and then writes all
// metrics.
func (o *observer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	o.refresh()
	w.Header().Set("Content-Type", hitchburn.ExpositionContentType)
	_, _ = o.exposition.WriteTo(w)
}

func (o *observer) refresh() {
	m := &o.metrics
	m.SetGauge(hitchburn.InFlightMetric, float64(o.inFlight.Load()))
	failures := &o.node.router.Forward.Counts
	for kind := hitchforward.FailureUnsent; kind <= hitchforward.FailureCallerGone; kind++ {
		m.SetTotal(hitchburn.FailuresMetric, kind.String(), uint64(failures.Get(kind)))
	}
	calls := o.node.store.Calls()
	m.SetTotal(hitchburn.StoreCallsMetric, "Range", calls.Range)
	m.SetTotal(hitchburn.StoreCallsMetric, "Txn", calls.Txn)
	m.SetTotal(hitchburn.StoreCallsMetric, "LeaseGrant", calls.LeaseGrant)
	m.SetTotal(hitchburn.StoreCallsMetric, "LeaseKeepAlive", calls.LeaseKeepAlive)
	m.SetTotal(hitchburn.StoreCallsMetric, "LeaseRevoke", calls.LeaseRevoke)
	m.SetTotal(hitchburn.StoreCallsMetric, "Watch", calls.Watch)
	traffic := o.node.peers.Traffic()
	o.setTraffic(hitchburn.ControlSentMetric, traffic.Sent, traffic.WireSent)
	o.setTraffic(hitchburn.ControlReceivedMetric, traffic.Received, traffic.WireReceived)
}

// setTraffic sets the counters of bytes between routers: by kind of message, and as
// Wire for all bytes of QUIC packets.
func (o *observer) setTraffic(name string, bytes hitchpeer.TrafficBytes, wire uint64) {
	m := &o.metrics
	m.SetTotal(name, "Probe", bytes.Probe)
	m.SetTotal(name, "Rumour", bytes.Rumour)
	m.SetTotal(name, "Share", bytes.Share)
	m.SetTotal(name, "Echo", bytes.Echo)
	m.SetTotal(name, "Hello", bytes.Hello)
	m.SetTotal(name, "Sync", bytes.Sync)
	m.SetTotal(name, "Pull", bytes.Pull)
	m.SetTotal(name, "Call", bytes.Call)
	m.SetTotal(name, "Wire", wire)
}
