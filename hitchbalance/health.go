package hitchbalance

import "time"

// Ejection times of a failed endpoint or zone.
const (
	// baseEjection is how long an endpoint gets no requests after a failure. Each
	// further failure doubles it, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// probeTimeout is how long one request probes an endpoint after its ejection
	// before another request may.
	probeTimeout = time.Second
)

// health is the state of an endpoint, or of a whole zone, as seen by this
// instance's own requests. A failure ejects it: it gets no requests for a time.
// After that, one request at a time probes it until one gets a response.
type health struct {
	// failures counts the consecutive failures.
	failures     int
	ejectedAt    time.Time
	ejectedUntil time.Time
	// probeUntil is when the present probe times out.
	probeUntil     time.Time
	lastResponseAt time.Time
}

// recordResponse records a response. It reports whether this ends an ejection.
func (h *health) recordResponse(now time.Time) (recovered bool) {
	recovered = h.failures > 0
	h.failures = 0
	h.lastResponseAt = now
	return recovered
}

// recordFailure records a failed request. It reports whether this starts an
// ejection. Requests that were sent before the present ejection don't count again.
func (h *health) recordFailure(now, sentAt time.Time) (ejected bool) {
	if h.failures > 0 && !sentAt.After(h.ejectedAt) {
		return false
	}
	h.ejectedAt = now
	h.ejectedUntil = now.Add(min(baseEjection<<min(h.failures, 8), maxEjection))
	h.probeUntil = time.Time{}
	h.failures++
	return true
}

// isEjected reports whether a request should go elsewhere. A request that may not
// be repeated waits probeTimeout longer, so that repeatable ones probe first.
func (h *health) isEjected(now time.Time, isRetrySafe bool) bool {
	if h.failures == 0 {
		return false
	}
	until := h.ejectedUntil
	if !isRetrySafe {
		until = until.Add(probeTimeout)
	}
	return now.Before(until) || now.Before(h.probeUntil)
}

// endOfEjection returns the end of the present ejection, or the zero time if there is none.
func (h *health) endOfEjection() time.Time {
	if h.failures == 0 {
		return time.Time{}
	}
	return h.ejectedUntil
}

// recordRequest records that a request is sent. After a failure it is a probe.
func (h *health) recordRequest(now time.Time) {
	if h.failures > 0 {
		h.probeUntil = now.Add(probeTimeout)
	}
}

// likelyLeftGracefully reports whether an endpoint whose entry was removed likely
// shut down gracefully and still serves for a while. The entry of a crashed one is
// removed only after three missed heartbeats, during which it responded to nothing.
func (h *health) likelyLeftGracefully(removedAt time.Time, heartbeat time.Duration) bool {
	return h.failures == 0 && removedAt.Sub(h.lastResponseAt) < 2*heartbeat
}
