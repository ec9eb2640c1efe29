package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
)

// ZoneLoss ends all routers and engines of an availability zone at once, under
// load. Value is the number of turns that no try of their callers brought a whole
// answer for.
func ZoneLoss(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := zoneShape.apply(s.deployment())
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	before, after := newTally(), newTally()
	half := s
	half.Seconds = s.Seconds / 2
	serve := fleetSend(fleet, s.Organisations)
	newWorkload(half, workloadModel, zoneShape).run(ctx, serve, before)
	half.Seed++
	var group sync.WaitGroup
	group.Go(func() { newWorkload(half, workloadModel, zoneShape).run(ctx, serve, after) })
	pauseFor(ctx, time.Second)
	routers, engines, err := loseZone(fleet, d.Zone(1))
	group.Wait()
	if err != nil {
		return r, err
	}
	r = Result{Measure: "ZoneLoss", Table: Table{Columns: []string{
		"When", "Turns", "Tries", "Refused", "Failed", "Crossed", "FirstTokenP50Ms", "FirstTokenP95Ms", "FirstTokenP99Ms",
	}}}
	for _, row := range []struct {
		name string
		y    *tally
	}{{"Before", before}, {"Loss", after}} {
		y := row.y
		r.Table = r.Table.With(row.name, y.turns, y.tries, y.refused, y.failed, y.crossed, millisAt(y.firstToken, percentileMedian),
			millisAt(y.firstToken, percentileHigh), millisAt(y.firstToken, percentileTail))
		if y.lastErr != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("%sLastError=%q", row.name, y.lastErr))
		}
	}
	r.Notes = append(r.Notes, fmt.Sprintf("LostRouters=%d LostEngines=%d", routers, engines))
	r.Value = float64(after.refused + after.failed + after.crossed)
	r.Met = r.Value <= r.Bound
	return r, nil
}

// loseZone ends what is in a zone.
func loseZone(f *hitchdev.Fleet, zone hitchfleet.AvailabilityZone) (routers, engines int, err error) {
	for _, host := range f.Engines() {
		if host.Endpoint.Zone == zone {
			if err := f.KillEngine(host.Endpoint.ID); err != nil {
				return routers, engines, err
			}
			engines++
		}
	}
	var group sync.WaitGroup
	for _, node := range f.Routers() {
		if node.Instance().Zone == zone {
			routers++
			group.Go(func() { f.KillRouter(node) })
		}
	}
	group.Wait()
	return routers, engines, nil
}
