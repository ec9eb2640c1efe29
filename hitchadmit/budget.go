package hitchadmit

import (
	"sync"
	"time"
)

// The defaults of a RetryBudget.
const (
	// DefaultRetryRatio is the number of retries allowed for each first
	// attempt.
	DefaultRetryRatio = 0.1
	// budgetWindow is the sliding window over which attempts are counted, in
	// budgetBuckets buckets.
	budgetWindow  = 10 * time.Second
	budgetBuckets = 10
	// minRetries are allowed in each window regardless of the ratio, so that a
	// route with little traffic can retry.
	minRetries = 3
)

// RetryBudget limits the retries of a route or an endpoint to a fraction of its
// first attempts, so that retries don't overload a failing endpoint. The zero
// value is ready to use.
//
//	budget.RecordFirstAttempt(now)
//	if budget.TryRetry(now) {
//		// ... try again ...
//	}
type RetryBudget struct {
	// Ratio of retries to first attempts; 0 means DefaultRetryRatio.
	Ratio float64

	mu      sync.Mutex
	clock   monotonicClock
	buckets [budgetBuckets]retryBucket
}

type retryBucket struct {
	deadline      time.Time // when the counts leave the window
	firstAttempts int
	retries       int
}

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket(b.clock.advanceAtMost(now, budgetWindow)).firstAttempts++
}

// TryRetry counts a retry and returns true if the budget allows one more.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	monotonic := b.clock.advanceAtMost(now, budgetWindow)
	if !b.allowsRetryAt(monotonic) {
		return false
	}
	b.currentBucket(monotonic).retries++
	return true
}

// AllowsRetry reports whether the budget allows one more retry now, without
// counting it.
func (b *RetryBudget) AllowsRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowsRetryAt(b.clock.advanceAtMost(now, budgetWindow))
}

func (b *RetryBudget) allowsRetryAt(monotonic time.Time) bool {
	firstAttempts, retries := 0, 0
	for i := range b.buckets {
		if monotonic.Before(b.buckets[i].deadline) {
			firstAttempts += b.buckets[i].firstAttempts
			retries += b.buckets[i].retries
		}
	}
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	return float64(retries+1) <= max(minRetries, ratio*float64(firstAttempts))
}

// currentBucket returns the bucket of the time now, and resets it if it holds
// the counts of an earlier window.
func (b *RetryBudget) currentBucket(now time.Time) *retryBucket {
	const bucketLength = budgetWindow / budgetBuckets
	start := now.Truncate(bucketLength)
	bucket := &b.buckets[start.UnixNano()/int64(bucketLength)%budgetBuckets]
	if deadline := start.Add(budgetWindow); !bucket.deadline.Equal(deadline) {
		*bucket = retryBucket{deadline: deadline}
	}
	return bucket
}
