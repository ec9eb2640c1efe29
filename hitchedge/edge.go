// Package hitchedge runs an instance on the users' platform: it serves the gateway on
// its listen addresses, keeps its view of the fleet up to date, and shuts it down
// gracefully.
//
//	err := hitchedge.Run(ctx, "/etc/citronhitch/node.toml", hitchedge.Options{}, os.Stdout)
package hitchedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchserver"
	"citronhitch.example/citronhitch/hitchview"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// connExpiryInterval is how often expired idle connections to endpoints are closed.
const connExpiryInterval = 2 * time.Second

// Edge is one instance. Its fields are set before Run.
type Edge struct {
	Settings hitchplatform.Settings
	Log      hclog.Logger

	// losesDatagram reports whether a datagram to another instance is lost; nil means that none is.
	losesDatagram atomic.Pointer[func(hitchdigest.Packet) bool]
	// listen opens the listener for callers; nil means net.Listen.
	listen func(network, addr string) (net.Listener, error)
	store  hitchplatform.Store
	feed   *hitchplatform.StoreFeed
	// versionsReads are the reads of the store's record of versions.
	versionsReads singleflight.Group
	balancer      hitchbalance.Balancer
	conns         hitchforward.ConnPool
	metrics       hitchingress.Metrics
	gateway       *hitchingress.Gateway
	room          room
	strangers     strangers
	callerServer  *hitchserver.Server
	follower      hitchview.Follower
	// registration keeps this instance's entry in the store.
	registration hitchview.Registration
	peerClient   http.Client
	// aggregator adds up the reports of other instances while this instance is a hub.
	// cacheUpdateRelay holds their cache updates while it is the primary hub.
	aggregator       hitchdigest.Aggregator
	cacheUpdateRelay cacheUpdateRelay
	// reportTimes records when instances last reported, while this instance is a hub.
	// liveness holds which instances the hubs list as silent, and removals since when.
	reportTimes hitchdigest.ReportTracker
	liveness    hitchdigest.Liveness
	removals    hitchdigest.Removals
	// unlisted holds the instances that report to this hub but aren't in its view.
	unlisted hitchdigest.Unlisted
	// isRemoving is set while entries of silent instances are removed from the store.
	isRemoving atomic.Bool
	// hasView is set once there was a view. It is used by setView alone.
	hasView bool
	// seemsNew is set if the fleet starts together with this instance by the first view, until it
	// is known which versions there were.
	seemsNew atomic.Bool
	// versionsRecord, quarantineRecord and quarantineRead are used by followRecords alone.
	versionsRecord, quarantineRecord storeRecord
	// quarantineRead is set once the store's record of the quarantine was read.
	quarantineRead bool
	election       hitchdigest.Election
	regionMu       sync.Mutex // held while region changes
	region         atomic.Pointer[region]
	// viewChanged receives a value after changes of the view.
	viewChanged     chan struct{}
	peerUpdateCache peerUpdateCache
	loggedView      viewSummary
	seeds           atomic.Pointer[[]string]
	// socket sends datagrams. It is nil before the instance listens for them.
	socket   atomic.Pointer[net.UDPConn]
	currency currency
	origins  originRecorder
	permits  permits
	turns    questions[hitchquarantine.Turn]
	// pathQuestions are those whether others reach endpoints, and cutOffs holds the instances
	// that say that they don't.
	pathQuestions questions[bool]
	cutOffs       hitchdigest.CutOffs
	rollouts      rolloutDecisions
	// restingOwners are the owners of keys that aren't asked for now.
	restingOwners restingOwners
	// slotBroker asks for slots of services that have few, and slotOwner assigns them.
	slotBroker slotBroker
	slotOwner  slotOwner
}

// Options are the settings that don't come from the platform.
type Options struct {
	// Quarantine sets when requests are refused, as endpoints crash at them.
	Quarantine hitchquarantine.Limits
	// IgnoreQuotas is set if endpoints may get more requests than they say they take.
	IgnoreQuotas bool
	// KeepsOwnPath is set if requests aren't relayed through other instances, also while this
	// one reaches no endpoint.
	KeepsOwnPath bool
}

// Run runs an instance with the settings file at path until ctx ends, and then shuts
// it down gracefully. The log is written to out.
func Run(ctx context.Context, path string, options Options, out io.Writer) error {
	// Once registered, SIGHUP no longer ends the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	settings, err := hitchplatform.ReadSettings(path)
	if err != nil {
		return err
	}
	hitchserver.Megabytes(settings.MemoryMegabytes).LimitHeap()
	sink := newLogSink(out)
	defer sink.Close()
	log := hclog.New(&hclog.LoggerOptions{Name: "citronhitch", Level: hclog.Info, Output: sink})
	edge := &Edge{Settings: settings, Log: log}
	edge.initialize()
	edge.gateway.Quarantine.SetLimits(options.Quarantine)
	edge.gateway.IgnoreQuotas = options.IgnoreQuotas
	edge.gateway.Path.IsOff = options.KeepsOwnPath
	go edge.reloadOnSignal(ctx, path, reloadSignals)
	return edge.Run(ctx)
}

