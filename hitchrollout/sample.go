package hitchrollout

import (
	"math"
)

// usualShare returns the share of bad responses that the old versions let expect: an upper
// estimate, as a good version mustn't be rolled back for their luck. Before there are many
// responses, that is about 0.5% of failures, and 5, 3 and 1% of slow responses.
func usualShare(old cell, metric int, scale float64) float64 {
	const priorTotal = 40
	prior, least := 0.2, 0.006
	if metric != failureMetric {
		prior, least = [...]float64{2, 1.2, 0.4}[(metric-timeMetric)%len(slowBuckets)], 0.006
	}
	share := (old.bad + prior) / (old.total + priorTotal)
	share += math.Sqrt(share * (1 - share) / (scale*old.total + priorTotal))
	return min(max(share, least), 0.9)
}

// sample is what is compared: runs of endpoints of the new version.
type sample struct {
	cell
	runs []cell
	// others are the responses of runs that weren't counted one by one.
	others cell
	// faulty is the chance that an endpoint is faulty.
	faulty float64
	// scale is what a response counts for.
	scale float64
}

// logRatio returns the logarithm of the likelihood ratio of two shares of bad responses. Each run
// may also be one of a faulty endpoint, whatever the version.
func (s sample) logRatio(usual, bad float64) (ratio float64) {
	bulk := s.others
	for _, run := range s.runs {
		if run.bad < 0.5 || run.total >= 10 && run.bad < 0.1*run.total {
			bulk = bulk.plus(run) // certainly no faulty endpoint
			continue
		}
		faulty := s.logFaulty(run)
		sound := math.Log1p(-s.faulty)
		ratio += logSum(sound+s.logLikelihood(run, bad), faulty) - logSum(sound+s.logLikelihood(run, usual), faulty)
	}
	return ratio + s.logLikelihood(bulk, bad) - s.logLikelihood(bulk, usual)
}

// logFaulty returns the logarithm of the likelihood that an endpoint is faulty and has the counts.
func (s sample) logFaulty(run cell) float64 {
	sum := math.Inf(-1)
	for _, rate := range faultyRates {
		sum = logSum(sum, s.logLikelihood(run, rate))
	}
	return sum + math.Log(s.faulty/float64(len(faultyRates)))
}

// logLikelihood returns the logarithm of the likelihood of a share of bad responses.
func (s sample) logLikelihood(c cell, share float64) float64 {
	return s.scale * (c.bad*math.Log(share) + (c.total-c.bad)*math.Log1p(-share))
}

// logSum returns log(exp(a) + exp(b)).
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
