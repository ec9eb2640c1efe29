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
	// budgetWindow is the sliding window over which attempts are counted, in buckets of
	// bucketLength. First attempts are counted for at most that long, and retries for at
	// least, so that no window of this length has more retries than the budget allows.
	budgetWindow  = 10 * time.Second
	bucketLength  = time.Second
	budgetBuckets = int(budgetWindow/bucketLength) + 1
	// minRetries are allowed in each window regardless of the ratio, so that a
	// route with little traffic can retry. It applies to budgets without a slack.
	minRetries = 3
	// optionalShare is the part of the budget that optional retries may use.
	optionalShare = 0.5
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
	// slack has the retries that are allowed in each window in addition to the ratio, if
	// hasSlack is set.
	slack    FleetSlack
	hasSlack bool
}

// SetSlack sets how many retries are allowed in each window in addition to the ratio:
// this instance's part of a slack that holds for the whole fleet, which may be a fraction.
func (b *RetryBudget) SetSlack(s FleetSlack) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack, b.hasSlack = s, true
}

type retryBucket struct {
	// deadline is when the first attempts leave the window, and retryDeadline when the
	// retries do.
	deadline, retryDeadline time.Time
	firstAttempts           int
	retries                 int
}

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket(b.advance(now)).firstAttempts++
}

// TryRetry counts a retry and returns true if the budget allows one more.
func (b *RetryBudget) TryRetry(now time.Time) bool { return b.tryRetry(now, 1) }

// TryOptionalRetry is like TryRetry but leaves a part of the budget for other retries.
// It is for requests that already have a response, although an error, or may still get
// one.
func (b *RetryBudget) TryOptionalRetry(now time.Time) bool { return b.tryRetry(now, optionalShare) }

// tryRetry counts a retry and returns true if a share of the budget allows one more.
func (b *RetryBudget) tryRetry(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	monotonic := b.advance(now)
	if !b.allowsRetryAt(now, monotonic, share) {
		return false
	}
	b.currentBucket(monotonic).retries++
	return true
}

// GiveBack takes back the count of the last retry, which reached no endpoint.
func (b *RetryBudget) GiveBack(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	monotonic := b.advance(now)
	var last *retryBucket
	for i := range b.buckets {
		bucket := &b.buckets[i]
		if bucket.retries > 0 && monotonic.Before(bucket.retryDeadline) && (last == nil || bucket.retryDeadline.After(last.retryDeadline)) {
			last = bucket
		}
	}
	if last != nil {
		last.retries--
	}
}

// AllowsRetry reports whether the budget allows one more retry now, without
// counting it.
func (b *RetryBudget) AllowsRetry(now time.Time) bool { return b.allowsRetry(now, 1) }

// AllowsOptionalRetry is like AllowsRetry for TryOptionalRetry.
func (b *RetryBudget) AllowsOptionalRetry(now time.Time) bool {
	return b.allowsRetry(now, optionalShare)
}

func (b *RetryBudget) allowsRetry(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowsRetryAt(now, b.advance(now), share)
}

// allowsRetryAt reports whether a share of the budget allows one more retry, at a time by the
// caller's clock and by the budget's.
func (b *RetryBudget) allowsRetryAt(now, monotonic time.Time, share float64) bool {
	firstAttempts, retries := 0, 0
	for i := range b.buckets {
		if monotonic.Before(b.buckets[i].deadline) {
			firstAttempts += b.buckets[i].firstAttempts
		}
		if monotonic.Before(b.buckets[i].retryDeadline) {
			retries += b.buckets[i].retries
		}
	}
	ratio := b.Ratio
	if ratio <= 0 {
		ratio = DefaultRetryRatio
	}
	limit := ratio * float64(firstAttempts)
	if b.hasSlack {
		limit += b.slack.Share(now)
	} else {
		limit = max(minRetries, limit)
	}
	return float64(retries+1) <= share*limit
}

// advance returns the time now by the budget's clock.
func (b *RetryBudget) advance(now time.Time) time.Time {
	return b.clock.advanceInOrder(now, budgetWindow+bucketLength)
}

// currentBucket returns the bucket of the time now, and resets it if it holds
// the counts of an earlier window.
func (b *RetryBudget) currentBucket(now time.Time) *retryBucket {
	start := now.Truncate(bucketLength)
	bucket := &b.buckets[start.UnixNano()/int64(bucketLength)%int64(budgetBuckets)]
	if deadline := start.Add(budgetWindow); !bucket.deadline.Equal(deadline) {
		*bucket = retryBucket{deadline: deadline, retryDeadline: deadline.Add(bucketLength)}
	}
	return bucket
}
