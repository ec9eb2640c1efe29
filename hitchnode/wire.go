package hitchnode

import (
	"net/http"

	"github.com/samber/do/v2"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchrouter"
	"citronhitch.example/citronhitch/hitchserver"
	"citronhitch.example/citronhitch/hitchstore"
)

// buildComponents creates the components of the node and connects them.
func (n *Node) buildComponents() {
	n.viewRefresh = make(chan struct{}, 1)
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
	n.router.Bookings.OnHomeOpened = n.router.ShareHome
	for kind, handler := range n.router.Handlers() {
		n.peers.Handle(kind, handler)
	}
	n.config.registerHandlers(n.peers)
}

func provideStore(i do.Injector) (*hitchstore.Client, error) {
	n := do.MustInvoke[*Node](i)
	return &hitchstore.Client{Endpoints: n.Settings.Stores, Writer: string(n.Settings.ID)}, nil
}

func provideList(i do.Injector) (*instanceList, error) {
	return &instanceList{url: do.MustInvoke[*Node](i).Settings.ListURL, client: http.Client{Transport: hitchforward.NewTransport()}}, nil
}

func providePeers(i do.Injector) (*hitchpeer.Node, error) {
	n := do.MustInvoke[*Node](i)
	list := do.MustInvoke[*instanceList](i)
	return &hitchpeer.Node{
		Listen:        n.Settings.PeerListen,
		Keys:          n.Settings.PeerKeys,
		Seeds:         list.instances,
		OnLiveChange:  func([]hitchfleet.Instance) { n.requestViewRefresh() },
		OnSharedValue: n.applySharedValue,
		Log:           n.Settings.Log,
	}, nil
}

func provideRouter(i do.Injector) (*hitchrouter.Router, error) {
	n := do.MustInvoke[*Node](i)
	router := &hitchrouter.Router{
		Forward: n.forwardClient(),
		Log:     n.Settings.Log,

		IgnoreQuotas: n.Settings.IgnoreQuotas,
		Bookings: &hitchrouter.Bookings{
			Store:   claimStore(do.MustInvoke[*hitchstore.Client](i)),
			Secrets: n.Settings.BookingSecrets,
			Log:     n.Settings.Log,
		},
	}
	router.Forward.ObserveHeader = router.ObserveHeader
	router.Quarantine.SetLimits(n.Settings.Quarantine)
	return router, nil
}

func provideConfig(i do.Injector) (*configSource, error) {
	n := do.MustInvoke[*Node](i)
	return &configSource{node: n, store: do.MustInvoke[*hitchstore.Client](i)}, nil
}

func provideServer(i do.Injector) (*hitchapi.Server, error) {
	n := do.MustInvoke[*Node](i)
	o := do.MustInvoke[*observer](i)
	memory := hitchserver.Megabytes(n.Settings.MemoryMegabytes)
	api := &hitchapi.API{Router: do.MustInvoke[*hitchrouter.Router](i), Operators: n.Operators()}
	api.Bodies.Bytes = memory.BodyBytes()
	api.Operators.Report = o.summary
	api.Metrics = api.Operators.RequireOperator(http.HandlerFunc(o.serveMetrics))
	return &hitchapi.Server{
		Addr:           n.Settings.Listen,
		Handler:        o.instrument(api.Handler()),
		Certificate:    n.Settings.Certificate,
		MaxConnections: n.Settings.MaxConnections,
		Memory:         memory,
	}, nil
}

// applySharedValue applies a value that another router shared.
func (n *Node) applySharedValue(value hitchpeer.SharedValue) {
	switch value.Topic.Name {
	case hitchrouter.TopicLoads.Name:
		n.router.ApplyLoads(value.Origin, value.Body)
	case hitchrouter.TopicModels.Name:
		n.router.ApplyModels(value.Origin, value.Body)
	case hitchrouter.TopicCacheAges.Name:
		n.router.ApplyCacheAges(value.Body)
	case hitchrouter.TopicSuspicions.Name:
		n.router.ApplySuspicions(value.Origin, value.Body)
	case hitchrouter.TopicHome.Name:
		n.router.ApplyHome(value.Origin, value.Body)
	}
}
