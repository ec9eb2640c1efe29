package hitchsoak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Bounds of the promises.
const (
	// configBound is how long after a change a revoked key may still be served by
	// instances whose path to the store is sound.
	configBound = 2 * time.Second
	// leaveBound is the same for an endpoint that left.
	leaveBound = 2 * time.Second
	// settleAfter is how long after a fault its effects are over.
	settleAfter = 3 * time.Second
	// recoverWithin is how long after the last fault all is served again, and
	// recoveredShare what must be served then.
	recoverWithin  = 5 * time.Second
	recoveredShare = 0.99
)

// Violation is a promise that didn't hold for a call.
type Violation struct {
	Promise string
	Call    string
	Detail  string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("Violation=%s Call=%s Detail=%q", v.Promise, v.Call, v.Detail)
}

// checker judges calls by what endpoints saw.
type checker struct {
	// start and end are those of the soak.
	start  time.Time
	end    time.Time
	plan   []Fault
	ledger *hitchstandin.RunLog
}

// check returns the violations of one call.
func (c *checker) check(x call) (out []Violation) {
	add := func(promise, format string, args ...any) {
		out = append(out, Violation{Promise: promise, Call: x.Attempt, Detail: fmt.Sprintf(format, args...)})
	}
	runs := c.ledger.Runs(x.Attempt)
	isBooking := strings.HasPrefix(x.Path, "/booking/")
	if isBooking && len(runs) > 1 {
		add("AtMostOnce", "%d runs: %v", len(runs), runs)
	}
	if x.Status == http.StatusServiceUnavailable && len(runs) > 0 {
		add("NotRun", "refused as not run, but: %v", runs)
	}
	if x.Wrong != "" {
		add("OwnWholeAnswer", "%s", x.Wrong)
	}
	if x.Err != nil && c.onlyPlannedStop(x) {
		add("PlannedStop", "%s at %s, %s after the start: %v", x.Path, x.Instance, x.Begin.Sub(c.start), x.Err)
	}
	for _, r := range runs {
		c.checkRun(x, r, add)
	}
	return out
}

// checkRun judges where and for whom a request ran.
func (c *checker) checkRun(x call, r hitchstandin.Run, add func(promise, format string, args ...any)) {
	if want := fmt.Sprintf("organisation-%d", x.Key); r.Organisation == "" {
		add("Organisation", "ran for nobody, want %s", want)
	}
	for _, f := range c.plan {
		begin, end := c.start.Add(f.Begin), c.start.Add(f.End)
		switch {
		case f.Kind == RevokeKey && f.Target == x.Key && x.Begin.After(begin.Add(configBound)) && r.At.Before(end) && c.isStoreSound(begin, r.At):
			add("Configuration", "ran with a key that was revoked %s before", x.Begin.Sub(begin))
		case f.Kind == LeaveEndpoint && r.Endpoint == fmt.Sprintf("e-%d", f.Target) && x.Begin.After(begin.Add(leaveBound)) && r.At.Before(end) && c.isStoreSound(begin, r.At):
			add("LeavingEndpoint", "ran at %s, which left %s before", r.Endpoint, x.Begin.Sub(begin))
		}
	}
}

// isStoreSound tells whether nothing was wrong with processes or their paths to
// the store from some time before an interval on.
func (c *checker) isStoreSound(from, to time.Time) bool {
	for _, f := range c.plan {
		switch f.Kind {
		case KillInstance, StopInstance, PauseInstance, SilenceStore, PauseStore, CompactStore:
			if c.overlaps(f, from.Add(-settleAfter), to) {
				return false
			}
		}
	}
	return true
}

// onlyPlannedStop tells whether the only faults near a call were planned stops.
func (c *checker) onlyPlannedStop(x call) bool {
	stops := 0
	for _, f := range c.plan {
		if !c.overlaps(f, x.Begin.Add(-settleAfter), x.End) {
			continue
		}
		switch f.Kind {
		case StopInstance:
			stops++
		case RevokeKey, LeaveEndpoint, ShedRequests, CompactStore:
		default:
			return false
		}
	}
	return stops > 0
}

// overlaps tells whether a fault's effect lies in an interval.
func (c *checker) overlaps(f Fault, from, to time.Time) bool {
	return c.start.Add(f.Begin).Before(to) && from.Before(c.start.Add(f.until()))
}

// isRecovered tells whether a call began late enough after the last fault that it
// must be served.
func (c *checker) isRecovered(x call) bool {
	return x.Begin.After(c.end.Add(recoverWithin - quietEnd))
}
