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

	mu      sync.Mutex
	routers []*hitchnode.Node
	started int
	engines int
}

// readyLimit bounds the start of a fleet.
const readyLimit = 20 * time.Second

// readyStep is how often the start looks whether the fleet is ready.
const readyStep = 20 * time.Millisecond

// Start starts the stand-ins and the routers, and returns once every router takes
// requests and knows what the endpoints that it owns hold.
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
	if err := f.seed(ctx); err != nil {
		return err
	}
	for range f.Deployment.Routers {
		if _, err := f.AddRouter(ctx); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// seed makes the first configuration, change by change.
func (f *Fleet) seed(ctx context.Context) error {
	store := hitchnode.ConfigStore([]string{f.platform.storeServer.url()}, "seed")
	return hitchnode.Seed(ctx, store, f.keys, f.Deployment.Intents())
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
	n := f.engines
	f.engines++
	f.mu.Unlock()
	return f.platform.addEngine(f.Deployment.engineEndpoint(n), f.Deployment.newEngine())
}

// AddColdEngine starts one more engine, which is in cold start and says so until
// its faults are switched off.
func (f *Fleet) AddColdEngine() (*EngineHost, error) {
	f.mu.Lock()
	n := f.engines
	f.engines++
	f.mu.Unlock()
	engine := f.Deployment.newEngine()
	engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultCold, Announced: true})
	return f.platform.addEngine(f.Deployment.engineEndpoint(n), engine)
}

// LeaveEngine lists an engine as leaving. It goes on to serve.
func (f *Fleet) LeaveEngine(id hitchfleet.EndpointID) error { return f.platform.leaveEngine(id) }

// KillEngine ends an engine at once.
func (f *Fleet) KillEngine(id hitchfleet.EndpointID) error { return f.platform.removeEngine(id) }

// Engines returns the engines that run.
func (f *Fleet) Engines() []*EngineHost {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	return slices.Clone(f.platform.engines)
}

// Services returns the plain services that run.
func (f *Fleet) Services() []*ServiceHost {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	return slices.Clone(f.platform.services)
}

// Store returns the stand-in of the key-value service.
func (f *Fleet) Store() *hitchfake.Store { return &f.platform.store }

// AddRouter starts one more router.
func (f *Fleet) AddRouter(ctx context.Context) (*hitchnode.Node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := hitchfleet.InstanceID(fmt.Sprintf("router-%d", f.started))
	keys, err := f.authority.Issue(id, time.Now())
	if err != nil {
		return nil, err
	}
	node := &hitchnode.Node{Settings: hitchnode.Settings{
		ID: id, Region: f.Deployment.Region, Zone: f.Deployment.Zone(f.started),
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Stores: []string{f.platform.storeServer.url()}, ListURL: f.platform.listServer.url(),
		PeerKeys: keys.Current, BookingSecrets: func() hitchclaim.Secrets { return f.secrets }, FleetKeys: f.keys,
		Log: f.Log,
	}}
	if err := node.Start(ctx); err != nil {
		return nil, err
	}
	f.started++
	f.routers = append(f.routers, node)
	f.platform.addInstance(node.Instance())
	return node, nil
}

// Routers returns the routers that run.
func (f *Fleet) Routers() []*hitchnode.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routers)
}

// remove takes a router off the fleet and the list.
func (f *Fleet) remove(node *hitchnode.Node) {
	f.mu.Lock()
	f.routers = lo.Without(f.routers, node)
	f.mu.Unlock()
	f.platform.removeInstance(node.Instance().ID)
}

// StopRouter shuts a router down gracefully.
func (f *Fleet) StopRouter(ctx context.Context, node *hitchnode.Node) error {
	defer f.remove(node)
	return node.Stop(ctx)
}

// KillRouter ends a router at once.
func (f *Fleet) KillRouter(node *hitchnode.Node) {
	node.Kill()
	f.remove(node)
}

// Addresses returns where callers connect to the routers.
func (f *Fleet) Addresses() []string {
	return lo.Map(f.Routers(), func(n *hitchnode.Node, _ int) string { return n.Addr() })
}

// Client returns a caller of the nth organisation.
func (f *Fleet) Client(n int) *hitchclient.Client {
	return &hitchclient.Client{
		Entries: f.Addresses(), Key: f.Deployment.APIKey(n), Zone: string(f.Deployment.Zone(n)),
	}
}

// KeyID returns the ID under which endpoints are shown a booking key, or nothing
// if the fleet never minted it.
func (f *Fleet) KeyID(text string) string {
	key, err := f.secrets.Parse(text)
	if err != nil {
		return ""
	}
	return key.ID().String()
}

// awaitReady waits until every router takes requests and knows all the others.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ticker := time.NewTicker(readyStep)
	defer ticker.Stop()
	for !f.isReady() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.New("the routers aren't ready in time")
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

// Stop shuts the routers down gracefully, all at once, and then the stand-ins.
func (f *Fleet) Stop(ctx context.Context) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var all error
	for _, node := range f.Routers() {
		group.Go(func() {
			err := node.Stop(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = errors.Join(all, err)
		})
	}
	group.Wait()
	f.platform.stop()
	return all
}
