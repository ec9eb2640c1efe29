package hitchpeer

import "time"

// allowance is a token bucket of bytes that lives by the time that it is given.
type allowance struct {
	bytes  float64
	filled time.Time
}

// at returns the allowance after it was refilled up to now.
func (a allowance) at(now time.Time, bytesPerSecond, burst float64) allowance {
	if a.filled.IsZero() {
		return allowance{bytes: burst, filled: now}
	}
	if now.After(a.filled) {
		a.bytes = min(burst, a.bytes+now.Sub(a.filled).Seconds()*bytesPerSecond)
		a.filled = now
	}
	return a
}
