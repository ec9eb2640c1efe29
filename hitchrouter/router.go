// Package hitchrouter takes a request through a router: who asks, where it
// goes, whether there is room, and what became of it. It joins the decision
// packages; the sockets towards callers and the processes are elsewhere.
//
//	router := &hitchrouter.Router{Self: self}
//	router.SetView(view)
//	err := router.Stream(ctx, chat, stream)
package hitchrouter

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchplace"
)

// retryLater is when a caller may come back after a refusal whose cause says
// nothing better.
const retryLater = time.Second

// Router takes requests through. Its fields are set before the first request.
type Router struct {
	Self    hitchfleet.Instance
	Forward *hitchforward.Client
	Log     hclog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Peers reaches the other routers.
	Peers Peers
	// Owners decides for the endpoints that this router owns.
	Owners hitchadmit.Controller
	// Bookings runs calls that aren't idempotent; nil refuses them.
	Bookings *Bookings

	view      atomic.Pointer[View]
	placed    atomic.Pointer[placement]
	leaving   atomic.Bool
	holder    hitchadmit.HeldSlots
	waiting   shards[chan hitchadmit.Decision]
	loads     loadTable
	models    modelTable
	directory hitchplace.Directory
	residence hitchplace.Residence
	failures  hitchplace.Failures
	cacheSeen cacheCursors
	reports   http.Client
	budgets   budgets
	homeIDs   homeTable
	bindings  hitchclaim.BindingBudget
}

// SetView replaces what the router knows of the fleet. It is called by one
// goroutine at a time.
func (rt *Router) SetView(v *View) {
	rt.view.Store(v)
	rt.rebuild()
	if v.Index == nil {
		return
	}
	rt.Owners.Limits = admitLimits(v.Index.Limits())
	rt.notify(rt.Owners.SetFleetView(rt.now(), rt.members(v), nil))
}

// admitLimits returns the configuration's limits as admission reads them.
func admitLimits(l hitchconfig.Limits) hitchadmit.Limits {
	const percent = 100
	return hitchadmit.Limits{
		BoundFactor: float64(l.LoadBoundPercent) / percent,
		ColdLimit:   int64(l.ColdRequests),
		QueueLimit:  l.QueueLength,
	}
}

// members returns a view as admission needs it.
func (rt *Router) members(v *View) hitchadmit.FleetView {
	m := hitchadmit.FleetView{
		Self:          rt.Self.ID,
		LiveRouters:   v.Live,
		ListedRouters: v.Listed,
		ValidUntil:    v.Until,
		Endpoints:     lo.Filter(v.Endpoints, func(e hitchfleet.Endpoint, _ int) bool { return !v.Index.Configuration().Endpoint(e.ID).Drained }),
		ZonesOut:      v.zonesOut(),
	}
	for _, o := range v.Index.Configuration().Organisations {
		m.Weights = append(m.Weights, hitchadmit.Weight{Organisation: o.ID, Weight: float64(max(o.ShareWeight, 1))})
	}
	return m
}

// View returns what the router knows of the fleet.
func (rt *Router) View() *View {
	if v := rt.view.Load(); v != nil {
		return v
	}
	return &View{}
}

func (rt *Router) now() time.Time {
	if rt.Now != nil {
		return rt.Now()
	}
	return time.Now()
}

func (rt *Router) log() hclog.Logger {
	if rt.Log != nil {
		return rt.Log
	}
	return hclog.NewNullLogger()
}

// Authenticate returns the organisation that an API key belongs to.
func (rt *Router) Authenticate(key string) (hitchconfig.Organisation, error) {
	if err := rt.Ready(); err != nil {
		return hitchconfig.Organisation{}, err
	}
	organisation, ok := rt.View().Index.OrganisationByKey(key, rt.now())
	if !ok {
		return organisation, hitchoutcome.RefuseUnsent(hitchoutcome.ReasonUnauthenticated, time.Time{}, "the API key isn't known")
	}
	return organisation, nil
}

// Ready returns nil if the router may take new work, or the refusal to give.
func (rt *Router) Ready() error {
	v := rt.View()
	if v.Index == nil || v.Stale {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonStale, rt.now().Add(retryLater), "the router has no configuration that it knows to be current")
	}
	return nil
}

// Leave makes the router tell callers to go elsewhere, and hands its endpoints to
// their next owners. Requests that still come are served until the listener
// closes. It is called once the other routers see this one as leaving.
func (rt *Router) Leave() {
	rt.leaving.Store(true)
	handovers, due := rt.Owners.HandOverEndpoints(rt.now(), nil)
	rt.notify(due)
	live := lo.Reject(rt.View().Live, func(i hitchfleet.Instance, _ int) bool { return i.ID == rt.Self.ID })
	for _, h := range handovers {
		e, ok := rt.placement().endpoints[h.Endpoint]
		if !ok {
			continue
		}
		if next, ok := hitchadmit.Owner(e.ID, e.Region, live); ok {
			rt.tellAdmit(next.ID, hitchadmit.Packet{Handover: &h})
		}
	}
}

// BodyLimit returns the most bytes of a request's body.
func (rt *Router) BodyLimit() int64 {
	v := rt.View()
	if v.Index == nil {
		return int64(hitchconfig.Limits{}.WithDefaults().BodyBytes)
	}
	return int64(v.Index.Limits().BodyBytes)
}

// ModelRoute returns the engine route that an organisation asks for.
func (rt *Router) ModelRoute(organisation hitchconfig.Organisation, id hitchfleet.RouteID) (hitchconfig.Route, error) {
	route, ok := rt.View().Index.Route(id)
	if !ok || route.Kind != hitchconfig.EngineRoute || !organisation.MayCall(id) {
		return route, noRoute()
	}
	return route, nil
}

// ServiceRoute returns the service route whose prefix covers a path.
func (rt *Router) ServiceRoute(organisation hitchconfig.Organisation, path string) (hitchconfig.Route, error) {
	route, ok := rt.View().Index.RouteForPath(path)
	if !ok || !organisation.MayCall(route.ID) {
		return route, noRoute()
	}
	return route, nil
}

// noRoute doesn't tell a route that is missing from one that the organisation
// may not call, so that nothing leaks of the routes of others.
func noRoute() error {
	return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonNoRoute, time.Time{}, "there is no such route for this organisation")
}
