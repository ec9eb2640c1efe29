package hitchadmit

import "time"

// historyEvery is the resolution of a history and historyLen its samples; together
// they cover the lag of load reports.
const (
	historyEvery = 100 * time.Millisecond
	historyLen   = 64
)

// history remembers what was outstanding at an endpoint in the last seconds, so
// that a lagging load report is compared with the grants of its own time.
type history struct {
	samples []sample
	next    int
}

type sample struct {
	at      time.Time
	holding Holding
}

// record notes what is outstanding from now on.
func (h *history) record(now time.Time, holding Holding) {
	if h.samples == nil {
		h.samples = make([]sample, 0, historyLen)
	}
	if n := len(h.samples); n > 0 {
		last := &h.samples[(h.next+n-1)%n]
		if now.Sub(last.at) < historyEvery {
			last.holding = holding
			return
		}
	}
	if len(h.samples) < historyLen {
		h.samples = append(h.samples, sample{at: now, holding: holding})
		return
	}
	h.samples[h.next] = sample{at: now, holding: holding}
	h.next = (h.next + 1) % historyLen
}

// at returns what was outstanding at a time, as far as the samples tell.
func (h *history) at(t time.Time) Holding {
	n := len(h.samples)
	for i := n - 1; i >= 0; i-- {
		s := h.samples[(h.next+i)%n]
		if !s.at.After(t) {
			return s.holding
		}
	}
	return Holding{}
}
