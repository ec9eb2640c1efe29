package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RollingRestart replaces every router in turn by a graceful shutdown under load.
// Value is the number of turns that were cut, crossed or had no answer.
func RollingRestart(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := zoneShape.apply(s.deployment())
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	s.Seconds = max(s.Seconds, s.Routers*restartSeconds)
	y := newTally()
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, zoneShape).run(ctx, fleetSend(fleet, s.Organisations), y)
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
	r.Table = r.Table.With(restarted, took.Seconds(), y.turns, y.tries, y.refused, y.failed, y.crossed, millisAt(y.firstToken, percentileHigh))
	r.Value = float64(y.failed + y.crossed + y.refused)
	r.Met = r.Value <= r.Bound && restarted == s.Routers
	if y.lastErr != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", y.lastErr))
	}
	r.Notes = append(r.Notes, "Tries above Turns are requests that found a listener closed and went to the next address.")
	return r, nil
}

// restartSeconds is how long the restart of one router takes, at least.
const restartSeconds = 4
