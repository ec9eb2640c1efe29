package hitchpeer

import "time"

// allowance is a token bucket that lives by the time that it is given.
type allowance struct {
	amount float64
	filled time.Time
}

// at returns the allowance after it was refilled up to now.
func (a allowance) at(now time.Time, perSecond, burst float64) allowance {
	if a.filled.IsZero() {
		return allowance{amount: burst, filled: now}
	}
	if now.After(a.filled) {
		a.amount = min(burst, a.amount+now.Sub(a.filled).Seconds()*perSecond)
		a.filled = now
	}
	return a
}
