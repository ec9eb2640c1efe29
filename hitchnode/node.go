// Package hitchnode runs one router instance: it wires the decision packages to
// sockets, the platform's services and the other routers.
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

// Node is one router instance. Set its Settings, call Start, and at the end Stop
// for a graceful shutdown or Kill for a crash.
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
	contact  contact

	changed chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup
	peerErr chan error
}

// Start listens and begins to work. It returns once callers can connect; they are
// refused until the configuration is known.
func (n *Node) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start %s: %w", n.Settings.ID, err)
		}
	}()
	n.wire()
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
		n.log().Warn("no instance list yet", "Error", err)
	}
	n.run(ctx)
	return nil
}

// run starts the work that goes on until Stop or Kill.
func (n *Node) run(ctx context.Context) {
	n.running.Go(func() { n.peerErr <- n.peers.Run(ctx) })
	n.running.Go(func() { n.follow(ctx, listEvery, n.refreshList) })
	n.running.Go(func() { n.config.run(ctx) })
	n.running.Go(func() { n.followChanges(ctx) })
	n.running.Go(func() { n.follow(ctx, orderTick, n.newOrderLoop().step) })
	n.running.Go(func() { n.router.Run(ctx) })
	n.running.Go(func() {
		if err := n.server.Serve(); err != nil {
			n.log().Error("server ended", "Error", err)
		}
	})
	n.router.Bookings.Start(hitchclaim.HomeID{Instance: n.self.ID, Incarnation: n.self.Incarnation})
	n.log().Info("router started", "Instance", string(n.self.ID), "Zone", string(n.self.Zone), "Address", n.self.Addr, "PeerAddress", n.self.PeerAddr)
}

// instance returns what others are told of this router.
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

// Addr returns where callers connect, as host:port.
func (n *Node) Addr() string { return n.self.Addr }

// Instance returns the router as others see it.
func (n *Node) Instance() hitchfleet.Instance { return n.self }

// Router returns the router that the node runs.
func (n *Node) Router() *hitchrouter.Router { return n.router }

// Peers returns the node's part in the membership.
func (n *Node) Peers() *hitchpeer.Node { return n.peers }

// Store returns the node's client of the key-value service.
func (n *Node) Store() *hitchstore.Client { return n.store }

func (n *Node) log() hclog.Logger {
	if n.Settings.Log != nil {
		return n.Settings.Log
	}
	return hclog.NewNullLogger()
}

// follow calls f each period until ctx is done.
func (n *Node) follow(ctx context.Context, period time.Duration, f func(context.Context)) {
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
		n.log().Warn("instance list kept", "Error", err)
		return
	}
	n.change()
}

// change makes the view be built anew soon.
func (n *Node) change() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Wait returns once the node can't go on, as another process runs under its ID.
func (n *Node) Wait(ctx context.Context) error {
	select {
	case err := <-n.peerErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

// forwardClient returns the client towards endpoints.
func (n *Node) forwardClient() *hitchforward.Client {
	return &hitchforward.Client{InactivityTimeoutMillis: n.Settings.SilenceMillis}
}
