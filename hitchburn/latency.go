package hitchburn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Precision of the histograms.
const (
	// tick is the unit that histograms count in.
	tick = 100 * time.Microsecond
	// maxTicks is the longest time that is told apart: 100 s.
	maxTicks = 1_000_000
	// significantDigits keeps quantiles within 1%.
	significantDigits = 2
	// turnSeconds is how long a histogram is filled before the next one.
	turnSeconds = 3600
)

// latency holds the times of one to two hours: those of the hour that runs and of
// the one before. The zero value is empty.
type latency struct {
	hour            int64
	current, before *hdrhistogram.Histogram
}

// add records a time; one beyond the range counts as the longest.
func (l *latency) add(now time.Time, d time.Duration) {
	l.turn(now)
	if l.current == nil {
		l.current = newHistogram()
	}
	_ = l.current.RecordValue(min(max(int64(d/tick), 1), maxTicks))
}

// turn begins a new hour. The histogram of the hour before last is used again.
func (l *latency) turn(now time.Time) {
	hour := now.Unix() / turnSeconds
	if hour <= l.hour {
		return
	}
	if hour > l.hour+1 && l.current != nil {
		l.current.Reset()
	}
	l.current, l.before = l.before, l.current
	if l.current != nil {
		l.current.Reset()
	}
	l.hour = hour
}

// encode returns the times in the HdrHistogram V2 compressed encoding, or nil if
// there are none.
func (l *latency) encode(now time.Time) []byte {
	l.turn(now)
	return encode(merged(l.current, l.before))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTicks, significantDigits)
}

// merged returns a new histogram with the times of all; each may be nil.
func merged(all ...*hdrhistogram.Histogram) *hdrhistogram.Histogram {
	sum := newHistogram()
	for _, h := range all {
		if h != nil {
			sum.Merge(h)
		}
	}
	return sum
}

func encode(h *hdrhistogram.Histogram) []byte {
	if h.TotalCount() == 0 {
		return nil
	}
	data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return data
}

// decode reads a histogram. Bytes that aren't one give an empty histogram.
func decode(data []byte) *hdrhistogram.Histogram {
	if len(data) == 0 {
		return newHistogram()
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return newHistogram()
	}
	return h
}

// joined returns the times of two encoded histograms.
func joined(a, b []byte) []byte {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	default:
		return encode(merged(decode(a), decode(b)))
	}
}
