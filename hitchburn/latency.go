package hitchburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Precision of the histograms.
const (
	// histogramUnit is the unit of histogram values.
	histogramUnit = 100 * time.Microsecond
	// maxUnits is the largest histogram value: 100 s.
	maxUnits = 1_000_000
	// significantDigits limits the error of quantiles to 1%.
	significantDigits = 2
	// rotationSeconds is the time after which a new histogram is started.
	rotationSeconds = 3600
)

// latencyHistogram holds the latencies of the current and the previous hour, that is
// of the last one to two hours. The zero value is empty.
type latencyHistogram struct {
	hour              int64
	current, previous *hdrhistogram.Histogram
}

// add records a latency; values above the range are recorded as its maximum.
func (l *latencyHistogram) add(now time.Time, d time.Duration) {
	l.rotate(now)
	if l.current == nil {
		l.current = newHistogram()
	}
	_ = l.current.RecordValue(min(max(int64(d/histogramUnit), 1), maxUnits))
}

// rotate starts a new histogram if a new hour has begun. It reuses the histogram of
// the hour before last.
func (l *latencyHistogram) rotate(now time.Time) {
	hour := now.Unix() / rotationSeconds
	if hour <= l.hour {
		return
	}
	if hour > l.hour+1 && l.current != nil {
		l.current.Reset()
	}
	l.current, l.previous = l.previous, l.current
	if l.current != nil {
		l.current.Reset()
	}
	l.hour = hour
}

// encode returns the latencies in the HdrHistogram V2 compressed encoding, or nil if
// there are none.
func (l *latencyHistogram) encode(now time.Time) []byte {
	l.rotate(now)
	return encodeHistogram(mergeHistograms(l.current, l.previous))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxUnits, significantDigits)
}

// mergeHistograms returns a new histogram with the values of all; each may be nil.
func mergeHistograms(all ...*hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newHistogram()
	for _, h := range all {
		if h != nil {
			sum.Merge(h)
		}
	}
	return sum
}

func encodeHistogram(h *hdrhistogram.Histogram) []byte {
	if h.TotalCount() == 0 {
		return nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return data
}

// decodeHistogram decodes a histogram. It returns an empty one for invalid data.
func decodeHistogram(data []byte) *hdrhistogram.Histogram {
	if len(data) == 0 {
		return newHistogram()
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return newHistogram()
	}
	return h
}

// mergeEncoded merges two encoded histograms.
func mergeEncoded(a, b []byte) []byte {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	default:
		return encodeHistogram(mergeHistograms(decodeHistogram(a), decodeHistogram(b)))
	}
}
