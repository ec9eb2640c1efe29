package hitchdev

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchnode"
	"citronhitch.example/citronhitch/hitchpeer"
)

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Log        hclog.Logger

	platform  platform
	authority hitchpeer.DevCertificates
	secrets   hitchclaim.Secrets
	keys      hitchconfig.Keyring

	mu             sync.Mutex
	routers        []*hitchnode.Node
	startedRouters int
	startedEngines int
}

// readyTimeout is the maximum time until a starting fleet is ready.
const readyTimeout = 20 * time.Second

// readyPollInterval is the time between checks whether the fleet is ready.
const readyPollInterval = 20 * time.Millisecond

// Start starts the fakes and the routers. It returns once every router accepts
// requests and knows the usage of the endpoints that it owns.
func (f *Fleet) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start deployment %s: %w", f.Deployment.Name, err)
		}
	}()
	f.secrets = hitchclaim.Secrets{}.WithSigning([]byte(f.Deployment.Name + " booking secret of development"))
	f.keys = hitchconfig.Keyring{Keys: []hitchconfig.FleetKey{{ID: "dev", Secret: []byte(f.Deployment.Name + " fleet key of development")}}}
	if err := f.platform.start(f.Deployment.LagMillis); err != nil {
		return err
	}
	for range f.Deployment.Engines {
		if _, err := f.AddEngine(); err != nil {
			return err
		}
	}
	for n := range f.Deployment.Services {
		if _, err := f.platform.addService(f.serviceEndpoint(n), &hitchfake.Service{LoadLagMillis: f.Deployment.LagMillis}); err != nil {
			return err
		}
	}
	if err := f.writeInitialConfig(ctx); err != nil {
		return err
	}
	for range f.Deployment.Routers {
		if _, err := f.AddRouter(ctx); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// writeInitialConfig writes the initial configuration to the store, one change
// after another.
func (f *Fleet) writeInitialConfig(ctx context.Context) error {
	store := hitchnode.ConfigStore([]string{f.platform.storeServer.url()}, "seed")
	return hitchnode.InitConfiguration(ctx, store, f.keys, f.Deployment.Intents())
}

func (f *Fleet) serviceEndpoint(n int) hitchfleet.Endpoint {
	return hitchfleet.Endpoint{
		ID:     hitchfleet.EndpointID(fmt.Sprintf("%s-%d", f.Deployment.ServiceRoute, n)),
		Kind:   hitchfleet.KindService,
		Region: f.Deployment.Region,
		Zone:   f.Deployment.Zone(n),
		Route:  f.Deployment.ServiceRoute,
	}
}

// AddEngine starts one more engine.
func (f *Fleet) AddEngine() (*EngineHost, error) {
	f.mu.Lock()
	n := f.startedEngines
	f.startedEngines++
	f.mu.Unlock()
	return f.platform.addEngine(f.Deployment.engineEndpoint(n), f.Deployment.newEngine())
}

// AddColdEngine starts one more engine in an announced cold start, which lasts until
// its faults are reset.
func (f *Fleet) AddColdEngine() (*EngineHost, error) {
	f.mu.Lock()
	n := f.startedEngines
	f.startedEngines++
	f.mu.Unlock()
	engine := f.Deployment.newEngine()
	engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultCold, Announced: true})
	return f.platform.addEngine(f.Deployment.engineEndpoint(n), engine)
}

// MarkEngineLeaving marks an engine as leaving in the instance list. The engine
// keeps serving.
func (f *Fleet) MarkEngineLeaving(id hitchfleet.EndpointID) error {
	return f.platform.markEngineLeaving(id)
}

// KillEngine stops an engine at once, without draining.
func (f *Fleet) KillEngine(id hitchfleet.EndpointID) error { return f.platform.removeEngine(id) }

// Engines returns the running engines.
func (f *Fleet) Engines() []*EngineHost {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	return slices.Clone(f.platform.engines)
}

// Services returns the running plain services.
func (f *Fleet) Services() []*ServiceHost {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	return slices.Clone(f.platform.services)
}

// Store returns the fake key-value service.
func (f *Fleet) Store() *hitchfake.Store { return &f.platform.store }

// AddRouter starts one more router.
func (f *Fleet) AddRouter(ctx context.Context) (*hitchnode.Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := hitchfleet.InstanceID(fmt.Sprintf("router-%d", f.startedRouters))
	keys, err := f.authority.Issue(id, time.Now())
	if err != nil {
		return nil, err
	}
	node := &hitchnode.Node{Settings: hitchnode.Settings{
		ID: id, Region: f.Deployment.Region, Zone: f.Deployment.Zone(f.startedRouters),
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Stores: []string{f.platform.storeServer.url()}, ListURL: f.platform.listServer.url(),
		PeerKeys: keys.Current, BookingSecrets: func() hitchclaim.Secrets { return f.secrets }, FleetKeys: f.keys,
		Log: f.Log,
	}}
	if err := node.Start(ctx); err != nil {
		return nil, err
	}
	f.startedRouters++
	f.routers = append(f.routers, node)
	f.platform.addInstance(node.Instance())
	return node, nil
}

// Routers returns the running routers.
func (f *Fleet) Routers() []*hitchnode.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// removeRouter removes a router from the fleet and from the instance list.
func (f *Fleet) removeRouter(node *hitchnode.Node) {
	f.mu.Lock()
	f.routers = lo.Without(f.routers, node)
	f.mu.Unlock()
	f.platform.removeInstance(node.Instance().ID)
}

// StopRouter shuts a router down gracefully.
func (f *Fleet) StopRouter(ctx context.Context, node *hitchnode.Node) error {
	defer f.removeRouter(node)
	return node.Stop(ctx)
}

// KillRouter stops a router at once, without draining.
func (f *Fleet) KillRouter(node *hitchnode.Node) {
	node.Kill()
	f.removeRouter(node)
}

// Addresses returns the routers' addresses for callers.
func (f *Fleet) Addresses() []string {
	return lo.Map(f.Routers(), func(n *hitchnode.Node, _ int) string { return n.Addr() })
}

// Client returns a client with the API key of the nth organisation.
func (f *Fleet) Client(n int) *hitchclient.Client {
	return &hitchclient.Client{
		Routers: f.Addresses(), Key: f.Deployment.APIKey(n), Zone: string(f.Deployment.Zone(n)),
	}
}

// KeyID returns the ID that endpoints receive in place of a booking key. It is
// empty if the key wasn't minted by this fleet.
func (f *Fleet) KeyID(text string) string {
	key, err := f.secrets.Parse(text)
	if err != nil {
		return ""
	}
	return key.ID().String()
}

// awaitReady waits until every router accepts requests, sees all other routers and
// is settled.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !f.isReady() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("timed out waiting for the routers to become ready")
		}
	}
	return nil
}

func (f *Fleet) isReady() bool {
	routers := f.Routers()
	return lo.EveryBy(routers, func(n *hitchnode.Node) bool {
		return n.Router().Ready() == nil && len(n.Router().View().LiveRouters) >= len(routers) && n.Router().IsSettled()
	})
}

// Stop shuts all routers down gracefully and concurrently, and then stops the fakes.
func (f *Fleet) Stop(ctx context.Context) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var errs error
	for _, node := range f.Routers() {
		group.Go(func() {
			err := node.Stop(ctx)
			mu.Lock()
			defer mu.Unlock()
			errs = errors.Join(errs, err)
		})
	}
	group.Wait()
	f.platform.stop()
	return errs
}
