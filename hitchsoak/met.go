package hitchsoak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

const (
	// lateInStop is how long after a planned stop a request that was sent in time, and whose
	// endpoint was still at work, may be cut: the last sixth of the grace period.
	lateInStop = hitchstandin.GracePeriod * 5 / 6
	// inTimeForStop is how long after the signal of a planned stop such a request was sent at
	// the latest.
	inTimeForStop = 3 * time.Second
)

// met reports whether a call met a silent endpoint, and whether one spoiled its answer.
func (c *checker) met(x call) (silence, spoil bool) {
	for _, d := range c.runLog.Disturbances(x.Attempt) {
		silence, spoil = silence || d.IsSilence, spoil || !d.IsSilence
	}
	return silence, spoil
}

// cutGuarantee returns the guarantee that is violated by a call that got no whole response,
// beside nothing but planned stops and faults that must not make a call fail. It returns an
// empty string if an endpoint spoiled the response, or if the silence of one lasted until
// the time of the call was over, or until the process had to end.
func (c *checker) cutGuarantee(x call, stops int) string {
	metSilence, metSpoil := c.met(x)
	switch {
	case metSpoil:
		return ""
	case metSilence && (x.End.Sub(x.Begin) >= c.timeLimit(x) || c.isLateInStop(x)):
		return ""
	case metSilence && x.isStream() && x.Status == http.StatusOK:
		return "SilentStream"
	case stops > 0:
		return "PlannedStop"
	default:
		return "Undisturbed"
	}
}

// timeLimit returns the shortest time after which a call may end without a whole response:
// that of its caller, or of a stream's route in a configuration that may have been in force.
func (c *checker) timeLimit(x call) time.Duration {
	isVaried := slices.ContainsFunc(c.plan, func(f Fault) bool {
		return f.Kind == ChangeConfigs && c.overlaps(f, x.Begin.Add(-faultSettleTime), x.End)
	})
	if x.isStream() && isVaried {
		return hitchstandin.MinStreamTimeoutMillis * time.Millisecond
	}
	return callTimeout
}

// isLateInStop reports whether a call that was sent in time for the planned stop of its
// instance ended in the last part of the grace period.
func (c *checker) isLateInStop(x call) bool {
	return slices.ContainsFunc(c.plan, func(f Fault) bool {
		stop := c.start.Add(f.Begin)
		return f.Kind == StopInstance && c.addrs[f.Target] == x.Instance && x.Begin.Before(stop.Add(inTimeForStop)) && x.End.After(stop.Add(lateInStop))
	})
}

// describeCut describes a call that got no whole response, with what it met.
func (c *checker) describeCut(x call) string {
	return fmt.Sprintf("%s at %s, %s after the start, for %s: %v; met %v", x.Path, x.Instance, x.Begin.Sub(c.start), x.End.Sub(x.Begin), x.Err, c.runLog.Disturbances(x.Attempt))
}
