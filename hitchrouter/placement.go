package hitchrouter

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchplace"
)

// placement is what placing a request needs, made from the view and the loads.
// It is immutable.
type placement struct {
	pools     map[hitchfleet.RouteID]hitchplace.Pool
	endpoints map[hitchfleet.EndpointID]hitchfleet.Endpoint
	owners    map[hitchfleet.EndpointID]hitchfleet.Instance
	routers   hitchplace.Routers
	// versions is the model version of each engine that tells, and of the others the
	// only one of their route.
	versions map[hitchfleet.EndpointID]string
	// holders are the engines of each version.
	holders map[routeVersion][]hitchfleet.EndpointID
	// shares is the sum of the organisations' weights.
	shares int
}

func (rt *Router) placement() *placement {
	if p := rt.placed.Load(); p != nil {
		return p
	}
	return &placement{}
}

// rebuild makes the placement anew from the view and the loads.
func (rt *Router) rebuild() {
	v := rt.View()
	if v.Index == nil {
		return
	}
	p := &placement{
		pools:     make(map[hitchfleet.RouteID]hitchplace.Pool),
		endpoints: make(map[hitchfleet.EndpointID]hitchfleet.Endpoint, len(v.Endpoints)),
		owners:    make(map[hitchfleet.EndpointID]hitchfleet.Instance, len(v.Endpoints)),
		routers:   hitchplace.NewRouters(v.Live, v.zonesOut()),
		versions:  make(map[hitchfleet.EndpointID]string),
		holders:   make(map[routeVersion][]hitchfleet.EndpointID),
	}
	targets := make(map[hitchfleet.RouteID][]hitchplace.Target)
	loads, models := rt.loads.snapshot(), rt.models.snapshot()
	for _, e := range v.Endpoints {
		p.endpoints[e.ID] = e
		p.owners[e.ID], _ = hitchadmit.Owner(e.ID, e.Region, v.Live)
		if v.Index.InService(e) {
			t := target(e, loads[e.ID], versionOf(v.Index, e, models)).WithHitOnly(rt.failures.IsHitOnly(rt.now(), e.ID))
			p.versions[e.ID] = t.Version
			held := routeVersion{e.Route, t.Version}
			p.holders[held] = append(p.holders[held], e.ID)
			targets[e.Route] = append(targets[e.Route], t)
		}
	}
	cfg := v.Index.Configuration()
	for id, list := range targets {
		p.pools[id] = hitchplace.NewPool(list, nil, v.zonesOut())
	}
	for _, o := range cfg.Organisations {
		p.shares += max(o.ShareWeight, 1)
	}
	rt.models.keep(p.endpoints)
	rt.placed.Store(p)
}

func target(e hitchfleet.Endpoint, load hitchadmit.EndpointLoad, models EngineModels) hitchplace.Target {
	return hitchplace.Target{Endpoint: e, Version: models.Version, Adapters: models.Adapters, Load: load.Load, Cold: load.Cold}
}

// candidates returns the endpoints to ask for, best first.
func (rt *Router) candidates(ctx context.Context, j *job, p *placement) []hitchfleet.EndpointID {
	pool := p.pools[j.route.ID]
	request := hitchplace.Request{
		Organisation: j.organisation,
		Chat:         j.key,
		Zone:         rt.Self.Zone,
		Adapter:      j.adapter(),
		Subset:       hitchplace.SubsetSize(pool.Len(), p.shareOf(j)),
		Residence:    &rt.residence,
	}
	if j.kind == hitchfleet.KindEngine && !j.located {
		j.entry = rt.locate(ctx, p, j.key)
		j.located = true
	}
	request.Entry = j.entry
	return lo.Map(rt.choose(j, p, &pool, request), func(c hitchplace.Candidate, _ int) hitchfleet.EndpointID {
		return c.Endpoint
	})
}

// shareOf returns the part of the work that the request's organisation is
// entitled to.
func (p *placement) shareOf(j *job) float64 {
	if p.shares == 0 {
		return 1
	}
	return float64(max(j.shareWeight, 1)) / float64(p.shares)
}

func contains[T comparable](list []T, v T) bool { return slices.Contains(list, v) }

// IsSettled tells whether the router knows endpoints to place requests at, and
// what those that it owns hold.
func (rt *Router) IsSettled() bool {
	return len(rt.placement().pools) > 0 && rt.Owners.IsSettled(rt.now())
}
