package hitchmeasure

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// sampleInterval is the interval at which the engines' loads are read.
const sampleInterval = 50 * time.Millisecond

// minSkewLoad is the load, in tokens, that an engine may always have, as the bound
// relative to a small mean isn't meaningful. It is the same minimum as in admission.
const minSkewLoad = 64 << 10

// skewShape has long responses, so that engines have many requests at a time.
var skewShape = shape{turnsPerEngine: 10, responseTokens: 200, tokensPerSecond: 100, prefillPerSecond: 20_000}

// skewSamples holds, for each sample, the mean load and the largest load relative to
// the mean and to the limit.
type skewSamples struct {
	overMean  []float64
	overLimit []float64
	means     []float64
}

// sample reads the engines' loads until done is closed.
func (c *variant) sample(done <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.skew.add(c.engineLoads())
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
	maxLoad := slices.Max(loads)
	k.means = append(k.means, mean)
	k.overMean = append(k.overMean, maxLoad/mean)
	k.overLimit = append(k.overLimit, maxLoad/max(mean*loadBoundFactor, minSkewLoad))
}

// underLoad returns the largest loads relative to the mean, without the samples at the
// start and end of the load, whose mean is of only a few requests.
func (k *skewSamples) underLoad() []float64 {
	minMean := percentileOf(k.means, percentileMedian) / 2
	var all []float64
	for i, mean := range k.means {
		if mean >= minMean {
			all = append(all, k.overMean[i])
		}
	}
	return all
}

// loadBoundFactor is the load bound as a multiple of the mean, as in the measurement's
// configuration.
const loadBoundFactor = 2

// percentileOf returns a percentile of the samples, or 0 without samples.
func percentileOf(samples []float64, percentile float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(percentile/100*float64(len(sorted))), len(sorted)-1)]
}

// Skew measures the largest load of an engine relative to the mean. The bound is met
// if no engine ever has more load than the larger of loadBoundFactor times the mean and
// minSkewLoad.
func Skew(ctx context.Context, s Settings) (r Result, err error) {
	s = s.WithDefaults()
	variants, err := startVariants(ctx, s, skewShape)
	if err != nil {
		return r, err
	}
	runVariants(ctx, s, skewShape, variants, false)
	r = Result{Measure: "Skew", Bound: 1, Table: Table{Columns: []string{
		"Placement", "MaxOverMean", "P99OverMean", "MedianOverMean", "MeanTokens", "MaxOverSet", "Refused", "Failed", "FirstTokenP95Ms",
	}}}
	for _, c := range variants {
		overMean := c.skew.underLoad()
		r.Table = r.Table.With(c.name, percentileOf(overMean, 100), percentileOf(overMean, percentileTail), percentileOf(overMean, percentileMedian),
			percentileOf(c.skew.means, percentileMedian), percentileOf(c.skew.overLimit, 100), c.tally.refused, c.tally.failed, millisAt(c.tally.firstToken, percentileHigh))
	}
	r.Value = percentileOf(variants[0].skew.overLimit, 100)
	r.Met = r.Value <= r.Bound && variants[0].tally.mismatched == 0
	if err := variants[0].tally.lastErr; err != nil {
		r.Notes = append(r.Notes, fmt.Sprintf("LastError=%q", err))
	}
	r.Notes = append(r.Notes, "MaxOverMean is the maximum of the samples whose mean is at least half the median mean.",
		"Value is the largest load relative to the larger of 2 times the mean and 65536 tokens.")
	return r, nil
}
