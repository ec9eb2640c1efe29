package hitchmeasure

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// errMismatched is returned for a response that is incomplete or belongs to another
// request.
var errMismatched = errors.New("the response is incomplete or belongs to another request")

// Range of the histograms, in microseconds, and percentiles of the tables.
const (
	histogramMin     = 1
	histogramMax     = 120_000_000
	histogramDigits  = 2
	percentileMedian = 50
	percentileHigh   = 95
	percentileTail   = 99
)

// tally collects the results of the turns of a load.
type tally struct {
	mu           sync.Mutex
	turns        int
	laterTurns   int
	promptTokens int
	cachedTokens int
	refused      int
	failed       int
	mismatched   int
	attempts     int
	firstToken   *hdrhistogram.Histogram
	tokenGap     *hdrhistogram.Histogram
	lastErr      error
}

func newTally() *tally {
	return &tally{
		firstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		tokenGap:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (ta *tally) add(t turn, response hitchclient.ChatResponse, err error) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.turns++
	ta.attempts += response.Attempts
	if err != nil {
		ta.addFailure(err)
		return
	}
	_ = ta.firstToken.RecordValue(response.FirstToken.Sub(response.Started).Microseconds())
	if response.Tokens > 1 {
		_ = ta.tokenGap.RecordValue(response.Ended.Sub(response.FirstToken).Microseconds() / int64(response.Tokens-1))
	}
	if !t.IsFirst {
		ta.laterTurns++
		ta.promptTokens += response.PromptTokens
		ta.cachedTokens += response.CachedTokens
	}
}

func (ta *tally) addFailure(err error) {
	ta.lastErr = err
	var problem *hitchclient.Problem
	switch {
	case errors.Is(err, errMismatched):
		ta.mismatched++
	case errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun:
		ta.refused++
	default:
		ta.failed++
	}
}

// reuse returns the ratio of cached prompt tokens in turns after a chat's first one.
func (ta *tally) reuse() float64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.promptTokens == 0 {
		return 0
	}
	return float64(ta.cachedTokens) / float64(ta.promptTokens)
}

// millisAt returns a percentile of a histogram in milliseconds.
func millisAt(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
}
