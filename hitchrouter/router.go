// Package hitchrouter processes the requests of a router: it authenticates the caller,
// chooses an endpoint, acquires a slot there, forwards the request with retries, and
// reports the outcome. It combines the packages that make these decisions; the HTTP
// server and the process are in other packages.
//
// Calls that aren't idempotent run as bookings, at most once per booking key. Each key
// names its home: the one incarnation of a router that may run it. Each chat has a home
// router, whose directory holds the endpoint that served the chat last.
//
//	router := &hitchrouter.Router{Self: self}
//	router.SetView(view)
//	err := router.StreamChat(ctx, chat, stream)
package hitchrouter

import (
	"sync"
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
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchplace"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchquota"
)

// defaultRetryDelay is the time after which a caller may retry, for refusals whose
// cause gives no better time.
const defaultRetryDelay = time.Second

// Router processes requests. Its fields must be set before the first request.
type Router struct {
	Self    hitchfleet.Instance
	Forward *hitchforward.Client
	Log     hclog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Peers sends requests and shared values to the other routers.
	Peers Peers
	// Admission decides on slot requests for the endpoints that this router owns.
	Admission hitchadmit.Controller
	// Bookings runs calls that aren't idempotent; if it is nil, they are refused.
	Bookings *Bookings

	// IgnoreQuotas is set if endpoints may get more requests than they say they take.
	IgnoreQuotas bool

	// quotas holds the quotas that endpoints name, and permitIssuer gives permits for those
	// that this router owns.
	quotas       hitchquota.Tracker
	permitIssuer hitchquota.Issuer
	// Quarantine decides which requests are refused, as endpoints crash at them.
	Quarantine hitchquarantine.Tracker
	// path is the state of this router's own path to the endpoints. It is set up by ownPath.
	path     hitchpath.Monitor
	pathOnce sync.Once
	// crashes watches endpoints that lost requests. It is set up by crashWatch.
	crashes        hitchquarantine.CrashWatch
	crashWatchOnce sync.Once

	view             atomic.Pointer[View]
	currentPlacement atomic.Pointer[placement]
	isDraining       atomic.Bool
	heldSlots        hitchadmit.HeldSlots
	pendingDecisions shardedMap[chan hitchadmit.Decision]
	loads            loadTable
	models           modelTable
	directory        hitchplace.Directory
	evictions        hitchplace.EvictionTracker
	outliers         hitchplace.OutlierDetector
	eventCursors     cacheEventCursors
	retryBudgets     retryBudgets
	homeIDs          homeTable
	bindingLimiter   hitchclaim.BindingLimiter
}

// SetView replaces the router's view of the fleet. It must be called by one goroutine
// at a time.
func (rt *Router) SetView(v *View) {
	rt.view.Store(v)
	rt.crashWatch().ObserveEndpoints(func() []hitchfleet.Endpoint { return v.Endpoints })
	rt.rebuildPlacement()
	if v.Index == nil {
		return
	}
	rt.Admission.Limits = admissionLimits(v.Index.Limits())
	rt.deliverDecisions(rt.Admission.SetFleetView(rt.now(), rt.fleetView(v), nil))
}

// admissionLimits converts the configured limits to those of the admission
// controller.
func admissionLimits(l hitchconfig.Limits) hitchadmit.Limits {
	const percent = 100
	return hitchadmit.Limits{
		BoundFactor: float64(l.LoadBoundPercent) / percent,
		ColdLimit:   int64(l.ColdRequests),
		QueueLimit:  l.QueueLength,
	}
}

// fleetView converts a view to that of the admission controller.
func (rt *Router) fleetView(v *View) hitchadmit.FleetView {
	view := hitchadmit.FleetView{
		Self:          rt.Self.ID,
		LiveRouters:   v.LiveRouters,
		ListedRouters: v.ListedRouters,
		ValidUntil:    v.ValidUntil,
		Endpoints:     lo.Filter(v.Endpoints, func(e hitchfleet.Endpoint, _ int) bool { return !v.Index.Configuration().Endpoint(e.ID).Drained }),
		ZonesOut:      v.zonesOut(),
	}
	for _, o := range v.Index.Configuration().Organisations {
		view.Weights = append(view.Weights, hitchadmit.Weight{Organisation: o.ID, Weight: float64(max(o.ShareWeight, 1))})
	}
	return view
}

// View returns the router's current view of the fleet. It is empty before the first
// SetView.
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
		return organisation, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonUnauthenticated, time.Time{}, "the API key isn't known")
	}
	return organisation, nil
}

// Ready returns nil if the router may accept new requests, or else the refusal to
// respond with.
func (rt *Router) Ready() error {
	v := rt.View()
	if v.Index == nil || v.IsConfigStale {
		return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonStale, rt.now().Add(defaultRetryDelay), "the router has no configuration that it knows to be current")
	}
	return nil
}

// StartDraining starts draining the router: callers are directed to other routers, and the
// endpoints that this router owns are handed over to their next owners. Requests that
// still arrive are served until the listener closes. It must be called after the other
// routers have seen this one as leaving.
func (rt *Router) StartDraining() {
	rt.isDraining.Store(true)
	handovers, deferred := rt.Admission.HandOverEndpoints(rt.now(), nil)
	rt.deliverDecisions(deferred)
	live := lo.Reject(rt.View().LiveRouters, func(i hitchfleet.Instance, _ int) bool { return i.ID == rt.Self.ID })
	for _, h := range handovers {
		e, ok := rt.placement().endpoints[h.Endpoint]
		if !ok {
			continue
		}
		if next, ok := hitchadmit.Owner(e.ID, e.Region, live); ok {
			rt.sendAdmissionPacket(next.ID, hitchadmit.Packet{Handover: &h})
		}
	}
}

// BodyLimit returns the maximum size of a request body in bytes.
func (rt *Router) BodyLimit() int64 {
	v := rt.View()
	if v.Index == nil {
		return int64(hitchconfig.Limits{}.WithDefaults().BodyBytes)
	}
	return int64(v.Index.Limits().BodyBytes)
}

// ModelRoute returns the engine route with an ID, if the organisation may call it.
func (rt *Router) ModelRoute(organisation hitchconfig.Organisation, id hitchfleet.RouteID) (hitchconfig.Route, error) {
	route, ok := rt.View().Index.Route(id)
	if !ok || route.Kind != hitchconfig.EngineRoute || !organisation.MayCall(id) {
		return route, noRouteRefusal()
	}
	return route, nil
}

// ServiceRoute returns the service route whose prefix matches a path, if the
// organisation may call it.
func (rt *Router) ServiceRoute(organisation hitchconfig.Organisation, path string) (hitchconfig.Route, error) {
	route, ok := rt.View().Index.RouteForPath(path)
	if !ok || !organisation.MayCall(route.ID) {
		return route, noRouteRefusal()
	}
	return route, nil
}

// noRouteRefusal returns the refusal for a missing route and for a route that the
// organisation may not call. It is the same for both, so that an organisation can't
// detect the routes of others.
func noRouteRefusal() error {
	return hitchoutcome.RefuseNotRun(hitchoutcome.ReasonNoRoute, time.Time{}, "there is no such route for this organisation")
}
