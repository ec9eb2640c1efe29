// Package hitchingress proxies callers' requests to endpoints. It finds the route
// and the organisation in the active configuration, picks an endpoint with
// hitchbalance, retries as hitchretry decides, and returns the endpoint's complete
// response to the caller.
//
//	gateway := &hitchingress.Gateway{Protocol: protocol, Balancer: &balancer}
//	gateway.SetView(now, view)
//	server := http.Server{Handler: gateway}
package hitchingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchpath"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchquota"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchserver"
	"citronhitch.example/citronhitch/hitchview"
)

// Gateway is an HTTP handler that proxies callers' requests to endpoints. Its
// fields are set before the first request.
type Gateway struct {
	Self     hitchfleet.Instance
	Protocol Protocol
	Balancer *hitchbalance.Balancer
	Conns    *hitchforward.ConnPool
	Log      hclog.Logger
	Metrics  *Metrics
	// RetryRatio and RetrySlack limit the retries of all instances to a service, in the
	// window of a retry budget, to RetryRatio times its requests plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// Bodies bounds the memory of long request bodies.
	Bodies hitchserver.BodyBudget
	// StartedAt is when the instance started, from which on it lacks a configuration
	// until the first view.
	StartedAt time.Time
	// Origins tracks at which versions streams began, and OriginExchange shares that with
	// other instances.
	Origins        hitchorigin.Tracker
	OriginExchange OriginExchange

	// Quarantine decides which requests are refused, as endpoints crash at them. Turns asks for
	// a turn of a trait; nil means that this instance is alone.
	Quarantine hitchquarantine.Tracker
	Turns      func(ctx context.Context, trait hitchquarantine.Trait) hitchquarantine.Turn

	// Path is the state of this instance's own path to the endpoints.
	Path hitchpath.Monitor

	// Quotas holds the quotas that endpoints name. Permits asks for a permit for a request to
	// an endpoint that names one, and Released tells that one has ended at an endpoint that
	// limits those in flight, and whether others wait for room there; nil means that this instance is alone.
	Quotas   hitchquota.Tracker
	Permits  func(ctx context.Context, e hitchfleet.Endpoint) hitchquota.Permit
	Released func(e hitchfleet.Endpoint, isAwaited bool)
	// IgnoreQuotas is set if endpoints may get more requests than they say they take.
	IgnoreQuotas bool
	permitIssuer hitchquota.Issuer

	// Slots asks for slots of services that have few.
	Slots SlotBroker

	crashChecks singleflight.Group
	// crashes watches endpoints that lost requests. It is set up by crashWatch.
	crashes        hitchquarantine.CrashWatch
	crashWatchOnce sync.Once
	view           atomic.Pointer[hitchview.View]
	rollouts       atomic.Pointer[rollouts]
	drain          atomic.Pointer[Drain] // nil unless the instance shuts down
	inFlight       inFlightRequests

	mu            sync.Mutex
	serviceStates map[hitchfleet.ServiceID]*serviceState
	// retrySlack has this instance's share of the part of RetrySlack that is used.
	retrySlack hitchadmit.FleetSlack
	// loggedSharers is the number of instances that share it as logged last.
	loggedSharers int
	// configuredCh is closed with the first configuration. It is nil until Configured is
	// called.
	configuredCh chan struct{}
	isConfigured bool
}

// serviceState holds the retry budget and the measured latency of a service.
type serviceState struct {
	retryBudget      hitchadmit.RetryBudget
	firstByteLatency hitchretry.LatencyEstimator
	// room tells a request that waits for room at an endpoint that there is some, roomPoller holds
	// a value while one of them looks for some, and roomWaiters counts them.
	room, roomPoller chan struct{}
	roomWaiters      atomic.Int64
}

// SetView replaces the view of the fleet that the gateway works with.
func (g *Gateway) SetView(now time.Time, view hitchview.View) {
	// The endpoints of a new version mustn't get requests before its rollout is known.
	g.setRollouts(now, view)
	g.Balancer.SetFleet(now, hitchbalance.Fleet{
		Self:       g.Self.ID,
		Instances:  view.Instances(),
		Endpoints:  view.Endpoints(),
		Leaving:    view.LeavingEndpoints(),
		InZonesOut: view.EndpointsInZonesOut(),
		Table:      view.Table,
	})
	isFirst := g.view.Swap(&view) == nil
	g.crashWatch().ObserveEndpoints(view.AllEndpoints)
	g.updateOrigins(now, view, isFirst)
	g.updateRetrySlack(now, len(view.Instances()))
	if view.Table != nil {
		g.setConfigured()
	}
}

// Configured returns a channel that is closed once the gateway has a configuration.
func (g *Gateway) Configured() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.configuredCh == nil {
		g.configuredCh = make(chan struct{})
		if g.isConfigured {
			close(g.configuredCh)
		}
	}
	return g.configuredCh
}

// setConfigured closes the channel that Configured returns.
func (g *Gateway) setConfigured() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isConfigured && g.configuredCh != nil {
		close(g.configuredCh)
	}
	g.isConfigured = true
}

// View returns the current view of the fleet, which is empty before the first
// SetView.
func (g *Gateway) View() hitchview.View {
	if view := g.view.Load(); view != nil {
		return *view
	}
	return hitchview.View{}
}

// StartDraining makes IsReady return false, and closes callers' connections after the
// next response on each. Requests that still arrive are served if drain accepts them.
func (g *Gateway) StartDraining(drain Drain) { g.drain.Store(&drain) }

// EndRequests ends the requests in flight, and each that still arrives, with a final
// response: a refusal, or an aborted connection if a stream has begun.
func (g *Gateway) EndRequests() { g.inFlight.end() }

// IsReady reports whether the gateway has a configuration and isn't draining.
func (g *Gateway) IsReady() bool {
	return !g.IsDraining() && g.View().Table != nil
}

// IsDraining reports whether StartDraining was called.
func (g *Gateway) IsDraining() bool { return g.drain.Load() != nil }

// InFlight returns the number of requests without a final response.
func (g *Gateway) InFlight() int { return g.inFlight.count() }

// RequestsInFlight returns the requests without a final response, the oldest first.
func (g *Gateway) RequestsInFlight() []InFlightRequest { return g.inFlight.list() }

// serviceState returns the state of a service, which is created on first use.
func (g *Gateway) serviceState(id hitchfleet.ServiceID) *serviceState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serviceStates == nil {
		g.serviceStates = make(map[hitchfleet.ServiceID]*serviceState)
	}
	state := g.serviceStates[id]
	if state == nil {
		state = &serviceState{
			retryBudget: hitchadmit.RetryBudget{Ratio: retryRatioShare * g.RetryRatio},
			room:        make(chan struct{}), roomPoller: make(chan struct{}, 1),
		}
		state.retryBudget.SetSlack(g.retrySlack)
		g.serviceStates[id] = state
	}
	return state
}

// splitFraction returns a number in [0, 1) that selects a service by a route's split
// weights. Requests that share prompt parts get the same number, so that one
// service caches these parts.
func splitFraction(prompt hitchbalance.Prompt) float64 {
	key, ok := prompt.Affinity()
	if !ok {
		return rand.Float64()
	}
	const resolution = 1 << 53
	return float64(hitchfleet.Score(key, splitSalt)%resolution) / resolution
}

// splitSalt makes the hash that selects a service independent of the other uses of
// a prompt's hash.
const splitSalt hitchfleet.Key = 0x73706c6974
