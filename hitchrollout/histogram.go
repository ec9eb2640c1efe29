package hitchrollout

import (
	"math"
	"time"
)

// Class is a kind of time that is compared.
type Class uint8

// The classes.
const (
	// ShortPrompt is the time to the first event or whole response of a request with few uncached
	// tokens.
	ShortPrompt Class = iota
	// LongPrompt is the same with many uncached tokens, divided by their number.
	LongPrompt
	// Pause is the mean pause between two events of a response.
	Pause
	classes = 3
)

// Buckets of histograms.
const (
	// bucketFactor is the ratio of the upper and the lower end of a bucket. With 1.5 the lower
	// end of the slow buckets was between 3.4 and 5 times the median, as the median was in its
	// bucket, and versions with a twentieth of responses at 5 times were missed.
	bucketFactor = 1.25
	// bucketUnit is the upper end of bucket 0, and maxBucket the last bucket, which has all from
	// about 30 minutes. A long prompt may take less than a microsecond per token.
	bucketUnit = 100 * time.Nanosecond
	maxBucket  = 106
)

// Histogram counts times in buckets whose ends grow by bucketFactor. It is a list of pairs of
// bucket and count, sorted by bucket, as most buckets are empty.
type Histogram []uint32

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) uint32 {
	if d <= bucketUnit {
		return 0
	}
	return uint32(min(math.Ceil(math.Log(float64(d)/float64(bucketUnit))/math.Log(bucketFactor)), maxBucket))
}

// buckets is a histogram with all its buckets.
type buckets [maxBucket + 1]uint32

func (b *buckets) add(h Histogram) {
	for n := 0; n+1 < len(h); n += 2 {
		b[min(h[n], maxBucket)] += h[n+1]
	}
}

// histogram returns the compact form.
func (b *buckets) histogram() (h Histogram) {
	for bucket, count := range b {
		if count > 0 {
			h = append(h, uint32(bucket), count)
		}
	}
	return h
}

// total returns the number of times.
func (b *buckets) total() (n int) {
	for _, count := range b {
		n += int(count)
	}
	return n
}

// from returns the number of times in a bucket and those above.
func (b *buckets) from(bucket int) (n int) {
	for _, count := range b[min(max(bucket, 0), len(b)):] {
		n += int(count)
	}
	return n
}

// quantile returns the bucket below or in which a share of the times is.
func (b *buckets) quantile(share float64) int {
	rest := share * float64(b.total())
	for bucket, count := range b {
		if rest -= float64(count); rest <= 0 && count > 0 {
			return bucket
		}
	}
	return 0
}

// bucketEnd returns the upper end of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(bucketUnit) * math.Pow(bucketFactor, float64(bucket)))
}
