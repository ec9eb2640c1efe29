package hitchmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchdev"
)

// Sizes of the surge measurement.
const (
	surgeFactor = 10
	firstBound  = 1.5 // seconds to the first token for 95 in 100
)

// surgeShape is engines that the surge fills.
var surgeShape = shape{perEngine: 3, answerTokens: 60, tokensPerSecond: 100, prefillPerSecond: 20_000}

// Surge lets one organisation send ten times its share for a third of the time.
// Value is the time to the first token of the other organisations, in seconds for
// 95 in 100.
func Surge(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := surgeShape.apply(s.deployment())
	d.MaxRunning = surgeRunning
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	pauseFor(ctx, rampTime)
	others, surging := newTally(), newTally()
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, surgeShape).run(ctx, fleetSend(fleet, s.Organisations), others)
	})
	pauseFor(ctx, time.Duration(s.Seconds)*time.Second/3)
	surge := s
	surge.Seed, surge.Seconds = s.Seed+1, s.Seconds/3
	sh := surgeShape
	sh.perEngine *= surgeFactor
	newWorkload(surge, workloadModel, sh).run(ctx, oneOrganisation(fleet), surging)
	group.Wait()
	r = Result{Measure: "Surge", Bound: firstBound, Table: Table{Columns: []string{
		"Organisations", "Turns", "Refused", "Failed", "Crossed", "FirstTokenP50Ms", "FirstTokenP95Ms", "FirstTokenP99Ms", "Tries",
	}}}
	for _, row := range []struct {
		name string
		y    *tally
	}{{"Others", others}, {"Surging", surging}} {
		y := row.y
		r.Table = r.Table.With(row.name, y.turns, y.refused, y.failed, y.crossed, millisAt(y.firstToken, percentileMedian),
			millisAt(y.firstToken, percentileHigh), millisAt(y.firstToken, percentileTail), y.tries)
		if y.lastErr != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("%sLastError=%q", row.name, y.lastErr))
		}
	}
	r.Value = millisAt(others.firstToken, percentileHigh) / 1000
	r.Met = r.Value <= r.Bound && others.failed == 0 && others.refused == 0 && others.crossed+surging.crossed == 0
	return r, nil
}

// surgeRunning is how many requests an engine of the surge runs at once.
const surgeRunning = 16

// oneOrganisation sends every turn as the last organisation, a small one.
func oneOrganisation(f *hitchdev.Fleet) send {
	client := f.Client(f.Deployment.Organisations - 1)
	client.MaxAttempts = 2
	return func(ctx context.Context, t turn) (hitchclient.ChatResponse, error) {
		return client.Chat(ctx, "surge-"+t.Chat, t.Body, nil)
	}
}
