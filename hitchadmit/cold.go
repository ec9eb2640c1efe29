package hitchadmit

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// The ramp after a cold start: the limit doubles each rampStep, rampSteps times.
const (
	rampStep  = time.Second
	rampSteps = 8
)

// The rules that detect a cold start without notice.
const (
	// coldSlowCount first tokens in a row must be coldSlowFactor times slower than
	// usual, and slower than the floor of the kind.
	coldSlowFactor       = 4
	coldSlowCount        = 2
	engineSlowFirstToken = 3 * time.Second
	serviceSlowFirstByte = time.Second
	// warmFastCount fast first tokens prove that an endpoint is warm again.
	warmFastCount = 2
	// restartDrop is by how many times the work in hand falls at a restart, and
	// restartMinRequests how many requests there must have been.
	restartDrop        = 10
	restartMinRequests = 8
	// firstTokenGain is the weight of a new sample in the usual first-token time.
	firstTokenGain = 0.1
)

// phase is where an endpoint stands in its cold start.
type phase uint8

const (
	phaseUnknown phase = iota
	phaseCold
	phaseRamp
	phaseWarm
)

// warmth follows one endpoint through cold starts, declared or not.
type warmth struct {
	phase phase
	// declared is set while the endpoint itself reports that it is cold.
	declared  bool
	rampFrom  int64
	rampSince time.Time
	startedAt time.Time
	// usual is the moving average of first-token times, in seconds.
	usual float64
	slow  int
	fast  int
}

// limit is how many requests the endpoint bears at a time.
func (w *warmth) limit(now time.Time, coldLimit int64) int64 {
	switch w.phase {
	case phaseWarm:
		return math.MaxInt64
	case phaseRamp:
		steps := int64(now.Sub(w.rampSince) / rampStep)
		if steps >= rampSteps {
			w.phase = phaseWarm
			return math.MaxInt64
		}
		return max(w.rampFrom, coldLimit) << steps
	default:
		return coldLimit
	}
}

// cold tells whether the endpoint is in cold start or unknown.
func (w *warmth) cold() bool { return w.phase == phaseUnknown || w.phase == phaseCold }

func (w *warmth) chill() {
	w.phase, w.slow, w.fast = phaseCold, 0, 0
}

func (w *warmth) warmUp(now time.Time, from int64) {
	w.phase, w.rampSince, w.rampFrom = phaseRamp, now, from
	w.slow, w.fast = 0, 0
}

// report takes a load report. expected is what the owner believes the endpoint had
// in hand at the report's time.
func (w *warmth) report(now time.Time, r LoadReport, expected Holding) {
	restarted := !w.startedAt.IsZero() && r.StartedAt.After(w.startedAt)
	if r.StartedAt.After(w.startedAt) {
		w.startedAt = r.StartedAt
	}
	dropped := expected.Requests >= restartMinRequests &&
		r.Requests*restartDrop <= expected.Requests && r.Load*restartDrop <= expected.Cost
	switch {
	case r.Cold:
		w.chill()
		w.declared = true
	case w.phase == phaseCold && w.declared:
		w.declared = false
		w.warmUp(now, 0)
	case restarted, dropped && w.phase != phaseCold:
		w.chill()
	case w.phase == phaseUnknown:
		w.warmUp(now, r.Requests)
	}
}

// firstToken takes a first-token time. mayChill is false while too many
// endpoints of the route are cold already: slowness then has another cause.
func (w *warmth) firstToken(now time.Time, kind hitchfleet.EndpointKind, took time.Duration, mayChill bool) {
	least := engineSlowFirstToken
	if kind == hitchfleet.KindService {
		least = serviceSlowFirstByte
	}
	isSlow := took > least && (w.usual == 0 || took.Seconds() > coldSlowFactor*w.usual)
	if isSlow {
		w.slow, w.fast = w.slow+1, 0
		if w.slow >= coldSlowCount && mayChill && !w.cold() {
			w.chill()
		}
		return
	}
	w.slow, w.fast = 0, w.fast+1
	if w.usual == 0 {
		w.usual = took.Seconds()
	}
	w.usual += firstTokenGain * (took.Seconds() - w.usual)
	if w.phase == phaseCold && !w.declared && w.fast >= warmFastCount {
		w.warmUp(now, 0)
	}
}
