package hitchsoak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// Bounds of what endpoints say about themselves.
const (
	// leavingBound is how long after a response that says so an instance may still send
	// requests to an endpoint that leaves.
	leavingBound = 2 * time.Second
	// pauseSlack is how long after a request for a pause requests in flight may still
	// arrive, and maxInPause how many may arrive later.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
)

// link is an instance's use of an endpoint.
type link struct{ instance, endpoint string }

// leavingNotice is a response that says that its endpoint leaves.
type leavingNotice struct {
	runAt       time.Time
	forwardedAt time.Time
}

// checkNotices checks that instances send nothing to endpoints that said that they leave
// or asked for a pause.
func (c *checker) checkNotices(calls []call) (out []Violation) {
	calls = slices.Clone(calls)
	slices.SortFunc(calls, func(a, b call) int { return cmp.Compare(a.Begin.UnixNano(), b.Begin.UnixNano()) })
	return append(c.checkLeaving(calls), c.checkPauses(calls)...)
}

// checkLeaving returns the calls that reached an endpoint too late after the same
// instance had forwarded its notice that it leaves.
func (c *checker) checkLeaving(calls []call) (out []Violation) {
	saidBy := make(map[link]leavingNotice)
	for _, x := range calls {
		for _, r := range c.runLog.Runs(x.Attempt) {
			l := link{x.Instance, r.Endpoint}
			said, ok := saidBy[l]
			isKnown := ok && c.isSameRun(r.Endpoint, said.runAt, r.At)
			if isKnown && x.Begin.After(said.forwardedAt.Add(leavingBound)) && c.isLeavingAt(r) && !c.wasInterrupted(x.Instance, said.runAt, r.At) {
				out = append(out, Violation{Guarantee: "LeavingNotice", Call: x.Attempt, Detail: fmt.Sprintf("%s said that it leaves %s earlier", r.Endpoint, x.Begin.Sub(said.forwardedAt))})
			}
			isOfOther := x.SealedBy != "" && x.SealedBy != r.Endpoint
			if x.SaysLeaving && !isKnown && !isOfOther {
				saidBy[l] = leavingNotice{runAt: r.At, forwardedAt: x.End}
			}
		}
	}
	return out
}

// isLeavingAt reports whether the endpoint of a run announced during it that it leaves.
func (c *checker) isLeavingAt(r hitchstandin.Run) bool {
	return slices.ContainsFunc(c.plan, func(f Fault) bool {
		return f.Kind == AnnounceLeave && endpointName(f.Target) == r.Endpoint && c.start.Add(f.Begin).Before(r.At) && r.At.Before(c.start.Add(f.End))
	})
}

// isSameRun reports whether an endpoint didn't restart between two times.
func (c *checker) isSameRun(endpoint string, from, to time.Time) bool {
	return !slices.ContainsFunc(c.plan, func(f Fault) bool {
		return f.Kind == AnnounceLeave && endpointName(f.Target) == endpoint && from.Before(c.start.Add(f.End)) && c.start.Add(f.End).Before(to)
	})
}

// wasInterrupted reports whether an instance was restarted or paused during an interval.
func (c *checker) wasInterrupted(instance string, from, to time.Time) bool {
	return slices.ContainsFunc(c.plan, func(f Fault) bool {
		switch f.Kind {
		case KillInstance, StopInstance, PauseInstance:
			return c.addrs[f.Target] == instance && c.overlaps(f, from, to)
		default:
			return false
		}
	})
}

// checkPauses returns the endpoints to which an instance sent more than maxInPause
// requests in a pause that they had asked it for.
func (c *checker) checkPauses(calls []call) (out []Violation) {
	instances := make(map[string]string, len(calls))
	arrivals := make(map[link][]time.Time)
	for _, x := range calls {
		instances[x.Attempt] = x.Instance
		for _, r := range c.runLog.Runs(x.Attempt) {
			l := link{x.Instance, r.Endpoint}
			arrivals[l] = append(arrivals[l], r.At)
		}
	}
	pauses := c.runLog.Pauses()
	for _, p := range pauses {
		l := link{instances[p.Attempt], p.Endpoint}
		arrivals[l] = append(arrivals[l], p.At)
	}
	for _, p := range pauses {
		l := link{instances[p.Attempt], p.Endpoint}
		late := countBetween(arrivals[l], p.At.Add(pauseSlack), p.Until)
		if late > maxInPause && l.instance != "" && c.isSameRun(l.endpoint, p.At, p.Until) && !c.wasInterrupted(l.instance, p.At, p.Until) {
			out = append(out, Violation{Guarantee: "PauseNotice", Call: p.Attempt, Detail: fmt.Sprintf("%s got %d requests in its pause from %s", l.endpoint, late, l.instance)})
		}
	}
	return out
}

// countBetween returns the number of times in an interval.
func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}
