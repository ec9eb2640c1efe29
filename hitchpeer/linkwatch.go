package hitchpeer

import "time"

// Timing of the liveness checks of connections.
const (
	// echoDelay is how long nothing may be received on a connection with calls in
	// flight before an echo request is sent.
	echoDelay = 800 * time.Millisecond
	// echoInterval is the time between two echo requests.
	echoInterval = 400 * time.Millisecond
	// unresponsiveTimeout is how long echo requests may go unanswered before the
	// connection is closed.
	unresponsiveTimeout = 1600 * time.Millisecond
	// linkIdleTimeout is how long an unused connection is kept open.
	linkIdleTimeout = 2 * time.Minute
	// trustDuration is how long after data was received a connection is used for
	// calls without an echo test.
	trustDuration = 2 * time.Second
)

type linkAction uint8

const (
	linkNoAction linkAction = iota
	linkEcho
	linkUnresponsive
	linkIdle
)

// linkWatch decides when an echo request is sent on a connection and when the
// connection is closed, as unresponsive or as idle. The zero value is for a
// connection that hasn't been used.
type linkWatch struct {
	lastReceivedAt time.Time
	lastUsedAt     time.Time
	// echoDueAt is the earliest time of the next echo request.
	echoDueAt time.Time
	// unresponsiveAt is when the connection counts as unresponsive; zero while no
	// echo request is unanswered.
	unresponsiveAt time.Time
	calls          int
}

func (w linkWatch) withReceived(now time.Time) linkWatch {
	w.lastReceivedAt = now
	w.lastUsedAt = now
	w.echoDueAt = now.Add(echoDelay)
	w.unresponsiveAt = time.Time{}
	return w
}

func (w linkWatch) withCalls(now time.Time, change int) linkWatch {
	w.calls += change
	w.lastUsedAt = now
	if dueAt := now.Add(echoDelay); change > 0 && w.echoDueAt.Before(now) {
		w.echoDueAt = dueAt
	}
	return w
}

// isTrusted reports whether data was received on the connection recently and no echo
// request is unanswered.
func (w linkWatch) isTrusted(now time.Time) bool {
	return w.unresponsiveAt.IsZero() && now.Sub(w.lastReceivedAt) < trustDuration
}

// update returns the state at now and the action to take.
func (w linkWatch) update(now time.Time) (linkWatch, linkAction) {
	if w.calls == 0 {
		if now.Sub(w.lastUsedAt) >= linkIdleTimeout {
			return w, linkIdle
		}
		return w, linkNoAction
	}
	if !w.unresponsiveAt.IsZero() && !now.Before(w.unresponsiveAt) {
		return w, linkUnresponsive
	}
	if now.Before(w.echoDueAt) {
		return w, linkNoAction
	}
	w.echoDueAt = now.Add(echoInterval)
	if w.unresponsiveAt.IsZero() {
		w.unresponsiveAt = now.Add(unresponsiveTimeout)
	}
	return w, linkEcho
}
