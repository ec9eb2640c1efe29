package hitchadmit

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The ramp-up after a cold start: the request limit doubles every
// rampStepInterval, rampSteps times.
const (
	rampStepInterval = time.Second
	rampSteps        = 8
)

// The rules that detect a cold start that the endpoint doesn't report.
const (
	// slowFirstTokenCount consecutive first tokens must each take
	// slowFirstTokenFactor times as long as the mean, and longer than the
	// minimum for the kind of endpoint.
	slowFirstTokenFactor    = 4
	slowFirstTokenCount     = 2
	minSlowEngineFirstToken = 3 * time.Second
	minSlowServiceFirstByte = time.Second
	// fastFirstTokenCount consecutive first tokens that aren't slow show that
	// an endpoint is warm again.
	fastFirstTokenCount = 2
	// A restart is assumed if the reported work is at most the expected work
	// divided by restartDropFactor, and at least restartMinRequests requests
	// were expected.
	restartDropFactor  = 10
	restartMinRequests = 8
	// firstTokenGain is the weight of a new sample in the moving average of
	// first-token times.
	firstTokenGain = 0.1
)

// phase is the stage of an endpoint's cold start.
type phase uint8

const (
	phaseUnknown phase = iota
	phaseCold
	phaseRampUp
	phaseWarm
)

// coldStartTracker tracks the cold starts of one endpoint, whether the endpoint
// reports them or not.
type coldStartTracker struct {
	phase phase
	// reportedCold is set while the endpoint itself reports that it is cold.
	reportedCold     bool
	rampInitialLimit int64
	rampStartedAt    time.Time
	processStartedAt time.Time
	// meanFirstTokenSeconds is the moving average of first-token times.
	meanFirstTokenSeconds float64
	consecutiveSlow       int
	consecutiveFast       int
}

// requestLimit returns how many requests the endpoint may run at a time.
// coldLimit is the limit during a cold start.
func (c *coldStartTracker) requestLimit(now time.Time, coldLimit int64) int64 {
	switch c.phase {
	case phaseWarm:
		return math.MaxInt64
	case phaseRampUp:
		steps := int64(now.Sub(c.rampStartedAt) / rampStepInterval)
		if steps >= rampSteps {
			c.phase = phaseWarm
			return math.MaxInt64
		}
		return max(c.rampInitialLimit, coldLimit) << steps
	default:
		return coldLimit
	}
}

// isColdOrUnknown reports whether the endpoint is in a cold start, or its phase
// isn't known yet.
func (c *coldStartTracker) isColdOrUnknown() bool {
	return c.phase == phaseUnknown || c.phase == phaseCold
}

func (c *coldStartTracker) markCold() {
	c.phase, c.consecutiveSlow, c.consecutiveFast = phaseCold, 0, 0
}

func (c *coldStartTracker) startRampUp(now time.Time, initialLimit int64) {
	c.phase, c.rampStartedAt, c.rampInitialLimit = phaseRampUp, now, initialLimit
	c.consecutiveSlow, c.consecutiveFast = 0, 0
}

// observeReport updates the phase from a load report. expected is the work that
// the owner expects the endpoint to have had at the time of the report.
func (c *coldStartTracker) observeReport(now time.Time, r LoadReport, expected Usage) {
	restarted := !c.processStartedAt.IsZero() && r.StartedAt.After(c.processStartedAt)
	if r.StartedAt.After(c.processStartedAt) {
		c.processStartedAt = r.StartedAt
	}
	dropped := expected.Requests >= restartMinRequests &&
		r.Requests*restartDropFactor <= expected.Requests && r.Load*restartDropFactor <= expected.Cost
	switch {
	case r.Cold:
		c.markCold()
		c.reportedCold = true
	case c.phase == phaseCold && c.reportedCold:
		c.reportedCold = false
		c.startRampUp(now, 0)
	case restarted, dropped && c.phase != phaseCold:
		c.markCold()
	case c.phase == phaseUnknown:
		c.startRampUp(now, r.Requests)
	}
}

// observeFirstToken updates the phase from a first-token time. mayMarkCold is
// false while too many endpoints of the route are cold already, since the
// slowness then has another cause.
func (c *coldStartTracker) observeFirstToken(now time.Time, kind hitchfleet.EndpointKind, elapsed time.Duration, mayMarkCold bool) {
	threshold := minSlowEngineFirstToken
	if kind == hitchfleet.KindService {
		threshold = minSlowServiceFirstByte
	}
	isSlow := elapsed > threshold && (c.meanFirstTokenSeconds == 0 || elapsed.Seconds() > slowFirstTokenFactor*c.meanFirstTokenSeconds)
	if isSlow {
		c.consecutiveSlow, c.consecutiveFast = c.consecutiveSlow+1, 0
		if c.consecutiveSlow >= slowFirstTokenCount && mayMarkCold && !c.isColdOrUnknown() {
			c.markCold()
		}
		return
	}
	c.consecutiveSlow, c.consecutiveFast = 0, c.consecutiveFast+1
	if c.meanFirstTokenSeconds == 0 {
		c.meanFirstTokenSeconds = elapsed.Seconds()
	}
	c.meanFirstTokenSeconds += firstTokenGain * (elapsed.Seconds() - c.meanFirstTokenSeconds)
	if c.phase == phaseCold && !c.reportedCold && c.consecutiveFast >= fastFirstTokenCount {
		c.startRampUp(now, 0)
	}
}
