package hitchdev

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
)

// server serves one stand-in on loopback.
type server struct {
	listener net.Listener
	http     *http.Server
}

// serve starts a server on an address; port 0 takes a free one.
func serve(addr string, handler http.Handler) (*server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &server{listener: l, http: &http.Server{Handler: handler}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

func (s *server) url() string { return "http://" + s.addr() }

// close breaks all connections.
func (s *server) close() { _ = s.http.Close() }

// EngineHost is an engine with its place in the fleet.
type EngineHost struct {
	Endpoint hitchfleet.Endpoint
	Engine   *hitchfake.Engine
	server   *server
}

// ServiceHost is a plain service with its place in the fleet.
type ServiceHost struct {
	Endpoint hitchfleet.Endpoint
	Service  *hitchfake.Service
	server   *server
}

// platform is the stand-ins of a fleet. Its list always tells what is there.
type platform struct {
	store       hitchfake.Store
	list        hitchfake.List
	storeServer *server
	listServer  *server

	mu        sync.Mutex
	engines   []*EngineHost
	services  []*ServiceHost
	instances []hitchfleet.Instance
}

func (p *platform) start(lagMillis int) (err error) {
	p.list.Set(hitchfake.ListSettings{LagMillis: lagMillis})
	if p.storeServer, err = serve("127.0.0.1:0", p.store.Handler()); err != nil {
		return err
	}
	p.listServer, err = serve("127.0.0.1:0", p.list.Handler())
	return err
}

func (p *platform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.server.close()
	}
	for _, s := range p.services {
		s.server.close()
	}
	p.storeServer.close()
	p.listServer.close()
}

// publish puts the fleet on the list. The lock must be held.
func (p *platform) publish() {
	list := hitchfleet.InstanceList{Instances: append([]hitchfleet.Instance{}, p.instances...)}
	for _, e := range p.engines {
		list.Endpoints = append(list.Endpoints, e.Endpoint)
	}
	for _, s := range p.services {
		list.Endpoints = append(list.Endpoints, s.Endpoint)
	}
	p.list.Put(list)
}

func (p *platform) addEngine(e hitchfleet.Endpoint, engine *hitchfake.Engine) (*EngineHost, error) {
	server, err := serve("127.0.0.1:0", engine.Handler())
	if err != nil {
		return nil, err
	}
	e.URL = server.url()
	host := &EngineHost{Endpoint: e, Engine: engine, server: server}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = append(p.engines, host)
	p.publish()
	return host, nil
}

func (p *platform) addService(e hitchfleet.Endpoint, service *hitchfake.Service) (*ServiceHost, error) {
	server, err := serve("127.0.0.1:0", service.Handler())
	if err != nil {
		return nil, err
	}
	e.URL = server.url()
	host := &ServiceHost{Endpoint: e, Service: service, server: server}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = append(p.services, host)
	p.publish()
	return host, nil
}

func (p *platform) addInstance(i hitchfleet.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(lo.Reject(p.instances, sameID(i.ID)), i)
	p.publish()
}

func (p *platform) removeInstance(id hitchfleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = lo.Reject(p.instances, sameID(id))
	p.publish()
}

func sameID(id hitchfleet.InstanceID) func(hitchfleet.Instance, int) bool {
	return func(i hitchfleet.Instance, _ int) bool { return i.ID == id }
}

// errNoSuchEngine says that an engine isn't there.
var errNoSuchEngine = errors.New("hitchdev: there is no such engine")

// leaveEngine lists an engine as leaving. It goes on to serve.
func (p *platform) leaveEngine(id hitchfleet.EndpointID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	host, ok := lo.Find(p.engines, func(e *EngineHost) bool { return e.Endpoint.ID == id })
	if !ok {
		return errNoSuchEngine
	}
	host.Endpoint.Leaving = true
	p.publish()
	return nil
}

// removeEngine ends an engine at once; the list tells so after its lag.
func (p *platform) removeEngine(id hitchfleet.EndpointID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	host, i, ok := lo.FindIndexOf(p.engines, func(e *EngineHost) bool { return e.Endpoint.ID == id })
	if !ok {
		return errNoSuchEngine
	}
	host.server.close()
	p.engines = append(p.engines[:i:i], p.engines[i+1:]...)
	p.publish()
	return nil
}
