package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RollingRestart replaces every router, one at a time, by a graceful shutdown under
// load. Value is the number of turns that failed, were refused or got a mismatched
// response.
func RollingRestart(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := steadyShape.apply(s.deployment())
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	s.Seconds = max(s.Seconds, s.Routers*minRestartSeconds)
	results := newTally()
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, steadyShape).run(ctx, newFleetSender(fleet, s.Organisations), results)
	})
	start := time.Now()
	restarted := 0
	for _, node := range fleet.Routers() {
		if _, err = fleet.AddRouter(ctx); err != nil {
			break
		}
		if err = fleet.StopRouter(ctx, node); err != nil {
			break
		}
		restarted++
	}
	took := time.Since(start)
	group.Wait()
	if err != nil {
		return r, err
	}
	r = Result{Measure: "RollingRestart", Table: Table{Columns: []string{
		"Restarted", "Seconds", "Turns", "Tries", "Refused", "Failed", "Crossed", "FirstTokenP95Ms",
	}}}
	r.Table = r.Table.With(restarted, took.Seconds(), results.turns, results.attempts, results.refused, results.failed, results.mismatched, millisAt(results.firstToken, percentileHigh))
	r.Value = float64(results.failed + results.mismatched + results.refused)
	r.Met = r.Value <= r.Bound && restarted == s.Routers
	if results.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", results.lastErr))
	}
	r.Notes = append(r.Notes, "Tries above Turns are requests that were retried at the next address because a listener was closed.")
	return r, nil
}

// minRestartSeconds is the minimum time that the restart of one router takes.
const minRestartSeconds = 4
