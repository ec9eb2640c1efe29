// Package hitchedge runs an instance on the users' platform: it gives the
// gateway its sockets, keeps its view up to date, and stops it gracefully.
//
//	err := hitchedge.Run(ctx, "/etc/citronhitch/node.toml", os.Stdout)
package hitchedge

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// expireEvery is how often kept connections are looked through.
const expireEvery = 2 * time.Second

// Edge is one instance. Its fields are set before Run.
type Edge struct {
	Settings hitchplatform.Settings
	Log      hclog.Logger

	store    hitchplatform.Store
	balancer hitchbalance.Balancer
	conns    hitchforward.Conns
	metrics  hitchingress.Metrics
	gateway  *hitchingress.Gateway
	follower hitchview.Follower
	peers    http.Client
	// aggregator adds up the reports of the others while this instance is a hub, and
	// newsRelay holds their news.
	aggregator hitchdigest.Aggregator
	newsRelay  newsRelay
	// hearing is what this instance hears while it is a hub, and liveness what the
	// hubs say.
	hearing  hitchdigest.Hearing
	liveness hitchdigest.Liveness
	region   atomic.Pointer[region]
	relays   relayCache
	lastView viewCounts
	seeds    atomic.Pointer[[]string]
	ready    sync.Once
	isReady  chan struct{}
}

// Run runs an instance with the settings file until ctx ends, and then stops it
// gracefully.
func Run(ctx context.Context, path string, out io.Writer) error {
	// From here on a SIGHUP doesn't end the process.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	settings, err := hitchplatform.ReadSettings(path)
	if err != nil {
		return err
	}
	sink := newLogSink(out)
	defer sink.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: "citronhitch", Level: hclog.Info, Output: sink})
	e := &Edge{Settings: settings, Log: log}
	e.build()
	go e.watchReload(ctx, path, hups)
	return e.Run(ctx)
}

// watchReload reads the settings file again on each signal.
func (e *Edge) watchReload(ctx context.Context, path string, hups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			e.reload(path)
		}
	}
}

// reload takes over what may change while the process runs: the seeds and the
// bounds of placement. Its addresses and the rest need a restart.
func (e *Edge) reload(path string) {
	s, err := hitchplatform.ReadSettings(path)
	if err != nil {
		e.Log.Error("settings not reloaded", "Path", path, "Error", err)
		return
	}
	e.seeds.Store(&s.Seeds)
	e.balancer.SetLimits(balancerLimits(s))
	e.Log.Info("settings reloaded", "Path", path, "Seeds", len(s.Seeds), "ColdFactor", s.Bounds.ColdFactor, "LoadFactor", s.Bounds.LoadFactor)
}

// balancerLimits returns the bounds of placement.
func balancerLimits(s hitchplatform.Settings) hitchbalance.Limits {
	b := s.Bounds
	return hitchbalance.Limits{
		ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack, LoadFactor: b.LoadFactor,
		HeartbeatMilliseconds: s.HeartbeatMilliseconds,
	}
}

// Run serves until ctx ends, or fails if an address can't be listened on.
func (e *Edge) Run(ctx context.Context) error {
	s := e.Settings
	e.Log.Info("start", "Instance", s.Self.ID, "Zone", s.Self.Zone, "Addr", s.Self.Addr, "Store", s.StoreAddr)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	front := e.frontServer()
	group.Go(func() error { return listen(front, s.Self.Addr) })
	group.Go(func() error {
		return serveUntil(work, s.DirectoryAddr, hitchplatform.Directory{Instances: e.instancesFor})
	})
	group.Go(func() error {
		return serveUntil(work, s.ReadyAddr, hitchplatform.Readiness{IsReady: e.gateway.IsReady})
	})
	group.Go(func() error { return serveUntil(work, s.Self.PeerAddr, http.HandlerFunc(e.serveView)) })
	group.Go(func() error { e.runMetrics(work); return nil })
	group.Go(func() error { e.follower.Run(work); return nil })
	group.Go(func() error { return e.shareDigests(work) })
	registered, deregister := context.WithCancel(work)
	defer deregister()
	stopWaiting := context.AfterFunc(ctx, deregister)
	defer stopWaiting()
	group.Go(func() error { e.register(registered); return nil })
	group.Go(func() error { e.expireConns(work); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.stop(front)
			stopWork()
			return nil
		case <-work.Done():
			return front.Close()
		}
	})
	return group.Wait()
}

// build joins the parts.
func (e *Edge) build() {
	s := e.Settings
	e.isReady = make(chan struct{})
	e.store.Addr = s.StoreAddr
	e.seeds.Store(&s.Seeds)
	e.balancer.SetLimits(balancerLimits(s))
	e.gateway = &hitchingress.Gateway{
		Self:       s.Self,
		Protocol:   hitchplatform.Protocol(),
		Balancer:   &e.balancer,
		Conns:      &e.conns,
		Log:        e.Log,
		Metrics:    &e.metrics,
		RetryRatio: s.Bounds.RetryRatio,
	}
	feed := &hitchplatform.Feed{Store: &e.store, Log: e.Log, Self: s.Self.ID}
	e.peers = peerClient()
	e.follower.Snapshot, e.follower.Next, e.follower.Probe = feed.Snapshot, feed.Next, feed.Probe
	e.follower.Pull, e.follower.Others, e.follower.IsHub = e.pullView, e.others, e.isHub
	e.follower.Log = e.Log
	e.follower.Changed = e.changed
}

// changed takes in a new view.
func (e *Edge) changed(v hitchview.View) {
	e.gateway.SetView(time.Now(), v)
	e.region.Store(regionOf(e.Settings.Self, v))
	e.logView(v)
	if v.Table != nil {
		e.ready.Do(func() { close(e.isReady) })
	}
}

// viewCounts is what the log tells of a view.
type viewCounts struct {
	Endpoints, Leaving, ZonesOut, Instances int
	IsHub                                   bool
}

// logView writes a line if the view has other endpoints, zones or instances than
// before.
func (e *Edge) logView(v hitchview.View) {
	c := viewCounts{
		Endpoints: len(v.Endpoints()), Leaving: len(v.Leaving()), ZonesOut: v.ZonesOut(),
		Instances: len(v.Instances()), IsHub: e.neighbours().hasHub(e.Settings.Self.ID),
	}
	if c == e.lastView {
		return
	}
	e.lastView = c
	e.Log.Info("view", "Revision", v.Revision, "Endpoints", c.Endpoints, "Leaving", c.Leaving,
		"ZonesOut", c.ZonesOut, "Instances", c.Instances, "IsHub", c.IsHub)
}

// register keeps the instance's entry in the store while it takes callers.
func (e *Edge) register(ctx context.Context) {
	select {
	case <-e.isReady:
	case <-ctx.Done():
		return
	}
	r := e.store.Registration(e.Settings.Self)
	r.Log = e.Log
	r.Run(ctx)
}

// expireConns closes connections that are kept for nothing.
func (e *Edge) expireConns(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.conns.Expire(now)
		}
	}
}

// runMetrics serves the metrics until ctx ends. Callers are served without them.
func (e *Edge) runMetrics(ctx context.Context) {
	if err := serveUntil(ctx, e.Settings.MetricsAddr, http.HandlerFunc(e.serveMetrics)); err != nil {
		e.Log.Error("metrics not served", "Addr", e.Settings.MetricsAddr, "Error", err)
	}
}

func (e *Edge) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if _, err := e.metrics.WriteTo(w); err != nil {
		e.Log.Warn("metrics not written", "Error", err)
	}
}
