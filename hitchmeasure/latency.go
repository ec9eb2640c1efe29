package hitchmeasure

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronhitch.example/citronhitch/hitchdev"
)

// latencyBound is the most time that a router adds to the first token, at the
// median, in milliseconds: a tenth of the promise of 1.5 s.
const latencyBound = 150.0

// rampTime is how long the endpoints of a new fleet are brought up to full work.
const rampTime = 8 * time.Second

// latencyShape is a light load, so that no request waits for another.
var latencyShape = shape{perEngine: 4, answerTokens: 40, tokensPerSecond: 500, prefillPerSecond: 100_000}

// Latency compares calls through routers with direct calls to the same kind of
// engines, at the same time. Value is what routers add to the first token at the
// median, in milliseconds.
func Latency(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	d := latencyShape.apply(s.deployment())
	ours, err := fleetContender(ctx, s, d)
	if err != nil {
		return r, err
	}
	b := &baseline{name: "Direct", pick: rendezvousPick, pool: &hitchdev.EnginePool{Deployment: d}}
	if err := b.pool.Start(); err != nil {
		return r, err
	}
	direct := b.contender()
	pauseFor(ctx, rampTime)
	var group sync.WaitGroup
	for _, c := range []*contender{ours, direct} {
		group.Go(func() { newWorkload(s, workloadModel, latencyShape).run(ctx, c.serve, c.tally) })
	}
	group.Wait()
	ours.stop()
	direct.stop()
	r = Result{Measure: "Latency", Bound: latencyBound, Table: Table{Columns: []string{
		"Figure", "ThroughMs", "DirectMs", "Ratio",
	}}}
	row := func(name string, a, b *hdrhistogram.Histogram, percentile float64) {
		through, straight := millisAt(a, percentile), millisAt(b, percentile)
		r.Table = r.Table.With(name, through, straight, through/straight)
	}
	row("FirstTokenP50", ours.tally.firstToken, direct.tally.firstToken, percentileMedian)
	row("FirstTokenP99", ours.tally.firstToken, direct.tally.firstToken, percentileTail)
	row("TokenGapP50", ours.tally.tokenGap, direct.tally.tokenGap, percentileMedian)
	row("TokenGapP99", ours.tally.tokenGap, direct.tally.tokenGap, percentileTail)
	r.Value = millisAt(ours.tally.firstToken, percentileMedian) - millisAt(direct.tally.firstToken, percentileMedian)
	r.Met = r.Value <= r.Bound && ours.tally.failed+ours.tally.refused+ours.tally.crossed == 0
	return r, nil
}
