// Package hitchnode runs one router instance: it connects the packages that make the
// decisions to sockets, the platform's services and the other routers.
//
//	node := hitchnode.Node{Settings: settings}
//	if err := node.Start(ctx); err != nil {
//		return err
//	}
//	defer node.Stop(ctx)
package hitchnode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"citronhitch.example/citronhitch/hitchapi"
	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchrouter"
	"citronhitch.example/citronhitch/hitchstore"
)

// Node is one router instance. Set Settings and call Start. End it by Stop for a
// graceful shutdown, or by Kill to simulate a crash.
type Node struct {
	Settings Settings

	injector *do.RootScope
	self     hitchfleet.Instance
	router   *hitchrouter.Router
	peers    *hitchpeer.Node
	server   *hitchapi.Server
	store    *hitchstore.Client
	list     *instanceList
	config   *configSource
	contact  peerContact

	viewRefresh chan struct{}
	cancel      context.CancelFunc
	background  sync.WaitGroup
	peerErr     chan error
}

// Start opens the listeners and starts the background work. It returns once callers
// can connect; their requests are refused until the configuration is known.
func (n *Node) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start %s: %w", n.Settings.ID, err)
		}
	}()
	n.buildComponents()
	if err := n.server.Listen(); err != nil {
		return err
	}
	n.peers.Self = n.instance()
	if err := n.peers.Bind(); err != nil {
		return err
	}
	n.self = n.peers.Instance()
	n.router.Self = n.self
	ctx, n.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := n.list.fetch(ctx); err != nil {
		n.log().Warn("failed to fetch the instance list at startup", "Error", err)
	}
	n.startBackground(ctx)
	return nil
}

// startBackground starts the goroutines that run until Stop or Kill.
func (n *Node) startBackground(ctx context.Context) {
	n.background.Go(func() { n.peerErr <- n.peers.Run(ctx) })
	n.background.Go(func() { n.runPeriodically(ctx, listInterval, n.refreshList) })
	n.background.Go(func() { n.config.run(ctx) })
	n.background.Go(func() { n.runViewRefresh(ctx) })
	n.background.Go(func() { n.runPeriodically(ctx, orderTickInterval, n.newOrderLoop().tick) })
	n.background.Go(func() { n.router.Run(ctx) })
	n.background.Go(func() {
		if err := n.server.Serve(); err != nil {
			n.log().Error("server for callers failed", "Error", err)
		}
	})
	n.router.Bookings.Start(hitchclaim.HomeID{Instance: n.self.ID, Incarnation: n.self.Incarnation})
	n.log().Info("router started", "Instance", string(n.self.ID), "Zone", string(n.self.Zone), "Address", n.self.Addr, "PeerAddress", n.self.PeerAddr)
}

// instance returns the description of this router that others receive.
func (n *Node) instance() hitchfleet.Instance {
	addr := n.Settings.Advertise
	if addr == "" {
		addr = n.server.ListenAddr()
	}
	return hitchfleet.Instance{
		ID:          n.Settings.ID,
		Incarnation: hitchclaim.NewIncarnation(time.Now(), 0),
		Addr:        addr,
		Region:      n.Settings.Region,
		Zone:        n.Settings.Zone,
	}
}

// Addr returns the address for callers, as host:port.
func (n *Node) Addr() string { return n.self.Addr }

// Instance returns the description of this router that others receive.
func (n *Node) Instance() hitchfleet.Instance { return n.self }

// Router returns the router that the node runs.
func (n *Node) Router() *hitchrouter.Router { return n.router }

// Peers returns the part of the node that takes part in the membership.
func (n *Node) Peers() *hitchpeer.Node { return n.peers }

// Store returns the node's client of the key-value service.
func (n *Node) Store() *hitchstore.Client { return n.store }

func (n *Node) log() hclog.Logger {
	if n.Settings.Log != nil {
		return n.Settings.Log
	}
	return hclog.NewNullLogger()
}

// runPeriodically calls f once per period until ctx is done.
func (n *Node) runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) refreshList(ctx context.Context) {
	if err := n.list.fetch(ctx); err != nil {
		n.log().Warn("failed to fetch the instance list; keeping the previous one", "Error", err)
		return
	}
	n.requestViewRefresh()
}

// requestViewRefresh makes runViewRefresh rebuild the view soon.
func (n *Node) requestViewRefresh() {
	select {
	case n.viewRefresh <- struct{}{}:
	default:
	}
}

// Wait returns once the node has to stop, because another process runs with its ID.
func (n *Node) Wait(ctx context.Context) error {
	select {
	case err := <-n.peerErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

// forwardClient returns the client for requests to endpoints.
func (n *Node) forwardClient() *hitchforward.Client {
	return &hitchforward.Client{InactivityTimeoutMillis: n.Settings.InactivityTimeoutMillis}
}