// reloadOnSignal reloads the settings file on each signal.
func (e *Edge) reloadOnSignal(ctx context.Context, path string, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			e.reload(path)
		}
	}
}

// reload applies the settings that may change while the process runs: the seeds and
// the balancer's limits. Addresses and all other settings need a restart.
func (e *Edge) reload(path string) {
	settings, err := hitchplatform.ReadSettings(path)
	if err != nil {
		e.Log.Error("failed to reload settings", "Path", path, "Error", err)
		return
	}
	e.seeds.Store(&settings.Seeds)
	e.balancer.SetLimits(balancerLimits(settings))
	e.Log.Info("settings reloaded", "Path", path, "Seeds", len(settings.Seeds), "ColdFactor", settings.Bounds.ColdFactor, "LoadFactor", settings.Bounds.LoadFactor)
}

// balancerLimits returns the limits that the settings set for the balancer.
func balancerLimits(settings hitchplatform.Settings) hitchbalance.Limits {
	bounds := settings.Bounds
	return hitchbalance.Limits{
		ColdFactor: bounds.ColdFactor, ColdSlack: bounds.ColdSlack, LoadFactor: bounds.LoadFactor,
		HeartbeatMilliseconds: settings.HeartbeatMilliseconds,
	}
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if it
// can't listen on one of its addresses.
func (e *Edge) Run(ctx context.Context) error {
	settings := e.Settings
	// Directories name the instance once it is registered, which mustn't come first.
	listener, err := e.listenForCallers()
	if err != nil {
		return err
	}
	e.Log.Info("starting", "Instance", settings.Self.ID, "Zone", settings.Self.Zone, "Addr", settings.Self.Addr, "Store", settings.StoreAddr)
	runCtx, stopRun := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRun()
	group, runCtx := errgroup.WithContext(runCtx)
	callerServer := e.callerServer
	group.Go(func() error { return callerServer.Serve(listener) })
	directory := e.room.newServer("directory", directoryShare, maxInternalHeadBytes, hitchplatform.Directory{Addrs: e.directoryAddrs})
	group.Go(func() error { return serveUntil(runCtx, settings.DirectoryAddr, directory) })
	readiness := e.room.newServer("readiness", probeShare, maxInternalHeadBytes, hitchplatform.Readiness{IsReady: e.gateway.IsReady})
	group.Go(func() error { return serveUntil(runCtx, settings.ReadyAddr, readiness) })
	peers := e.room.newServer("peers", peerShare, maxRelayedHeadBytes, http.HandlerFunc(e.servePeers))
	group.Go(func() error { return serveUntil(runCtx, settings.Self.PeerAddr, peers) })
	metrics := e.room.newServer("metrics", probeShare, maxInternalHeadBytes, http.HandlerFunc(e.serveMetrics))
	group.Go(func() error { e.runMetrics(runCtx, metrics); return nil })
	group.Go(func() error { e.follower.Run(runCtx); return nil })
	group.Go(func() error { return e.exchangeDatagrams(runCtx) })
	group.Go(func() error { e.trackCurrency(runCtx); return nil })
	group.Go(func() error { e.trackHoldings(runCtx); return nil })
	group.Go(func() error { e.followRecords(runCtx); return nil })
	group.Go(func() error { e.recordOrigins(runCtx); return nil })
	group.Go(func() error { e.followRollouts(runCtx); return nil })
	leaving, leave := context.WithCancel(runCtx)
	defer leave()
	stopLeave := context.AfterFunc(ctx, leave)
	defer stopLeave()
	group.Go(func() error { e.register(runCtx, leaving); return nil })
	group.Go(func() error { e.expireConns(runCtx); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.shutDown(callerServer)
			stopRun()
			return nil
		case <-runCtx.Done():
			return callerServer.Close()
		}
	})
	return group.Wait()
}

