package hitchrouter

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchconfig"
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
	}
	targets := make(map[hitchfleet.RouteID][]hitchplace.Target)
	loads := rt.loads.snapshot()
	for _, e := range v.Endpoints {
		p.endpoints[e.ID] = e
		p.owners[e.ID], _ = hitchadmit.Owner(e.ID, e.Region, v.Live)
		if v.Index.InService(e) {
			targets[e.Route] = append(targets[e.Route], target(e, loads[e.ID]))
		}
	}
	cfg := v.Index.Configuration()
	for id, list := range targets {
		route, _ := v.Index.Route(id)
		p.pools[id] = hitchplace.NewPool(list, versionWeights(route), v.zonesOut())
	}
	for _, o := range cfg.Organisations {
		p.shares += max(o.ShareWeight, 1)
	}
	rt.placed.Store(p)
}

func target(e hitchfleet.Endpoint, load hitchadmit.EndpointLoad) hitchplace.Target {
	return hitchplace.Target{Endpoint: e, Load: load.Load, Cold: load.Cold}
}

func versionWeights(route hitchconfig.Route) []hitchplace.VersionWeight {
	return lo.Map(route.Versions, func(v hitchconfig.ModelVersion, _ int) hitchplace.VersionWeight {
		return hitchplace.VersionWeight{Version: v.Name, Weight: float64(v.Weight)}
	})
}

// candidates returns the endpoints to ask for, best first.
func (rt *Router) candidates(ctx context.Context, j *job, p *placement) []hitchfleet.EndpointID {
	pool := p.pools[j.route.ID]
	request := hitchplace.Request{
		Organisation: j.organisation,
		Chat:         j.key,
		Zone:         rt.Self.Zone,
		Subset:       hitchplace.SubsetSize(pool.Len(), p.shareOf(j)),
		Residence:    &rt.residence,
	}
	if j.kind == hitchfleet.KindEngine && !j.located {
		j.entry = rt.locate(ctx, p, j.key)
		j.located = true
	}
	request.Entry = j.entry
	var buffer [maxAsks]hitchplace.Candidate
	return lo.Map(pool.Choose(buffer[:0], request, rt.now()), func(c hitchplace.Candidate, _ int) hitchfleet.EndpointID {
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

// IsPlacing tells whether the router knows an endpoint to place requests at.
func (rt *Router) IsPlacing() bool { return len(rt.placement().pools) > 0 }
