package hitchmeasure

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// errCrossed says that an answer wasn't the whole one to its own request.
var errCrossed = errors.New("the answer isn't the whole answer to this request")

// Range of the histograms, in microseconds.
const (
	histogramLeast   = 1
	histogramMost    = 120_000_000
	histogramDigits  = 2
	percentileMedian = 50
	percentileHigh   = 95
	percentileTail   = 99
)

// tally counts what came of the turns of a load.
type tally struct {
	mu         sync.Mutex
	turns      int
	returning  int
	prompt     int
	cached     int
	refused    int
	failed     int
	crossed    int
	tries      int
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	lastErr    error
}

func newTally() *tally {
	return &tally{
		firstToken: hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
		tokenGap:   hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
	}
}

func (y *tally) add(t turn, a hitchclient.ChatResponse, err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.turns++
	y.tries += a.Attempts
	if err != nil {
		y.addFailure(err)
		return
	}
	_ = y.firstToken.RecordValue(a.FirstToken.Sub(a.Started).Microseconds())
	if a.Tokens > 1 {
		_ = y.tokenGap.RecordValue(a.Ended.Sub(a.FirstToken).Microseconds() / int64(a.Tokens-1))
	}
	if !t.IsFirst {
		y.returning++
		y.prompt += a.PromptTokens
		y.cached += a.CachedTokens
	}
}

func (y *tally) addFailure(err error) {
	y.lastErr = err
	var problem *hitchclient.Problem
	switch {
	case errors.Is(err, errCrossed):
		y.crossed++
	case errors.As(err, &problem) && problem.Outcome == hitchoutcome.NotRun:
		y.refused++
	default:
		y.failed++
	}
}

// reuse returns the part of the returning chats' prompt tokens that was cached.
func (y *tally) reuse() float64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.prompt == 0 {
		return 0
	}
	return float64(y.cached) / float64(y.prompt)
}

// millisAt returns a percentile of a histogram in milliseconds.
func millisAt(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
}
