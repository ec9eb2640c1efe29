package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
)

// zoneBound is the time after which a zone that was taken out gets no new work,
// in seconds.
const zoneBound = 3.0

// zoneShape is a steady load with answers that take a while.
var zoneShape = shape{perEngine: 8, answerTokens: 120, tokensPerSecond: 200, prefillPerSecond: 50_000}

// ZoneExit takes an availability zone out under load, and back. Value is how long
// after the accept the zone's engines still got new work, in seconds.
func ZoneExit(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := zoneShape.apply(s.deployment())
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	zone := fleet.Deployment.Zone(1)
	y := newTally()
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, zoneShape).run(ctx, fleetSend(fleet, s.Organisations), y)
		close(done)
	})
	watch := &zoneWatch{fleet: fleet, zone: zone}
	pauseFor(ctx, time.Duration(s.Seconds)*time.Second/4)
	_, err = change(ctx, fleet.Routers()[0], hitchconfig.Intent{Kind: hitchconfig.TakeZoneOut, Zone: zone})
	accepted := time.Now()
	if err == nil {
		watch.until(ctx, accepted.Add(time.Duration(s.Seconds)*time.Second/3))
		_, err = change(ctx, fleet.Routers()[1], hitchconfig.Intent{Kind: hitchconfig.ReturnZone, Zone: zone})
	}
	returned := time.Now()
	for err == nil && watch.submitted() == watch.last && time.Since(returned) < forceLimit {
		pauseFor(ctx, forceStep)
	}
	group.Wait()
	if err != nil {
		return r, err
	}
	r = Result{Measure: "ZoneExit", Bound: zoneBound, Table: Table{Columns: []string{
		"Zone", "Turns", "Refused", "Failed", "Crossed", "NewAfterAccept", "LastNewSeconds", "WorkAfterReturn", "FirstTokenP95Ms", "Tries",
	}}}
	if !watch.lastAt.IsZero() {
		r.Value = watch.lastAt.Sub(accepted).Seconds()
	}
	r.Table = r.Table.With(zone, y.turns, y.refused, y.failed, y.crossed, watch.news, r.Value, watch.submitted()-watch.last, millisAt(y.firstToken, percentileHigh), y.tries)
	r.Met = r.Value <= r.Bound && y.failed == 0 && y.crossed == 0 && y.refused == 0
	if y.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", y.lastErr))
	}
	return r, nil
}

// zoneWatch looks for new work in a zone.
type zoneWatch struct {
	fleet  *hitchdev.Fleet
	zone   hitchfleet.AvailabilityZone
	last   uint64
	lastAt time.Time
	news   uint64
}

// until watches the zone until a time.
func (z *zoneWatch) until(ctx context.Context, end time.Time) {
	z.last = z.submitted()
	for time.Now().Before(end) && ctx.Err() == nil {
		if n := z.submitted(); n > z.last {
			z.news += n - z.last
			z.last, z.lastAt = n, time.Now()
		}
		pauseFor(ctx, forceStep)
	}
}

// submitted counts the requests that the zone's engines were given.
func (z *zoneWatch) submitted() (n uint64) {
	for _, host := range z.fleet.Engines() {
		if host.Endpoint.Zone == z.zone {
			n += host.Engine.Records().Submitted
		}
	}
	return n
}
