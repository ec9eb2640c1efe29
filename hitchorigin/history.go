package hitchorigin

import "time"

// Horizon is how long a version or service counts after it was last there. A stream that
// began before has ended, and its caller has returned or given up.
const Horizon = time.Minute

// history holds what is there now and what was there within the horizon. The zero value
// is empty.
type history[T comparable] struct {
	// leftAt is when a value was last there; the zero time if it is there now.
	leftAt map[T]time.Time
}

// update replaces what is there now, and deletes what left before the horizon.
func (h *history[T]) update(now time.Time, present map[T]bool) {
	if h.leftAt == nil {
		h.leftAt = make(map[T]time.Time)
	}
	for v, leftAt := range h.leftAt {
		switch {
		case present[v]:
		case leftAt.IsZero():
			h.leftAt[v] = now
		case now.Sub(leftAt) >= Horizon:
			delete(h.leftAt, v)
		}
	}
	for v := range present {
		h.leftAt[v] = time.Time{}
	}
}

// note records that a value was there, and reports whether it was unknown.
func (h *history[T]) note(now time.Time, v T) (isNew bool) {
	leftAt, ok := h.leftAt[v]
	if ok && leftAt.IsZero() {
		return false
	}
	if !ok && len(h.leftAt) >= maxNoted {
		return false
	}
	if h.leftAt == nil {
		h.leftAt = make(map[T]time.Time)
	}
	h.leftAt[v] = now
	return !ok
}

// recent calls f with each value that is there, or was within the horizon.
func (h *history[T]) recent(now time.Time, f func(T)) {
	for v, leftAt := range h.leftAt {
		if leftAt.IsZero() || now.Sub(leftAt) < Horizon {
			f(v)
		}
	}
}
