package hitchview

import (
	"sync"
	"time"
)

// storeHealth tracks whether the store can be reached. The zero value has no
// successful call yet. Its methods are safe for concurrent use.
type storeHealth struct {
	mu sync.Mutex
	// succeededAt is when the last call succeeded.
	succeededAt time.Time
	// failedSince is when the first call after succeededAt failed; the zero time
	// if none did.
	failedSince time.Time
	// recoveredAt is when the last outage of more than outageThreshold ended.
	recoveredAt time.Time
}

// Periods that follow an outage of the store.
const (
	// expiredGrace is how long to keep an entry whose lease expired during the
	// outage. If its endpoint is alive, the endpoint's next heartbeat writes the
	// entry again.
	expiredGrace = 2200 * time.Millisecond
	// expiryReportWindow is how long after an outage the store may still report
	// entries that expired during it. A later removal has another cause and gets
	// no grace period.
	expiryReportWindow = 500 * time.Millisecond
)

// recordSuccess records a successful call. If it ends a series of failed calls,
// it returns the time since the first of them and true.
func (h *storeHealth) recordSuccess(now time.Time) (outage time.Duration, ended bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failedSince.IsZero() {
		outage, ended = now.Sub(h.failedSince), true
		if outage > outageThreshold {
			h.recoveredAt = now
		}
	}
	h.succeededAt, h.failedSince = now, time.Time{}
	return outage, ended
}

// recordFailure records a failed call. It returns true for the first failure
// after a success.
func (h *storeHealth) recordFailure(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failedSince.IsZero() {
		return false
	}
	h.failedSince = now
	return true
}

// lastSuccess returns the time of the last successful call.
func (h *storeHealth) lastSuccess() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.succeededAt
}

// isUnreachable reports whether the last call failed or the last success is too
// old.
func (h *storeHealth) isUnreachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failedSince.IsZero() || now.Sub(h.succeededAt) > outageThreshold+probeInterval
}

// keepExpiredUntil returns until when to keep entries that are removed now. The
// zero time means that they are removed immediately. A store that a hub has reached since
// reachableSince came back then at the latest, even if this instance was cut off for longer.
func (h *storeHealth) keepExpiredUntil(now, reachableSince time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recoveredAt.IsZero() || now.Sub(h.recoveredAt) > expiryReportWindow {
		return time.Time{}
	}
	if !reachableSince.IsZero() && reachableSince.Before(h.recoveredAt) {
		return reachableSince.Add(expiredGrace)
	}
	return h.recoveredAt.Add(expiredGrace)
}
