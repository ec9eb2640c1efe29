package hitchingress

import "time"

// Times of a silent attempt.
const (
	// eventTimeoutFactor is the time between two events after which a stream counts as
	// silent, as a multiple of the route's objective for this gap.
	eventTimeoutFactor = 3
	// minEventTimeout is the lower limit of that time.
	minEventTimeout = time.Second
	// standbyInterval is how often another endpoint is looked for while an attempt stays
	// silent and there is none.
	standbyInterval = 250 * time.Millisecond
	// maxPathSilence is how long an attempt has no response at most until the path is doubted, if
	// no endpoint has responded meanwhile.
	maxPathSilence = time.Second
)

// resetTimer sets the timer to when the current attempt is silent, if that is known.
func (f *follower) resetTimer() {
	f.timer.Stop()
	if at, ok := f.silentAt(); ok && f.allowsStandby() {
		f.timer.Reset(time.Until(at))
	}
}

// silentAt returns when the current attempt is silent if nothing arrives until then. It
// returns false if there is no objective for its first byte, or no sample of the wait.
func (f *follower) silentAt() (at time.Time, ok bool) {
	if f.req.stream.headerSent && f.current.hasData {
		return f.progressAt.Add(f.req.eventTimeout()), true
	}
	return f.req.firstByteDeadline(f.current)
}

// eventTimeout returns the time between two events after which a stream is silent.
func (req *proxyRequest) eventTimeout() time.Duration {
	return max(time.Duration(req.route.GapMilliseconds)*time.Millisecond*eventTimeoutFactor, minEventTimeout)
}

// firstByteDeadline returns when an attempt without a first byte is silent. A request that
// may be retried turns to another endpoint before the latency objective is missed. It
// returns false if there is no objective or no sample of the wait.
func (req *proxyRequest) firstByteDeadline(a *attempt) (at time.Time, ok bool) {
	objective := time.Duration(req.route.ObjectiveMilliseconds) * time.Millisecond
	if objective <= 0 {
		return time.Time{}, false
	}
	timeout, ok := req.serviceState.firstByteLatency.Timeout(objective, a.pick.UncachedTokens)
	return a.sentAt.Add(timeout), ok
}

// doubtAt returns when an attempt without a response makes the path doubtful.
func (req *proxyRequest) doubtAt(a *attempt) time.Time {
	at := a.sentAt.Add(maxPathSilence)
	if late, ok := req.firstByteDeadline(a); ok && late.Before(at) {
		return late
	}
	return at
}

// isAwaited reports whether the current attempt still waits for what another endpoint
// could send: a plain response isn't given up once its header has arrived.
func (f *follower) isAwaited() bool {
	a := f.current
	return a.response == nil || f.req.isStreaming(a)
}

// allowsStandby reports whether one more endpoint may run the request, if each open
// attempt does.
func (f *follower) allowsStandby() bool {
	return f.req.retryState.AllowsAttemptBeside(f.openRuns())
}

// openRuns returns how many runs the open attempts may make together.
func (f *follower) openRuns() int {
	runs := f.current.maxRuns
	for _, a := range f.standbys {
		runs += a.maxRuns
	}
	return runs
}
