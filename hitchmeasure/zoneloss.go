package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfleet"
)

// ZoneLoss kills all routers and engines of an availability zone at once, under load.
// Value is the number of turns after the loss that got no complete response in any
// attempt.
func ZoneLoss(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := steadyShape.apply(s.deployment())
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	before, after := newTally(), newTally()
	halfLoad := s
	halfLoad.Seconds = s.Seconds / 2
	serve := newFleetSender(fleet, s.Organisations)
	newWorkload(halfLoad, workloadModel, steadyShape).run(ctx, serve, before)
	halfLoad.Seed++
	var group sync.WaitGroup
	group.Go(func() { newWorkload(halfLoad, workloadModel, steadyShape).run(ctx, serve, after) })
	sleepFor(ctx, time.Second)
	routers, engines, err := killZone(fleet, d.Zone(1))
	group.Wait()
	if err != nil {
		return r, err
	}
	r = Result{Measure: "ZoneLoss", Table: Table{Columns: []string{
		"When", "Turns", "Tries", "Refused", "Failed", "Crossed", "FirstTokenP50Ms", "FirstTokenP95Ms", "FirstTokenP99Ms",
	}}}
	for _, row := range []struct {
		name    string
		results *tally
	}{{"Before", before}, {"Loss", after}} {
		results := row.results
		r.Table = r.Table.With(row.name, results.turns, results.attempts, results.refused, results.failed, results.mismatched, millisAt(results.firstToken, percentileMedian),
			millisAt(results.firstToken, percentileHigh), millisAt(results.firstToken, percentileTail))
		if results.lastErr != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("%sLastError=%q", row.name, results.lastErr))
		}
	}
	r.Notes = append(r.Notes, fmt.Sprintf("LostRouters=%d LostEngines=%d", routers, engines))
	r.Value = float64(after.refused + after.failed + after.mismatched)
	r.Met = r.Value <= r.Bound
	return r, nil
}

// killZone kills all engines and routers of a zone and returns their numbers.
func killZone(f *hitchdev.Fleet, zone hitchfleet.AvailabilityZone) (routers, engines int, err error) {
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
