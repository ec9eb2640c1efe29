package hitchrouter

import (
	"context"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Intervals of the router's periodic work.
const (
	tickInterval   = 100 * time.Millisecond
	shareInterval  = time.Second
	reportInterval = time.Second
	sweepInterval  = 10 * time.Second
)

// Run does the router's periodic work until ctx is done.
func (rt *Router) Run(ctx context.Context) {
	rt.heldSlots.Self = rt.Self.ID
	rt.Quarantine.SetRank(rt.trialRank)
	var group sync.WaitGroup
	group.Go(func() { runEvery(ctx, tickInterval, rt.tick) })
	group.Go(func() { runEvery(ctx, shareInterval, rt.shareAndRebuild) })
	group.Go(func() { runEvery(ctx, reportInterval, func() { rt.collectReports(ctx) }) })
	group.Go(func() { runEvery(ctx, reportInterval, func() { rt.collectCacheEvents(ctx) }) })
	group.Go(func() { runEvery(ctx, hitchadmit.HeartbeatInterval, rt.sendHeartbeats) })
	group.Go(func() { rt.shareNews(ctx) })
	if rt.Bookings != nil {
		group.Go(func() { rt.maintainBookings(ctx) })
	}
	group.Wait()
}

// runEvery calls f at once and then once per period until ctx is done.
func runEvery(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tick removes what has expired at the endpoints that this router owns, and delivers
// the decisions that result.
func (rt *Router) tick() { rt.deliverDecisions(rt.Admission.Tick(rt.now(), nil)) }

// shareAndRebuild shares this router's loads and rebuilds the placement with the
// latest loads of all endpoints.
func (rt *Router) shareAndRebuild() {
	rt.shareLoads()
	rt.shareSuspicions()
	rt.rebuildPlacement()
	rt.loads.removeUnlisted(rt.placement().endpoints)
}

// sendHeartbeats renews the slots that this router holds, by a heartbeat to each
// owner.
func (rt *Router) sendHeartbeats() {
	owners := rt.placement().owners
	beats := rt.heldSlots.Heartbeats(func(id hitchfleet.EndpointID) (hitchfleet.Instance, bool) {
		owner, ok := owners[id]
		return owner, ok
	})
	for _, beat := range beats {
		rt.sendAdmissionPacket(beat.To, hitchadmit.Packet{Heartbeats: beat.Heartbeats})
	}
}
