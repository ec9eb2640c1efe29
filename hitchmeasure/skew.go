package hitchmeasure

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// sampleEvery is how often the engines' loads are read.
const sampleEvery = 50 * time.Millisecond

// skewFloor is the mean load, in tokens, below which the mean says nothing: the
// floor of admission over the bound.
const skewFloor = 64 << 10

// skewShape is long answers, so that the engines hold much work at a time.
var skewShape = shape{perEngine: 10, answerTokens: 200, tokensPerSecond: 100, prefillPerSecond: 20_000}

// skewSamples holds the largest load over the mean at each sample.
type skewSamples struct {
	overMean []float64
	overSet  []float64
	means    []float64
}

// sample reads the engines' loads until done is closed.
func (c *contender) sample(done <-chan struct{}) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.skew.add(c.loads())
		case <-done:
			return
		}
	}
}

func (k *skewSamples) add(loads []float64) {
	if len(loads) == 0 {
		return
	}
	total := 0.0
	for _, load := range loads {
		total += load
	}
	mean := total / float64(len(loads))
	if mean == 0 {
		return
	}
	most := slices.Max(loads)
	k.means = append(k.means, mean)
	k.overMean = append(k.overMean, most/mean)
	k.overSet = append(k.overSet, most/max(mean*loadBound, skewFloor))
}

// steady returns the largest loads over the mean while the load was on: at its start
// and end a few requests stand for a mean.
func (k *skewSamples) steady() []float64 {
	least := at(k.means, percentileMedian) / 2
	var all []float64
	for i, mean := range k.means {
		if mean >= least {
			all = append(all, k.overMean[i])
		}
	}
	return all
}

// loadBound is the set multiple of the mean in the measurement's configuration.
const loadBound = 2

// at returns a percentile of samples.
func at(samples []float64, percentile float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(percentile/100*float64(len(sorted))), len(sorted)-1)]
}

// Skew measures the largest load over the mean of the engines. The bound holds if
// no engine has more than the set multiple of the mean, or than the floor below
// which the mean says nothing.
func Skew(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	contenders, err := contendersOf(ctx, s, skewShape)
	if err != nil {
		return r, err
	}
	runAll(ctx, s, skewShape, contenders, false)
	r = Result{Measure: "Skew", Bound: 1, Table: Table{Columns: []string{
		"Placement", "MaxOverMean", "P99OverMean", "MedianOverMean", "MeanTokens", "MaxOverSet", "Refused", "Failed", "FirstTokenP95Ms",
	}}}
	for _, c := range contenders {
		steady := c.skew.steady()
		r.Table = r.Table.With(c.name, at(steady, 100), at(steady, percentileTail), at(steady, percentileMedian),
			at(c.skew.means, percentileMedian), at(c.skew.overSet, 100), c.tally.refused, c.tally.failed, millisAt(c.tally.firstToken, percentileHigh))
	}
	r.Value = at(contenders[0].skew.overSet, 100)
	r.Met = r.Value <= r.Bound && contenders[0].tally.crossed == 0
	if err := contenders[0].tally.lastErr; err != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", err))
	}
	r.Notes = append(r.Notes, "MaxOverMean is of the samples whose mean is at least half the median one.",
		"Value is the largest load over the larger of 2 times the mean and the floor of 65536 tokens.")
	return r, nil
}
