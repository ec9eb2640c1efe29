// Package hitchingress takes a caller's request through a router of the
// platform: route and organisation by the configuration in force, an endpoint by
// hitchbalance, attempts by hitchretry, and the endpoint's whole answer back.
//
//	gateway := &hitchingress.Gateway{Protocol: protocol, Balancer: &balancer}
//	gateway.SetView(now, view)
//	server := http.Server{Handler: gateway}
package hitchingress

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchview"
)

// Gateway serves callers. Its fields are set before the first request.
type Gateway struct {
	Self     hitchfleet.Instance
	Protocol Protocol
	Balancer *hitchbalance.Balancer
	Conns    *hitchforward.Conns
	Log      hclog.Logger
	Metrics  *Metrics
	// RetryRatio bounds the retries at a service to a part of its requests.
	RetryRatio float64

	view     atomic.Pointer[hitchview.View]
	leaving  atomic.Bool
	inFlight atomic.Int64

	mu       sync.Mutex
	services map[hitchfleet.ServiceID]*service
}

// service is what the gateway learns of a service.
type service struct {
	budget   hitchadmit.RetryBudget
	patience hitchretry.Patience
}

// SetView replaces what the gateway knows of the fleet.
func (g *Gateway) SetView(now time.Time, v hitchview.View) {
	g.Balancer.SetFleet(now, hitchbalance.Fleet{
		Self:      g.Self.ID,
		Instances: v.Instances(),
		Endpoints: v.Endpoints(),
		Leaving:   v.Leaving(),
		Out:       v.InZonesOut(),
		Table:     v.Table,
	})
	g.view.Store(&v)
}

// View returns what the gateway knows of the fleet.
func (g *Gateway) View() hitchview.View {
	if v := g.view.Load(); v != nil {
		return *v
	}
	return hitchview.View{}
}

// Leave makes callers close their connections. Requests that still come are
// served.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// IsReady tells whether the gateway can serve and isn't leaving.
func (g *Gateway) IsReady() bool {
	return !g.leaving.Load() && g.View().Table != nil
}

// InFlight returns the number of requests without a final answer.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// service returns what is learnt of a service.
func (g *Gateway) service(id hitchfleet.ServiceID) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.services == nil {
		g.services = make(map[hitchfleet.ServiceID]*service)
	}
	s := g.services[id]
	if s == nil {
		s = &service{budget: hitchadmit.RetryBudget{Ratio: g.RetryRatio}}
		g.services[id] = s
	}
	return s
}

// draw returns a number in [0, 1) for a route's split. Requests with the same
// prompt draw alike, so that their shared parts stay at one service.
func draw(p hitchbalance.Prompt) float64 {
	key, ok := p.Affinity()
	if !ok {
		return rand.Float64()
	}
	const fraction = 1 << 53
	return float64(hitchfleet.Score(key, splitKey)%fraction) / fraction
}

// splitKey tells the draw of a service from the other uses of a prompt's hash.
const splitKey hitchfleet.Key = 0x73706c6974
