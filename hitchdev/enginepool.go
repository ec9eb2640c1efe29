package hitchdev

import (
	"fmt"
	"slices"
	"sync"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
)

// EnginePool runs a deployment's engines without routers, for baselines.
type EnginePool struct {
	Deployment Deployment

	mu             sync.Mutex
	engines        []*EngineHost
	startedEngines int
}

// Start starts the deployment's engines.
func (p *EnginePool) Start() error {
	for range p.Deployment.Engines {
		if err := p.AddEngine(); err != nil {
			return err
		}
	}
	return nil
}

// AddEngine starts one more engine.
func (p *EnginePool) AddEngine() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := p.Deployment.newEngine()
	s, err := serve("127.0.0.1:0", engine.Handler())
	if err != nil {
		return err
	}
	endpoint := p.Deployment.engineEndpoint(p.startedEngines)
	endpoint.URL = s.url()
	p.startedEngines++
	p.engines = append(p.engines, &EngineHost{Endpoint: endpoint, Engine: engine, server: s})
	return nil
}

// Engines returns the running engines.
func (p *EnginePool) Engines() []*EngineHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.engines)
}

// KillOldestEngine stops the oldest engine at once, without draining.
func (p *EnginePool) KillOldestEngine() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.engines) > 0 {
		p.engines[0].server.close()
		p.engines = p.engines[1:]
	}
}

// Stop stops all engines.
func (p *EnginePool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.server.close()
	}
	p.engines = nil
}

// newEngine returns a fake engine with the deployment's settings.
func (d Deployment) newEngine() *hitchfake.Engine {
	return &hitchfake.Engine{
		TokensPerSecond: d.TokensPerSecond, PrefillTokensPerSecond: d.PrefillTokensPerSecond, CacheTokens: d.CacheTokens,
		LoadLagMillis: d.LagMillis, EventLagMillis: d.LagMillis, ColdLimit: d.ColdLimit, MaxRunning: d.MaxRunning,
	}
}

// engineEndpoint returns the endpoint of the nth engine, without its URL.
func (d Deployment) engineEndpoint(n int) hitchfleet.Endpoint {
	return hitchfleet.Endpoint{
		ID:     hitchfleet.EndpointID(fmt.Sprintf("%s-%d", d.EngineRoute, n)),
		Region: d.Region,
		Zone:   d.Zone(n),
		Route:  d.EngineRoute,
	}
}
