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

// Times of the maintenance of journals in the key-value store.
const (
	maintenanceInterval = 10 * time.Minute
	maintenanceTimeout  = time.Minute
	lookupTimeout       = 5 * time.Second
)

// journalMaintainer maintains the journals of all homes: it fences lost homes
// one run after they were found lost, resolves doubts by asking the services of their
// route for the outcome, and removes journals that are no longer needed. Only one
// router of the fleet does this work.
type journalMaintainer struct {
	router *Router
	// lostHomes are the homes that were found lost in the previous run. The next run
	// fences those that aren't fenced yet.
	lostHomes map[hitchclaim.HomeID]bool
}

// runOnce maintains all journals, if this router is the one to do so: the router of
// the first home.
func (m *journalMaintainer) runOnce(ctx context.Context) {
	homes := m.router.homes()
	if len(homes) == 0 || homes[0].ID != m.router.Self.ID {
		m.lostHomes = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	journals, err := m.router.readJournals(ctx)
	if err != nil {
		m.router.log().Warn("booking journals could not be read", "Error", err)
		return
	}
	lost := make(map[hitchclaim.HomeID]bool)
	for _, journal := range journals {
		if !journal.IsFenced() && m.router.isHomeLost(journal.Home) {
			lost[journal.Home] = true
		}
		m.maintain(ctx, journal)
	}
	m.lostHomes = lost
}

// maintain does the work that is due on one journal.
func (m *journalMaintainer) maintain(ctx context.Context, journal hitchclaim.JournalSnapshot) {
	now := m.router.now()
	if !journal.IsFenced() {
		if m.lostHomes[journal.Home] {
			m.router.fenceHome(ctx, &hitchclaim.Fencing{Home: journal.Home})
		}
		return
	}
	for _, doubt := range journal.Doubts(now) {
		if resolution, ok := m.router.lookUpOutcome(ctx, doubt); ok {
			err := m.router.recordResolution(ctx, journal, doubt, resolution)
			m.router.log().Info("looked up the outcome of a booking in doubt", "Key", doubt.Record.Run.Key.String(), "Outcome", resolution.Outcome.String(), "Error", err)
			return // the journal has changed; the next run does the rest
		}
	}
	for _, command := range journal.RemoveCommands(now) {
		if m.router.Bookings.Store.Do(ctx, command).Status != hitchclaim.StoreDone {
			return
		}
	}
}

// isHomeLost reports whether no live router runs this home: its router isn't live, or
// runs a later incarnation.
func (rt *Router) isHomeLost(home hitchclaim.HomeID) bool {
	current, ok := rt.homeIDs.get(home.Instance)
	return !rt.isLive(home.Instance) || ok && current.Incarnation > home.Incarnation
}

// outcomeResponse is a service's response at the route's OutcomePath: whether the
// booking ran.
type outcomeResponse struct {
	Ran bool
}

// lookUpOutcome asks the endpoints of a route for the outcome of a booking. The
// booking ran if one endpoint reports so, and did not run if all report that. It
// returns false if the outcome remains unknown.
func (rt *Router) lookUpOutcome(ctx context.Context, d hitchclaim.Doubt) (hitchclaim.Resolution, bool) {
	v := rt.View()
	route, ok := v.Index.Route(d.Record.Route)
	if !ok || route.Service.OutcomePath == "" {
		return hitchclaim.Resolution{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	queried := 0
	for _, e := range v.Endpoints {
		if e.Route != route.ID {
			continue
		}
		queried++
		call := newOutcomeCall(route, d.Record.Run.Key)
		var tracker hitchoutcome.DispatchTracker
		response, err := rt.Forward.Do(ctx, call, e, &tracker)
		if err != nil {
			return hitchclaim.Resolution{}, false
		}
		var outcome outcomeResponse
		if response.Status != http.StatusOK || json.Unmarshal(response.Body, &outcome) != nil {
			return hitchclaim.Resolution{}, false
		}
		if outcome.Ran {
			return hitchclaim.Resolution{Outcome: hitchoutcome.Ran, Status: http.StatusOK}, true
		}
	}
	return hitchclaim.Resolution{Outcome: hitchoutcome.NotRun}, queried > 0
}

// newOutcomeCall returns the call that asks an endpoint for the outcome of a booking.
func newOutcomeCall(route hitchconfig.Route, key hitchclaim.KeyID) hitchforward.Call {
	path := strings.ReplaceAll(route.Service.OutcomePath, "{key}", key.String())
	return hitchforward.Call{Method: http.MethodGet, Path: path, Idempotent: true}
}

// fencePreviousHomes fences the homes of earlier processes with this router's ID.
// Those processes have ended, as this one runs.
func (rt *Router) fencePreviousHomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	journals, err := rt.readJournals(ctx)
	if err != nil {
		return
	}
	self := rt.Bookings.Self()
	for _, journal := range journals {
		if journal.Home.Instance == self.Instance && journal.Home.Incarnation < self.Incarnation && !journal.IsFenced() {
			rt.fenceHome(ctx, &hitchclaim.Fencing{Home: journal.Home})
		}
	}
}

// maintainBookings does the periodic work on bookings until ctx is done.
func (rt *Router) maintainBookings(ctx context.Context) {
	rt.fencePreviousHomes(ctx)
	m := journalMaintainer{router: rt}
	next := rt.now().Add(maintenanceInterval)
	runEvery(ctx, sweepInterval, func() {
		now := rt.now()
		rt.Bookings.removeExpired(now)
		rt.bindingLimiter.SetRouters(len(rt.View().LiveRouters))
		if !now.Before(next) {
			next = now.Add(maintenanceInterval)
			m.runOnce(ctx)
		}
	})
}
