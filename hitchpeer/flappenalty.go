package hitchpeer

import (
	"math"
	"time"
)

// Flap damping after RFC 2439: each return of a router adds one to its penalty,
// which halves every penaltyHalfLife. A router whose penalty exceeds suppressPenalty
// is suppressed until the penalty is below reusePenalty.
const (
	penaltyHalfLife = time.Minute
	suppressPenalty = 2.5
	reusePenalty    = 1.0
	maxPenalty      = 8.0
)

// flapPenalty is an exponentially decaying count of events, such as the returns of a
// router.
type flapPenalty struct {
	value      float64
	updatedAt  time.Time
	suppressed bool
}

func (p flapPenalty) valueAt(now time.Time) float64 {
	halfLives := now.Sub(p.updatedAt).Seconds() / penaltyHalfLife.Seconds()
	return p.value * math.Exp2(-halfLives)
}

// withEvent returns the penalty after one more event at now.
func (p flapPenalty) withEvent(now time.Time) flapPenalty {
	p.value = min(p.valueAt(now)+1, maxPenalty)
	p.updatedAt = now
	p.suppressed = p.suppressed || p.value > suppressPenalty
	return p
}

// withDecay returns the penalty at now. A suppressed one is reset once it has decayed
// below reusePenalty.
func (p flapPenalty) withDecay(now time.Time) flapPenalty {
	if p.suppressed && p.valueAt(now) < reusePenalty {
		return flapPenalty{}
	}
	return p
}