// initialize creates and connects the components of the instance.
func (e *Edge) initialize() {
	settings := e.Settings
	e.viewChanged = make(chan struct{}, 1)
	e.room.init(settings)
	e.store.Addr = settings.StoreAddr
	e.seeds.Store(&settings.Seeds)
	e.balancer.SetLimits(balancerLimits(settings))
	e.gateway = &hitchingress.Gateway{
		Self:       settings.Self,
		Protocol:   hitchplatform.Protocol(),
		Balancer:   &e.balancer,
		Conns:      &e.conns,
		Log:        e.Log,
		Metrics:    &e.metrics,
		RetryRatio: settings.Bounds.RetryRatio,
		RetrySlack: settings.Bounds.RetrySlack,
		StartedAt:  time.Now(),

		Bodies: hitchserver.BodyBudget{Bytes: e.room.memory.BodyBytes()},

		OriginExchange: e.originExchange(),
	}
	e.callerServer = e.newCallerServer()
	e.conns.MaxIdle = int(float64(e.room.sockets) * idleShare)
	e.gateway.Quarantine.SetRank(e.gateway.TrialRank)
	e.gateway.Permits, e.gateway.Released, e.gateway.Turns = e.askPermit, e.release, e.askTurn
	e.permits.reserve.StartsEmpty = true
	e.initSlots()
	e.initPath()
	e.feed = &hitchplatform.StoreFeed{Store: &e.store, Log: e.Log, Self: settings.Self.ID}
	e.peerClient = newPeerClient()
	e.follower.Snapshot, e.follower.Watch, e.follower.Probe = e.feed.Snapshot, e.feed.Watch, e.feed.Probe
	e.follower.Pull, e.follower.Peers, e.follower.StartPeers = e.fetchView, e.peerAddrs, e.startPeers
	e.follower.WatchesStore = e.watchesStore
	e.follower.Log = e.Log
	e.follower.OnChange = e.setView
	e.initRegistration()
}

// setView applies a new view of the fleet to the components that use it.
func (e *Edge) setView(view hitchview.View) {
	e.doubtNewFleet(view)
	e.strangers.setView(view)
	e.gateway.SetView(time.Now(), view)
	if view.Table != nil {
		e.callerServer.SetLimits(callerLimits(view.Table.Limits()))
	}
	e.updateRegion(view)
	e.slotOwner.updateEndpoints(time.Now())
	e.logView(view)
	e.notifyRegistration()
}

// updateRegion replaces the region by that of a view.
func (e *Edge) updateRegion(view hitchview.View) {
	e.regionMu.Lock()
	defer e.regionMu.Unlock()
	e.setRegion(time.Now(), regionOf(e.Settings.Self, view))
}

// viewSummary holds the values of a view that are logged.
type viewSummary struct {
	Endpoints, Leaving, ZonesOut, Instances int
	IsHub                                   bool
}

// logView logs the summary of a view if it differs from the one logged before.
func (e *Edge) logView(view hitchview.View) {
	summary := viewSummary{
		Endpoints: len(view.Endpoints()), Leaving: len(view.LeavingEndpoints()), ZonesOut: view.ZonesOutCount(),
		Instances: len(view.Instances()), IsHub: e.currentRegion().isHub(e.Settings.Self.ID),
	}
	if summary == e.loggedView {
		return
	}
	e.loggedView = summary
	e.Log.Info("view changed", "Revision", view.Revision, "Endpoints", summary.Endpoints, "Leaving", summary.Leaving,
		"ZonesOut", summary.ZonesOut, "Instances", summary.Instances, "IsHub", summary.IsHub)
}

// expireConns periodically closes expired idle connections to endpoints, and logs those of
// clients that were closed to make room.
func (e *Edge) expireConns(ctx context.Context) {
	ticker := time.NewTicker(connExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.conns.CloseExpired(now)
			e.logClosed()
		}
	}
}

// runMetrics serves the metrics until ctx ends. A failure is only logged, as callers
// can be served without metrics.
func (e *Edge) runMetrics(ctx context.Context, server *hitchserver.Server) {
	if err := serveUntil(ctx, e.Settings.MetricsAddr, server); err != nil {
		e.Log.Error("failed to serve metrics", "Addr", e.Settings.MetricsAddr, "Error", err)
	}
}

func (e *Edge) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	view := e.gateway.View()
	_, eraErr := fmt.Fprintf(w, "citronhitch_store_era %d\ncitronhitch_store_revision %d\ncitronhitch_quarantined_traits %d\ncitronhitch_limited_endpoints %d\ncitronhitch_retry_slack %g\ncitronhitch_invalid_entries_total %d\n",
		view.Revision.Era(), view.Revision.Number(), e.gateway.Quarantine.Quarantined(time.Now()), e.gateway.Quotas.Limited(time.Now()), e.gateway.RetrySlackShare(time.Now()), e.feed.InvalidEntries())
	_, err := e.metrics.WriteTo(w)
	eraErr = errors.Join(eraErr, e.slotOwner.writeMetrics(w), e.room.writeMetrics(w))
	if err = errors.Join(eraErr, err); err != nil {
		e.Log.Warn("failed to write metrics", "Error", err)
	}
}
