package hitchmeasure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronhitch.example/citronhitch/hitchdev"
)

// addedLatencyBound is the maximum median time that a router adds to the time to the
// first token, in milliseconds: a tenth of the limit of 1.5 s.
const addedLatencyBound = 150.0

// endpointRampUpTime is how long routers increase the load of a new fleet's endpoints
// until it is unrestricted.
const endpointRampUpTime = 8 * time.Second

// latencyShape is a light load, so that requests don't queue.
var latencyShape = shape{turnsPerEngine: 4, responseTokens: 40, tokensPerSecond: 500, prefillPerSecond: 100_000}

// Latency compares requests through routers with direct requests to the same kind of
// engines, at the same time. Value is the median time that routers add to the time to
// the first token, in milliseconds.
func Latency(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := latencyShape.apply(s.deployment())
	routed, err := startFleetVariant(ctx, s, d)
	if err != nil {
		return r, err
	}
	b := &baseline{name: "Direct", pick: rendezvousPick, pool: &hitchdev.EnginePool{Deployment: d}}
	if err := b.pool.Start(); err != nil {
		return r, err
	}
	direct := b.asVariant()
	sleepFor(ctx, endpointRampUpTime)
	var group sync.WaitGroup
	for _, c := range []*variant{routed, direct} {
		group.Go(func() { newWorkload(s, workloadModel, latencyShape).run(ctx, c.serve, c.tally) })
	}
	group.Wait()
	routed.stop()
	direct.stop()
	r = Result{Measure: "Latency", Bound: addedLatencyBound, Table: Table{Columns: []string{
		"Figure", "ThroughMs", "DirectMs", "Ratio",
	}}}
	row := func(name string, a, b *hdrhistogram.Histogram, percentile float64) {
		routedMillis, directMillis := millisAt(a, percentile), millisAt(b, percentile)
		r.Table = r.Table.With(name, routedMillis, directMillis, routedMillis/directMillis)
	}
	row("FirstTokenP50", routed.tally.firstToken, direct.tally.firstToken, percentileMedian)
	row("FirstTokenP99", routed.tally.firstToken, direct.tally.firstToken, percentileTail)
	row("TokenGapP50", routed.tally.tokenGap, direct.tally.tokenGap, percentileMedian)
	row("TokenGapP99", routed.tally.tokenGap, direct.tally.tokenGap, percentileTail)
	r.Value = millisAt(routed.tally.firstToken, percentileMedian) - millisAt(direct.tally.firstToken, percentileMedian)
	r.Met = r.Value <= r.Bound && routed.tally.failed+routed.tally.refused+routed.tally.mismatched == 0
	return r, nil
}
