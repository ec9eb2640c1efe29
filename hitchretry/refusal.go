package hitchretry

import "time"

// Bounds and factor of the delay after which refused callers return.
const (
	minReturnDelay = 300 * time.Millisecond
	maxReturnDelay = 5 * time.Second
	// returnOutageFactor is the delay as a multiple of how long the outage has lasted.
	returnOutageFactor = 2
)

// ReturnDelay returns the mean delay after which a refused caller should return, given
// how long the cause of the refusal has lasted. The longer an outage has lasted, the
// longer it is likely to go on, and callers have only few retries to use on it.
func ReturnDelay(outage time.Duration) time.Duration {
	return min(max(returnOutageFactor*outage, minReturnDelay), maxReturnDelay)
}
