package hitchpeer

import (
	"math"
	"time"
)

// Flap damping after RFC 2439: each return of a router adds one to its penalty,
// which decays by half in penaltyHalfLife. The router is left out above
// suppressPenalty until the penalty is below reusePenalty.
const (
	penaltyHalfLife = time.Minute
	suppressPenalty = 2.5
	reusePenalty    = 1.0
	maxPenalty      = 8.0
)

// penalty counts how often a router came and went of late.
type penalty struct {
	value      float64
	at         time.Time
	suppressed bool
}

func (p penalty) valueAt(now time.Time) float64 {
	halves := now.Sub(p.at).Seconds() / penaltyHalfLife.Seconds()
	return p.value * math.Exp2(-halves)
}

// withFlap returns the penalty after one more return at now.
func (p penalty) withFlap(now time.Time) penalty {
	p.value = min(p.valueAt(now)+1, maxPenalty)
	p.at = now
	p.suppressed = p.suppressed || p.value > suppressPenalty
	return p
}

// withDecay returns the penalty as it stands at now.
func (p penalty) withDecay(now time.Time) penalty {
	if p.suppressed && p.valueAt(now) < reusePenalty {
		return penalty{}
	}
	return p
}
