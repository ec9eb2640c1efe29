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
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchrouter"
	"citronhitch.example/citronhitch/hitchstore"
)

// wire builds the parts of the node.
func (n *Node) wire() {
	n.changed = make(chan struct{}, 1)
	n.peerErr = make(chan error, 1)
	n.injector = do.New()
	do.ProvideValue(n.injector, n)
	do.Provide(n.injector, provideStore)
	do.Provide(n.injector, provideList)
	do.Provide(n.injector, providePeers)
	do.Provide(n.injector, provideObserver)
	do.Provide(n.injector, provideRouter)
	do.Provide(n.injector, provideConfig)
	do.Provide(n.injector, provideServer)
	n.store = do.MustInvoke[*hitchstore.Client](n.injector)
	n.list = do.MustInvoke[*instanceList](n.injector)
	n.peers = do.MustInvoke[*hitchpeer.Node](n.injector)
	n.router = do.MustInvoke[*hitchrouter.Router](n.injector)
	n.config = do.MustInvoke[*configSource](n.injector)
	n.server = do.MustInvoke[*hitchapi.Server](n.injector)
	n.router.Peers = hitchrouter.Peers{Call: n.peers.CallIncarnation, Share: n.peers.Share}
	n.router.Bookings.OnHome = n.router.ShareHome
	for kind, handler := range n.router.Handlers() {
		n.peers.Handle(kind, handler)
	}
	n.config.handle(n.peers)
}

func provideStore(i do.Injector) (*hitchstore.Client, error) {
	n := do.MustInvoke[*Node](i)
	return &hitchstore.Client{Endpoints: n.Settings.Stores, Writer: string(n.Settings.ID)}, nil
}

func provideList(i do.Injector) (*instanceList, error) {
	return &instanceList{url: do.MustInvoke[*Node](i).Settings.ListURL}, nil
}

func providePeers(i do.Injector) (*hitchpeer.Node, error) {
	n := do.MustInvoke[*Node](i)
	list := do.MustInvoke[*instanceList](i)
	return &hitchpeer.Node{
		Listen:   n.Settings.PeerListen,
		Keys:     n.Settings.PeerKeys,
		Seeds:    list.instances,
		OnChange: func([]hitchfleet.Instance) { n.change() },
		OnShare:  n.learn,
		Log:      n.Settings.Log,
	}, nil
}

func provideRouter(i do.Injector) (*hitchrouter.Router, error) {
	n := do.MustInvoke[*Node](i)
	return &hitchrouter.Router{
		Forward: n.forwardClient(),
		Log:     n.Settings.Log,
		Bookings: &hitchrouter.Bookings{
			Store:   claimStore(do.MustInvoke[*hitchstore.Client](i)),
			Secrets: n.Settings.BookingSecrets,
			Log:     n.Settings.Log,
		},
	}, nil
}

func provideConfig(i do.Injector) (*configSource, error) {
	n := do.MustInvoke[*Node](i)
	return &configSource{node: n, store: do.MustInvoke[*hitchstore.Client](i)}, nil
}

func provideServer(i do.Injector) (*hitchapi.Server, error) {
	n := do.MustInvoke[*Node](i)
	o := do.MustInvoke[*observer](i)
	api := &hitchapi.API{Router: do.MustInvoke[*hitchrouter.Router](i), Operators: n.Operators()}
	api.Operators.Report = o.summary
	api.Metrics = api.Operators.Guard(http.HandlerFunc(o.serveMetrics))
	return &hitchapi.Server{
		Addr:        n.Settings.Listen,
		Handler:     o.watch(api.Handler()),
		Certificate: n.Settings.Certificate,
		Connections: n.Settings.Connections,
	}, nil
}

// observer keeps service levels, metrics and the access log of a node.
type observer struct {
	node     *Node
	access   hclog.Logger
	recorder hitchburn.Recorder
	metrics  hitchburn.Metrics
	exposed  hitchburn.Exposition
	inFlight hitchapi.InFlight
}

func provideObserver(i do.Injector) (*observer, error) {
	n := do.MustInvoke[*Node](i)
	o := &observer{node: n, access: n.log().Named("access")}
	o.metrics.Reporter, o.metrics.Instance = &o.exposed, n.Settings.ID
	return o, nil
}

// watch returns a handler that counts the requests in flight, and has the router
// tell what became of each.
func (o *observer) watch(next http.Handler) http.Handler {
	return o.inFlight.Count(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start, isObserved := time.Now(), false
		of := &hitchrouter.Observer{Observe: func(now time.Time, e hitchburn.Event) {
			isObserved = true
			o.observe(now, e)
		}}
		defer func() {
			if !isObserved {
				o.observeRefused(r, start, time.Now())
			}
		}()
		next.ServeHTTP(w, r.WithContext(hitchrouter.WithObserver(r.Context(), of)))
	}))
}

// chatPath is where callers chat, as hitchapi registers it.
const chatPath = "/v1/chat/completions"

// observeRefused counts a caller's request that the router refused before it read
// whose it is, as it has no current configuration.
func (o *observer) observeRefused(r *http.Request, start, now time.Time) {
	isService := strings.HasPrefix(r.URL.Path, hitchapi.ServicePrefix+"/")
	refusal := &hitchoutcome.Refusal{}
	if !isService && r.URL.Path != chatPath || !errors.As(o.node.router.Ready(), &refusal) {
		return
	}
	e := hitchburn.Event{
		Kind: hitchburn.KindWhole, Zone: o.node.Settings.Zone, Request: ulid.Make().String(),
		Reason: refusal.Reason, Outcome: refusal.Outcome, Start: start, End: now,
	}
	if isService {
		e.Kind = hitchburn.KindService
	}
	o.observe(now, e)
}

// observe takes what became of a request.
func (o *observer) observe(now time.Time, e hitchburn.Event) {
	o.recorder.Record(now, e)
	o.metrics.Observe(e)
	e.LogTo(o.access)
}

func (o *observer) summary() hitchburn.Summary {
	return o.recorder.Summary(time.Now()).WithRouter(o.node.Settings.ID)
}

// serveMetrics brings the totals that are kept elsewhere up to date and then
// writes all metrics.
func (o *observer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	o.refresh()
	w.Header().Set("Content-Type", hitchburn.ExpositionType)
	_, _ = o.exposed.WriteTo(w)
}

func (o *observer) refresh() {
	m := &o.metrics
	m.SetGauge(hitchburn.InFlightMetric, float64(o.inFlight.Load()))
	failures := &o.node.router.Forward.Counts
	for kind := hitchforward.FailureUnsent; kind <= hitchforward.FailureCallerGone; kind++ {
		m.SetTotal(hitchburn.FailuresMetric, kind.String(), uint64(failures.Of(kind)))
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

// setTraffic tells the bytes between routers: by kind of message, and as Wire all
// bytes of QUIC packets.
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

// learn takes a value that another router shared.
func (n *Node) learn(value hitchpeer.SharedValue) {
	switch value.Topic.Name {
	case hitchrouter.TopicLoads.Name:
		n.router.LearnLoads(value.Origin, value.Body)
	case hitchrouter.TopicModels.Name:
		n.router.LearnModels(value.Origin, value.Body)
	case hitchrouter.TopicCacheAges.Name:
		n.router.LearnCacheAges(value.Body)
	case hitchrouter.TopicHome.Name:
		n.router.LearnHome(value.Origin, value.Body)
	}
}
