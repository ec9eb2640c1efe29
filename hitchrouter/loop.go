package hitchrouter

import (
	"context"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Periods of the router's own work.
const (
	tickEvery   = 100 * time.Millisecond
	shareEvery  = time.Second
	reportEvery = time.Second
	sweepEvery  = 10 * time.Second
)

// Run does the router's periodic work until ctx is done.
func (rt *Router) Run(ctx context.Context) {
	rt.holder.Self = rt.Self.ID
	var group sync.WaitGroup
	group.Go(func() { every(ctx, tickEvery, rt.tick) })
	group.Go(func() { every(ctx, shareEvery, rt.share) })
	group.Go(func() { every(ctx, reportEvery, func() { rt.collectReports(ctx) }) })
	group.Go(func() { every(ctx, reportEvery, func() { rt.collectCacheEvents(ctx) }) })
	group.Go(func() { every(ctx, hitchadmit.HeartbeatInterval, rt.heartbeat) })
	if rt.Bookings != nil {
		group.Go(func() { rt.careForBookings(ctx) })
	}
	group.Wait()
}

// every calls f at once and then each period until ctx is done.
func every(ctx context.Context, period time.Duration, f func()) {
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

// tick ends what has passed its deadline at the endpoints that this router owns.
func (rt *Router) tick() { rt.notify(rt.Owners.Tick(rt.now(), nil)) }

// share spreads the loads and places by the newest ones.
func (rt *Router) share() {
	rt.shareLoads()
	rt.rebuild()
	rt.loads.keep(rt.placement().endpoints)
}

// heartbeat renews the slots that this router holds.
func (rt *Router) heartbeat() {
	owners := rt.placement().owners
	beats := rt.holder.Heartbeats(func(id hitchfleet.EndpointID) (hitchfleet.Instance, bool) {
		owner, ok := owners[id]
		return owner, ok
	})
	for _, beat := range beats {
		rt.tellAdmit(beat.To, hitchadmit.Packet{Heartbeats: beat.Heartbeats})
	}
}
