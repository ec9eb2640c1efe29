package hitchadmit

import "time"

// historyInterval is the resolution of a history, and historyLen its number of
// samples. Together they cover the lag of load reports.
const (
	historyInterval = 100 * time.Millisecond
	historyLen      = 64
)

// history keeps the granted usage of an endpoint over the last seconds, so that
// a load report is compared with the grants at the time of its measurement.
type history struct {
	samples []sample
	next    int
}

type sample struct {
	at    time.Time
	usage Usage
}

// record stores the granted usage from now on.
func (h *history) record(now time.Time, usage Usage) {
	if h.samples == nil {
		h.samples = make([]sample, 0, historyLen)
	}
	if n := len(h.samples); n > 0 {
		last := &h.samples[(h.next+n-1)%n]
		if now.Sub(last.at) < historyInterval {
			last.usage = usage
			return
		}
	}
	if len(h.samples) < historyLen {
		h.samples = append(h.samples, sample{at: now, usage: usage})
		return
	}
	h.samples[h.next] = sample{at: now, usage: usage}
	h.next = (h.next + 1) % historyLen
}

// usageAt returns the granted usage at a time, or the zero Usage if the time is
// before the first sample.
func (h *history) usageAt(t time.Time) Usage {
	n := len(h.samples)
	for i := n - 1; i >= 0; i-- {
		s := h.samples[(h.next+i)%n]
		if !s.at.After(t) {
			return s.usage
		}
	}
	return Usage{}
}
