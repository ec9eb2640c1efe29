package hitchrouter

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchplace"
)

// placement is the data for choosing the endpoint of a request, built from the view,
// the loads and the engine models. It is immutable.
type placement struct {
	pools     map[hitchfleet.RouteID]hitchplace.Pool
	endpoints map[hitchfleet.EndpointID]hitchfleet.Endpoint
	owners    map[hitchfleet.EndpointID]hitchfleet.Instance
	routers   hitchplace.Routers
	// versionByEndpoint is the model version of each engine as the engine reports it,
	// or the only version of its route if the engine reports none.
	versionByEndpoint map[hitchfleet.EndpointID]string
	// enginesByVersion lists the engines that serve each model version.
	enginesByVersion map[routeVersion][]hitchfleet.EndpointID
	// totalShareWeight is the sum of the share weights of all organisations.
	totalShareWeight int
}

func (rt *Router) placement() *placement {
	if p := rt.currentPlacement.Load(); p != nil {
		return p
	}
	return &placement{}
}

// rebuildPlacement replaces the placement by one of the current view, loads and
// engine models.
func (rt *Router) rebuildPlacement() {
	v := rt.View()
	if v.Index == nil {
		return
	}
	p := &placement{
		pools:             make(map[hitchfleet.RouteID]hitchplace.Pool),
		endpoints:         make(map[hitchfleet.EndpointID]hitchfleet.Endpoint, len(v.Endpoints)),
		owners:            make(map[hitchfleet.EndpointID]hitchfleet.Instance, len(v.Endpoints)),
		routers:           hitchplace.NewRouters(v.LiveRouters, v.zonesOut()),
		versionByEndpoint: make(map[hitchfleet.EndpointID]string),
		enginesByVersion:  make(map[routeVersion][]hitchfleet.EndpointID),
	}
	targets := make(map[hitchfleet.RouteID][]hitchplace.Target)
	loads, models := rt.loads.snapshot(), rt.models.snapshot()
	for _, e := range v.Endpoints {
		p.endpoints[e.ID] = e
		p.owners[e.ID], _ = hitchadmit.Owner(e.ID, e.Region, v.LiveRouters)
		if v.Index.InService(e) {
			t := newTarget(e, loads[e.ID], modelsOf(v.Index, e, models)).WithHitOnly(rt.outliers.IsHitOnly(rt.now(), e.ID))
			p.versionByEndpoint[e.ID] = t.Version
			version := routeVersion{e.Route, t.Version}
			p.enginesByVersion[version] = append(p.enginesByVersion[version], e.ID)
			targets[e.Route] = append(targets[e.Route], t)
		}
	}
	cfg := v.Index.Configuration()
	for id, list := range targets {
		p.pools[id] = hitchplace.NewPool(list, nil, v.zonesOut())
	}
	for _, o := range cfg.Organisations {
		p.totalShareWeight += max(o.ShareWeight, 1)
	}
	rt.models.removeUnlisted(p.endpoints)
	rt.currentPlacement.Store(p)
}

func newTarget(e hitchfleet.Endpoint, load hitchadmit.EndpointLoad, models EngineModels) hitchplace.Target {
	return hitchplace.Target{Endpoint: e, Version: models.Version, Adapters: models.Adapters, Load: load.Load, Cold: load.Cold}
}

// candidates returns the endpoints to request a slot at, best first. For a chat it
// first looks up the endpoint that served the chat last.
func (rt *Router) candidates(ctx context.Context, req *proxyRequest, p *placement) []hitchfleet.EndpointID {
	pool := p.pools[req.route.ID]
	request := hitchplace.Request{
		Organisation: req.organisation,
		Chat:         req.key,
		Zone:         rt.Self.Zone,
		Adapter:      req.adapter(),
		Subset:       hitchplace.SubsetSize(pool.Len(), p.organisationShare(req)),
		Evictions:    &rt.evictions,
	}
	if req.kind == hitchfleet.KindEngine && !req.isLocated {
		req.lastServed = rt.locate(ctx, p, req.key)
		req.isLocated = true
	}
	request.Entry = req.lastServed
	return lo.Map(rt.chooseCandidates(req, p, &pool, request), func(c hitchplace.Candidate, _ int) hitchfleet.EndpointID {
		return c.Endpoint
	})
}

// organisationShare returns the fraction of the capacity that the organisation of a
// request is entitled to.
func (p *placement) organisationShare(req *proxyRequest) float64 {
	if p.totalShareWeight == 0 {
		return 1
	}
	return float64(max(req.shareWeight, 1)) / float64(p.totalShareWeight)
}

func contains[T comparable](list []T, v T) bool { return slices.Contains(list, v) }

// IsSettled reports whether the router knows endpoints to send requests to, and its
// admission controller is settled.
func (rt *Router) IsSettled() bool {
	return len(rt.placement().pools) > 0 && rt.Admission.IsSettled(rt.now())
}
