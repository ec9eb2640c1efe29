package hitchrouter

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Times of the care for journals in the key-value service.
const (
	janitorEvery = 10 * time.Minute
	janitorLimit = time.Minute
	lookupLimit  = 5 * time.Second
)

// janitor cares for the journals of all homes: it ends homes that stay lost,
// resolves doubts that a route's services can tell the truth of, and removes
// journals that nobody can ask for any more. One router of the fleet does it.
type janitor struct {
	router *Router
	// lost are the homes that were lost at the last round.
	lost map[hitchclaim.HomeID]bool
}

// round does one round, if this router is the one to do it.
func (n *janitor) round(ctx context.Context) {
	homes := n.router.homes()
	if len(homes) == 0 || homes[0].ID != n.router.Self.ID {
		n.lost = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, janitorLimit)
	defer cancel()
	ledgers, err := n.router.ledgers(ctx)
	if err != nil {
		n.router.log().Warn("journals not read", "Error", err)
		return
	}
	lost := make(map[hitchclaim.HomeID]bool)
	for _, ledger := range ledgers {
		if !ledger.IsFenced() && n.router.isLost(ledger.Home) {
			lost[ledger.Home] = true
		}
		n.care(ctx, ledger)
	}
	n.lost = lost
}

// care does what one journal needs.
func (n *janitor) care(ctx context.Context, ledger hitchclaim.Ledger) {
	now := n.router.now()
	if !ledger.IsFenced() {
		if n.lost[ledger.Home] {
			n.router.fence(ctx, &hitchclaim.Fencing{Home: ledger.Home})
		}
		return
	}
	for _, doubt := range ledger.Doubts(now) {
		if truth, ok := n.router.lookUp(ctx, doubt); ok {
			err := n.router.resolveDoubt(ctx, ledger, doubt, truth)
			n.router.log().Info("doubt looked up", "Key", doubt.Record.Run.Key.String(), "Outcome", truth.Outcome.String(), "Error", err)
			return // the journal has changed; the rest comes in the next round
		}
	}
	for _, command := range ledger.Remove(now) {
		if n.router.Bookings.Store.Do(ctx, command).Status != hitchclaim.StoreDone {
			return
		}
	}
}

// isLost tells whether no live router runs bookings as this home.
func (rt *Router) isLost(home hitchclaim.HomeID) bool {
	current, ok := rt.homeIDs.of(home.Instance)
	return !rt.isLive(home.Instance) || ok && current.Incarnation > home.Incarnation
}

// outcomeAnswer is what a service tells of a booking, at the route's OutcomePath.
type outcomeAnswer struct {
	Ran bool
}

// lookUp asks all endpoints of a route what became of a booking: it ran if one of
// them says so, and didn't if all say so.
func (rt *Router) lookUp(ctx context.Context, d hitchclaim.Doubt) (hitchclaim.Truth, bool) {
	v := rt.View()
	route, ok := v.Index.Route(d.Record.Route)
	if !ok || route.Service.OutcomePath == "" {
		return hitchclaim.Truth{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupLimit)
	defer cancel()
	asked := 0
	for _, e := range v.Endpoints {
		if e.Route != route.ID {
			continue
		}
		asked++
		call := lookUpCall(route, d.Record.Run.Key)
		var ev hitchoutcome.Evidence
		answer, err := rt.Forward.Do(ctx, call, e, &ev)
		if err != nil {
			return hitchclaim.Truth{}, false
		}
		var outcome outcomeAnswer
		if answer.Status != http.StatusOK || json.Unmarshal(answer.Body, &outcome) != nil {
			return hitchclaim.Truth{}, false
		}
		if outcome.Ran {
			return hitchclaim.Truth{Outcome: hitchoutcome.Ran, Status: http.StatusOK}, true
		}
	}
	return hitchclaim.Truth{Outcome: hitchoutcome.NotRun}, asked > 0
}

func lookUpCall(route hitchconfig.Route, key hitchclaim.KeyID) hitchforward.Call {
	path := strings.ReplaceAll(route.Service.OutcomePath, "{key}", key.String())
	return hitchforward.Call{Method: http.MethodGet, Path: path, Idempotent: true}
}

// fenceFormer ends the homes that earlier processes ran under this router's ID:
// this process runs, so they don't.
func (rt *Router) fenceFormer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, janitorLimit)
	defer cancel()
	ledgers, err := rt.ledgers(ctx)
	if err != nil {
		return
	}
	self := rt.Bookings.Self()
	for _, ledger := range ledgers {
		if ledger.Home.Instance == self.Instance && ledger.Home.Incarnation < self.Incarnation && !ledger.IsFenced() {
			rt.fence(ctx, &hitchclaim.Fencing{Home: ledger.Home})
		}
	}
}

// careForBookings does the periodic work on bookings until ctx is done.
func (rt *Router) careForBookings(ctx context.Context) {
	rt.fenceFormer(ctx)
	n := janitor{router: rt}
	next := rt.now().Add(janitorEvery)
	every(ctx, sweepEvery, func() {
		now := rt.now()
		rt.Bookings.sweep(now)
		rt.bindings.SetRouters(len(rt.View().Live))
		if !now.Before(next) {
			next = now.Add(janitorEvery)
			n.round(ctx)
		}
	})
}
