package hitchsoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Bounds of the guarantees.
const (
	// revocationBound is how long after its revocation a key may still be accepted by
	// instances whose connection to the store works.
	revocationBound = 2 * time.Second
	// endpointRemovalBound is how long after its removal an endpoint may still get
	// requests from such instances.
	endpointRemovalBound = 2 * time.Second
	// faultSettleTime is how long the effects of a fault may last after its end.
	faultSettleTime = 3 * time.Second
	// recoveryBound is how long after the last fault the fleet must have recovered.
	// minRecoveredRatio is the minimum ratio of later calls that must succeed.
	recoveryBound     = 5 * time.Second
	minRecoveredRatio = 0.99
)

// Violation is a guarantee that was violated, for a call if Call is set.
type Violation struct {
	Guarantee string
	Call      string
	Detail    string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("Violation=%s Call=%s Detail=%q", v.Guarantee, v.Call, v.Detail)
}

// checker compares the results of calls with the runs that endpoints logged.
type checker struct {
	// start and end are the start and end time of the soak.
	start time.Time
	end   time.Time
	plan  []Fault
	// variant is that of the soak.
	variant string
	// addrs holds the addresses of the instances.
	addrs  []string
	runLog *hitchstandin.RunLog
	// sends are how often each attempt was sent; one that isn't listed was sent once.
	sends map[string]attemptSends
	// rollouts are the orders of the soak.
	rollouts []rollout
}

// checkCall returns the violations that one call shows.
func (c *checker) checkCall(x call) (out []Violation) {
	add := func(guarantee, format string, args ...any) {
		out = append(out, Violation{Guarantee: guarantee, Call: x.Attempt, Detail: fmt.Sprintf(format, args...)})
	}
	runs := c.runLog.Runs(x.Attempt)
	isBooking := strings.HasPrefix(x.Path, "/booking/") || strings.HasPrefix(x.Path, hitchstandin.OncePrefix)
	sends := c.sendsOf(x)
	if isBooking && sends.ranTooOften(runs) {
		add("AtMostOnce", "sent %d times, %d runs: %v", sends.sent, len(runs), runs)
	}
	if promisesNotRun(x.Status) && len(runs) > sends.sent-sends.refused {
		add("NotRun", "refused as not run %d of %d times, but ran: %v", sends.refused, sends.sent, runs)
	}
	if x.Mismatch != "" {
		add("OwnWholeAnswer", "%s", x.Mismatch)
	}
	if stops, ok := c.plannedWork(x); ok && x.Err != nil && !c.isCutAtDeadline(x) {
		if guarantee := c.cutGuarantee(x, stops); guarantee != "" {
			add(guarantee, "%s", c.describeCut(x))
		}
	}
	if x.IsDropped && !c.wasKilled(x) {
		add("Answered", "%s at %s, %s after the start: the request was read and the connection closed without a response", x.Path, x.Instance, x.Begin.Sub(c.start))
	}
	for _, r := range runs {
		if sends.sent == 1 || !r.At.Before(x.Begin) {
			c.checkRun(x, r, add)
		}
	}
	return out
}

// attemptSends are how often an attempt was sent, once or twice, and how many of these were refused as not run.
type attemptSends struct {
	sent, refused int
	// lastBegin is when it was sent last. isKnown is set if what became of it before is known: a run of
	// an earlier send then isn't later than that.
	lastBegin time.Time
	isKnown   bool
	// lastIsKnown is the same for the last send.
	lastIsKnown bool
}

// ranTooOften reports whether a send has run more than once.
func (s attemptSends) ranTooOften(runs []hitchstandin.Run) bool {
	before := 0
	for _, r := range runs {
		if r.At.Before(s.lastBegin) {
			before++
		}
	}
	return len(runs) > s.sent || before > 1 || s.isKnown && len(runs)-before > 1
}

// with returns the figures with one more call.
func (s attemptSends) with(x call) attemptSends {
	s.sent++
	s.isKnown = s.sent == 1 || s.lastIsKnown
	s.lastBegin, s.lastIsKnown = x.Begin, x.Err == nil && (x.Status == http.StatusOK || promisesNotRun(x.Status))
	if promisesNotRun(x.Status) {
		s.refused++
	}
	return s
}

