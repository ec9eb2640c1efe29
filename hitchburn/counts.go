package hitchburn

import "time"

// bucketCount is the total number of buckets in the rings of one series.
const bucketCount = 21 + 61 + 37 + 25

// ringOffsets are the indexes of each ring's first bucket in seriesCounts.buckets.
var ringOffsets = [ringCount]int{0, 21, 21 + 61, 21 + 61 + 37}

// bucket counts the events of one time interval of a ring.
type bucket struct {
	total uint32
	bad   uint32
}

// seriesCounts holds the rings of one series. The zero value is empty.
type seriesCounts struct {
	newest  [ringCount]int64
	buckets [bucketCount]bucket
}

// bucketIndexes are the absolute bucket indexes of one point in time, by ring.
type bucketIndexes [ringCount]int64

func bucketIndexesAt(now time.Time) (indexes bucketIndexes) {
	for i, r := range resolutions {
		indexes[i] = r.bucketIndex(now)
	}
	return indexes
}

// ring returns the buckets of a ring.
func (c *seriesCounts) ring(i int) []bucket {
	return c.buckets[ringOffsets[i] : ringOffsets[i]+resolutions[i].buckets]
}

// add counts one event in each ring whose time range includes it.
func (c *seriesCounts) add(at bucketIndexes, isBad bool) {
	for i := range at {
		ring := c.ring(i)
		c.clearUpTo(i, ring, at[i])
		if at[i] <= c.newest[i]-int64(len(ring)) {
			continue
		}
		b := &ring[at[i]%int64(len(ring))]
		b.total++
		if isBad {
			b.bad++
		}
	}
}

// clearUpTo clears the buckets after the newest one up to index, which becomes the
// newest.
func (c *seriesCounts) clearUpTo(ringIndex int, ring []bucket, index int64) {
	if index <= c.newest[ringIndex] {
		return
	}
	n := int64(len(ring))
	for s := max(c.newest[ringIndex]+1, index-n+1); s <= index; s++ {
		ring[s%n] = bucket{}
	}
	c.newest[ringIndex] = index
}

// isExpired reports whether all buckets are older than the time range of the
// coarsest ring.
func (c *seriesCounts) isExpired(at bucketIndexes) bool {
	const coarsest = ringCount - 1
	return c.newest[coarsest] <= at[coarsest]-int64(resolutions[coarsest].buckets)
}

// exportRings returns the counts with their absolute bucket indexes, oldest first.
func (c *seriesCounts) exportRings() (rings [ringCount]Ring) {
	for i := range rings {
		ring := c.ring(i)
		n := int64(len(ring))
		out := Ring{Newest: c.newest[i]}
		for s := c.newest[i] - n + 1; s <= c.newest[i]; s++ {
			out = out.appendBucket(ring[(s%n+n)%n])
		}
		rings[i] = out
	}
	return rings
}
