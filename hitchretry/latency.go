package hitchretry

import (
	"sync"
	"time"
)

// Parameters of the estimates.
const (
	// timeoutObjectiveShare is the share of the latency objective after which an attempt
	// without a response times out while the mean wait is short.
	timeoutObjectiveShare = 0.8
	// timeoutMeanFactor is the multiple of the mean wait after which an endpoint is
	// considered stuck rather than busy.
	timeoutMeanFactor = 4
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.15
	// overdueMeanFactor is the multiple of the mean wait after which a response is
	// overdue.
	overdueMeanFactor = 7
	// minOverdue is the shortest time after which a response is overdue.
	minOverdue = 100 * time.Millisecond
	// minPerTokenRiseDivisor sets how fast minPerToken rises, so that it adapts when
	// endpoints become slower: by 1/minPerTokenRiseDivisor with each sample.
	minPerTokenRiseDivisor = 256
	// prefillFactor is the multiple of the mean prefill time that is added to timeouts.
	prefillFactor = 2
	// minPrefillTokens is the smallest number of uncached tokens whose wait is a sample
	// of the prefill speed. The prefill time of fewer tokens is ignored.
	minPrefillTokens = 1000
)

// LatencyEstimator estimates how long a request should wait for the first byte of a
// response before it is retried at another endpoint. Requests leave a single stuck endpoint
// well before the latency objective is missed. If all endpoints are slow, as in an
// overload, requests stay at their endpoint, since a retry would only repeat the
// prefill of the prompt (the processing of its uncached tokens). The zero value is
// ready to use. Its methods are safe for concurrent use.
//
//	timeout, ok := estimator.Timeout(objective, uncachedTokens)
//	// ... wait for the response until the timeout, or without one if !ok ...
//	estimator.Observe(wait, uncachedTokens)
type LatencyEstimator struct {
	mu sync.Mutex
	// meanWait is the moving average of the waits for prompts without a prefill, and
	// meanPerToken that of the waits per uncached token for prompts with one.
	meanWait     time.Duration
	meanPerToken time.Duration
	// minPerToken is the shortest wait per uncached token, which rises slowly.
	minPerToken time.Duration
}

// Observe records how long a request waited until its first byte or its timeout, and
// the number of uncached tokens of its prompt.
func (e *LatencyEstimator) Observe(wait time.Duration, uncachedTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if uncachedTokens < minPrefillTokens {
		e.meanWait = movingAverage(e.meanWait, wait)
		return
	}
	perToken := wait / time.Duration(uncachedTokens)
	if e.meanPerToken == 0 {
		e.meanPerToken = perToken
	}
	e.meanPerToken = movingAverage(e.meanPerToken, perToken)
	e.minPerToken += e.minPerToken / minPerTokenRiseDivisor
	if e.minPerToken == 0 || perToken < e.minPerToken {
		e.minPerToken = perToken
	}
}

func movingAverage(mean, sample time.Duration) time.Duration {
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// Mean returns the moving average of the waits for prompts without a prefill.
func (e *LatencyEstimator) Mean() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.meanWait
}

// OverdueAfter returns the time after which a response is overdue, as the endpoint is
// likely stuck. It returns false without a sample for such a prompt.
func (e *LatencyEstimator) OverdueAfter(uncachedTokens int) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if uncachedTokens < minPrefillTokens && e.meanWait == 0 {
		return 0, false
	}
	return e.addPrefillTime(max(minOverdue, overdueMeanFactor*e.meanWait), uncachedTokens)
}

// PrefillTokens returns how many prompt tokens an otherwise idle endpoint prefills in a
// period, and 0 without a sample.
func (e *LatencyEstimator) PrefillTokens(period time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.minPerToken <= 0 {
		return 0
	}
	return int(period / e.minPerToken)
}

// Timeout returns the timeout for the first byte of the response to a prompt with a
// number of uncached tokens. It returns false if the prompt needs a prefill and there
// is no sample of the prefill speed.
func (e *LatencyEstimator) Timeout(objective time.Duration, uncachedTokens int) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addPrefillTime(max(time.Duration(timeoutObjectiveShare*float64(objective)), timeoutMeanFactor*e.meanWait), uncachedTokens)
}

// addPrefillTime adds the prefill time of a prompt to a timeout. It returns false if
// there is a prefill and no sample of the prefill speed.
func (e *LatencyEstimator) addPrefillTime(timeout time.Duration, uncachedTokens int) (time.Duration, bool) {
	if uncachedTokens < minPrefillTokens {
		return timeout, true
	}
	return timeout + prefillFactor*e.meanPerToken*time.Duration(uncachedTokens), e.meanPerToken > 0
}
