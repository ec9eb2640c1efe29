package hitchdev

import (
	"fmt"
	"slices"
	"sync"

	"citronhitch.example/citronhitch/hitchfake"
	"citronhitch.example/citronhitch/hitchfleet"
)

// EnginePool is engines without routers, for baselines.
type EnginePool struct {
	Deployment Deployment

	mu      sync.Mutex
	engines []*EngineHost
	started int
}

// Start starts the deployment's engines.
func (p *EnginePool) Start() error {
	for range p.Deployment.Engines {
		if err := p.Add(); err != nil {
			return err
		}
	}
	return nil
}

// Add starts one more engine.
func (p *EnginePool) Add() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := p.Deployment.newEngine()
	s, err := serve("127.0.0.1:0", engine.Handler())
	if err != nil {
		return err
	}
	endpoint := p.Deployment.engineEndpoint(p.started)
	endpoint.URL = s.url()
	p.started++
	p.engines = append(p.engines, &EngineHost{Endpoint: endpoint, Engine: engine, server: s})
	return nil
}

// Engines returns the engines that run.
func (p *EnginePool) Engines() []*EngineHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.engines)
}

// Kill ends the oldest engine at once.
func (p *EnginePool) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.engines) > 0 {
		p.engines[0].server.close()
		p.engines = p.engines[1:]
	}
}

// Stop ends all engines.
func (p *EnginePool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.server.close()
	}
	p.engines = nil
}

// newEngine returns a stand-in engine of the deployment.
func (d Deployment) newEngine() *hitchfake.Engine {
	return &hitchfake.Engine{
		TokensPerSecond: d.TokensPerSecond, PrefillPerSecond: d.PrefillPerSecond, CacheTokens: d.CacheTokens,
		LoadLagMillis: d.LagMillis, EventLagMillis: d.LagMillis, ColdLimit: d.ColdLimit, MaxRunning: d.MaxRunning,
	}
}

// engineEndpoint returns the nth engine's place in the fleet.
func (d Deployment) engineEndpoint(n int) hitchfleet.Endpoint {
	return hitchfleet.Endpoint{
		ID:     hitchfleet.EndpointID(fmt.Sprintf("%s-%d", d.EngineRoute, n)),
		Region: d.Region,
		Zone:   d.Zone(n),
		Route:  d.EngineRoute,
	}
}
