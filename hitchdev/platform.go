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

// server is the HTTP server of one fake on loopback.
type server struct {
	listener net.Listener
	http     *http.Server
}

// serve starts a server on an address. Port 0 means any free port.
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

// close closes the listener and all connections.
func (s *server) close() { _ = s.http.Close() }

// EngineHost is a running engine and its endpoint in the instance list.
type EngineHost struct {
	Endpoint hitchfleet.Endpoint
	Engine   *hitchfake.Engine
	server   *server
}

// ServiceHost is a running plain service and its endpoint in the instance list.
type ServiceHost struct {
	Endpoint hitchfleet.Endpoint
	Service  *hitchfake.Service
	server   *server
}

// platform runs the fakes of a fleet. It updates the instance list with each change
// of the fleet.
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
	p.list.Configure(hitchfake.ListSettings{LagMillis: lagMillis})
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

// publishList updates the instance list. The caller must hold p.mu.
func (p *platform) publishList() {
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
	p.publishList()
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
	p.publishList()
	return host, nil
}

func (p *platform) addInstance(i hitchfleet.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(lo.Reject(p.instances, sameID(i.ID)), i)
	p.publishList()
}

func (p *platform) removeInstance(id hitchfleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = lo.Reject(p.instances, sameID(id))
	p.publishList()
}

func sameID(id hitchfleet.InstanceID) func(hitchfleet.Instance, int) bool {
	return func(i hitchfleet.Instance, _ int) bool { return i.ID == id }
}

// errUnknownEngine is returned for an endpoint ID without a running engine.
var errUnknownEngine = errors.New("hitchdev: no running engine has this endpoint ID")

// markEngineLeaving marks an engine as leaving in the instance list. The engine
// keeps serving.
func (p *platform) markEngineLeaving(id hitchfleet.EndpointID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	host, ok := lo.Find(p.engines, func(e *EngineHost) bool { return e.Endpoint.ID == id })
	if !ok {
		return errUnknownEngine
	}
	host.Endpoint.Leaving = true
	p.publishList()
	return nil
}

// removeEngine stops an engine at once. The instance list omits it after its lag.
func (p *platform) removeEngine(id hitchfleet.EndpointID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	host, i, ok := lo.FindIndexOf(p.engines, func(e *EngineHost) bool { return e.Endpoint.ID == id })
	if !ok {
		return errUnknownEngine
	}
	host.server.close()
	p.engines = append(p.engines[:i:i], p.engines[i+1:]...)
	p.publishList()
	return nil
}