// countSends counts how often attempts were sent.
func (c *checker) countSends(calls []call) {
	c.sends = make(map[string]attemptSends)
	for _, x := range calls {
		c.sends[x.Attempt] = c.sends[x.Attempt].with(x)
	}
}

// sendsOf returns how often the attempt of a call was sent.
func (c *checker) sendsOf(x call) attemptSends {
	if sends, ok := c.sends[x.Attempt]; ok {
		return sends
	}
	return attemptSends{}.with(x)
}

// promisesNotRun reports whether a status promises that the request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// checkRun checks the organisation and the endpoint of a run.
func (c *checker) checkRun(x call, r hitchstandin.Run, add func(guarantee, format string, args ...any)) {
	if want := fmt.Sprintf("organisation-%d", x.Key); r.Organisation == "" {
		add("Organisation", "ran without an organisation, want %s", want)
	}
	for _, f := range c.plan {
		begin, end := c.start.Add(f.Begin), c.start.Add(f.End)
		switch {
		case f.Kind == RevokeKey && f.Target == x.Key && x.Begin.After(begin.Add(revocationBound)) && r.At.Before(end) && c.isStoreUndisturbed(begin, r.At):
			add("Configuration", "ran with a key that was revoked %s earlier", x.Begin.Sub(begin))
		case f.Kind == LeaveEndpoint && r.Endpoint == endpointName(f.Target) && x.Begin.After(begin.Add(endpointRemovalBound)) && r.At.Before(end) && c.isStoreUndisturbed(begin, r.At):
			add("LeavingEndpoint", "ran at %s, which was removed %s earlier", r.Endpoint, x.Begin.Sub(begin))
		}
	}
}

// isStoreUndisturbed reports whether no fault affected the instances or their
// connections to the store during an interval and faultSettleTime before it.
func (c *checker) isStoreUndisturbed(from, to time.Time) bool {
	for _, f := range c.plan {
		switch f.Kind {
		case KillInstance, StopInstance, PauseInstance, SilenceStore, PauseStore, CompactStore:
			if c.overlaps(f, from.Add(-faultSettleTime), to) {
				return false
			}
		case RestoreStore:
			// What was in force before the store went away stays in force.
			if c.overlaps(f, from.Add(-faultSettleTime), from.Add(revocationBound)) {
				return false
			}
		}
	}
	return true
}

// plannedWork returns the number of planned stops that could affect a call, and false if
// another fault may make it fail. Planned stops, reloads, a small share of processor
// time, revoked keys, endpoints that leave or ask for a pause, shed requests, compaction
// of the store and its return from an older copy must not make a call fail, nor must
// silence of a sound endpoint, and series of reloads and of configurations.
func (c *checker) plannedWork(x call) (stops int, ok bool) {
	for _, f := range c.plan {
		if !c.overlaps(f, x.Begin.Add(-faultSettleTime), x.End) {
			continue
		}
		switch f.Kind {
		case StopInstance:
			stops++
		case RevokeKey, LeaveEndpoint, ShedRequests, CompactStore, ThrottleInstance, ReloadInstance, StopAgain, RestoreStore, AnnounceLeave, AskForPause:
		case FallSilentBeforeAnswer, FallSilentBeforeFirstEvent, FallSilentInStream, ChangeConfigs, ReloadSeries:
		case NameQuota:
		case SpoilAnswers: // harmless to the calls whose responses weren't spoiled
		default:
			return 0, false
		}
	}
	return stops, true
}

// wasKilled reports whether the instance of a call was killed during the call.
func (c *checker) wasKilled(x call) bool {
	return slices.ContainsFunc(c.plan, func(f Fault) bool {
		return f.Kind == KillInstance && c.addrs[f.Target] == x.Instance && c.overlaps(f, x.Begin, x.End)
	})
}

// overlaps reports whether a fault takes effect during an interval.
func (c *checker) overlaps(f Fault, from, to time.Time) bool {
	return c.start.Add(f.Begin).Before(to) && from.Before(c.start.Add(f.effectEnd()))
}

// isAfterRecovery reports whether a call began more than recoveryBound after the last
// fault. The rest of a stream isn't counted, as no endpoint of its version may be left.
func (c *checker) isAfterRecovery(x call) bool {
	return !x.IsResumption && x.Begin.After(c.end.Add(recoveryBound-faultFreeEnd))
}
