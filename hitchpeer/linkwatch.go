package hitchpeer

import "time"

// Timing of the watch over connections.
const (
	// echoAfter is how long a connection with calls in flight may be quiet before
	// it is tested.
	echoAfter = 800 * time.Millisecond
	// echoSpacing is the time between two tests.
	echoSpacing = 400 * time.Millisecond
	// silentAfter is how long tests may go unanswered.
	silentAfter = 1600 * time.Millisecond
	// linkIdleTimeout is how long a connection is kept without use.
	linkIdleTimeout = 2 * time.Minute
	// trustedFor is how long after a sign of life a connection is used for a call
	// without a test.
	trustedFor = 2 * time.Second
)

type linkAction uint8

const (
	linkKeep linkAction = iota
	linkEcho
	linkSilent
	linkIdle
)

// linkWatch decides when a connection is tested, given up as silent, or closed
// as idle. Its zero value watches a connection on which nothing happened yet.
type linkWatch struct {
	heardAt time.Time
	usedAt  time.Time
	// echoDueAt is the earliest time of the next test.
	echoDueAt time.Time
	// silentAt is when the connection counts as silent; zero while no test is
	// unanswered.
	silentAt time.Time
	calls    int
}

func (w linkWatch) withHeard(now time.Time) linkWatch {
	w.heardAt = now
	w.usedAt = now
	w.echoDueAt = now.Add(echoAfter)
	w.silentAt = time.Time{}
	return w
}

func (w linkWatch) withCalls(now time.Time, change int) linkWatch {
	w.calls += change
	w.usedAt = now
	if earliest := now.Add(echoAfter); change > 0 && w.echoDueAt.Before(now) {
		w.echoDueAt = earliest
	}
	return w
}

// trusted reports whether the connection has shown life lately.
func (w linkWatch) trusted(now time.Time) bool {
	return w.silentAt.IsZero() && now.Sub(w.heardAt) < trustedFor
}

// update returns the next state at a time, and what is to be done.
func (w linkWatch) update(now time.Time) (linkWatch, linkAction) {
	if w.calls == 0 {
		if now.Sub(w.usedAt) >= linkIdleTimeout {
			return w, linkIdle
		}
		return w, linkKeep
	}
	if !w.silentAt.IsZero() && !now.Before(w.silentAt) {
		return w, linkSilent
	}
	if now.Before(w.echoDueAt) {
		return w, linkKeep
	}
	w.echoDueAt = now.Add(echoSpacing)
	if w.silentAt.IsZero() {
		w.silentAt = now.Add(silentAfter)
	}
	return w, linkEcho
}
