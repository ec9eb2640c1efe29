package hitchpeer

import "time"

// tokenBucket is a rate limiter. It reads no clock: callers pass the time.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill returns the bucket with the tokens that accrued until now. A new bucket
// is full.
func (b tokenBucket) refill(now time.Time, perSecond, burst float64) tokenBucket {
	if b.refilledAt.IsZero() {
		return tokenBucket{tokens: burst, refilledAt: now}
	}
	if now.After(b.refilledAt) {
		b.tokens = min(burst, b.tokens+now.Sub(b.refilledAt).Seconds()*perSecond)
		b.refilledAt = now
	}
	return b
}
