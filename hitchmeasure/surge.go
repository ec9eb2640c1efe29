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
	surgeFactor     = 10
	firstTokenBound = 1.5 // seconds to the first token, 95th percentile
)

// surgeShape is a load whose surge exceeds the engines' capacity.
var surgeShape = shape{turnsPerEngine: 3, responseTokens: 60, tokensPerSecond: 100, prefillPerSecond: 20_000}

// Surge adds a surge of one organisation for a third of the time, at ten times the
// rate of the usual load. Value is the 95th percentile of the time to the first token
// of the usual load, in seconds.
func Surge(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := surgeShape.apply(s.deployment())
	d.MaxRunning = surgeMaxRunning
	fleet, err := s.startFleet(ctx, d)
	if err != nil {
		return r, err
	}
	defer stopFleet(ctx, fleet)
	sleepFor(ctx, endpointRampUpTime)
	others, surging := newTally(), newTally()
	var group sync.WaitGroup
	group.Go(func() {
		newWorkload(s, workloadModel, surgeShape).run(ctx, newFleetSender(fleet, s.Organisations), others)
	})
	sleepFor(ctx, time.Duration(s.Seconds)*time.Second/3)
	surge := s
	surge.Seed, surge.Seconds = s.Seed+1, s.Seconds/3
	sh := surgeShape
	sh.turnsPerEngine *= surgeFactor
	newWorkload(surge, workloadModel, sh).run(ctx, newSurgeSender(fleet), surging)
	group.Wait()
	r = Result{Measure: "Surge", Bound: firstTokenBound, Table: Table{Columns: []string{
		"Organisations", "Turns", "Refused", "Failed", "Crossed", "FirstTokenP50Ms", "FirstTokenP95Ms", "FirstTokenP99Ms", "Tries",
	}}}
	for _, row := range []struct {
		name    string
		results *tally
	}{{"Others", others}, {"Surging", surging}} {
		results := row.results
		r.Table = r.Table.With(row.name, results.turns, results.refused, results.failed, results.mismatched, millisAt(results.firstToken, percentileMedian),
			millisAt(results.firstToken, percentileHigh), millisAt(results.firstToken, percentileTail), results.attempts)
		if results.lastErr != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("%sLastError=%q", row.name, results.lastErr))
		}
	}
	r.Value = millisAt(others.firstToken, percentileHigh) / 1000
	r.Met = r.Value <= r.Bound && others.failed == 0 && others.refused == 0 && others.mismatched+surging.mismatched == 0
	return r, nil
}

// surgeMaxRunning is the maximum number of concurrent requests of an engine.
const surgeMaxRunning = 16

// newSurgeSender returns a sendFunc that sends every turn for the last organisation,
// a small one.
func newSurgeSender(f *hitchdev.Fleet) sendFunc {
	client := f.Client(f.Deployment.Organisations - 1)
	client.MaxAttempts = 2
	return func(ctx context.Context, t turn) (hitchclient.ChatResponse, error) {
		return client.Chat(ctx, "surge-"+t.Chat, t.Body, nil)
	}
}
