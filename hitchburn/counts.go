package hitchburn

import "time"

// bucketCount is the number of buckets of all rings of one series.
const bucketCount = 21 + 61 + 37 + 25

// ringStarts are where the rings lie among the buckets of a series.
var ringStarts = [ringCount]int{0, 21, 21 + 61, 21 + 61 + 37}

// bucket counts the events of a short time.
type bucket struct {
	total uint32
	bad   uint32
}

// counts holds the rings of one series. The zero value is empty.
type counts struct {
	newest  [ringCount]int64
	buckets [bucketCount]bucket
}

// slots are the numbers of the buckets of one time, by ring.
type slots [ringCount]int64

func slotsOf(now time.Time) (s slots) {
	for i, r := range resolutions {
		s[i] = r.slot(now)
	}
	return s
}

// ring returns the buckets of a ring.
func (c *counts) ring(i int) []bucket {
	return c.buckets[ringStarts[i] : ringStarts[i]+resolutions[i].buckets]
}

// add counts one event. An event older than a ring reaches is left out of it.
func (c *counts) add(at slots, isBad bool) {
	for i := range at {
		ring := c.ring(i)
		c.advance(i, ring, at[i])
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

// advance clears the buckets between the newest one and the slot.
func (c *counts) advance(i int, ring []bucket, slot int64) {
	if slot <= c.newest[i] {
		return
	}
	n := int64(len(ring))
	for s := max(c.newest[i]+1, slot-n+1); s <= slot; s++ {
		ring[s%n] = bucket{}
	}
	c.newest[i] = slot
}

// isExpired tells whether no bucket counts any more.
func (c *counts) isExpired(at slots) bool {
	const coarsest = ringCount - 1
	return c.newest[coarsest] <= at[coarsest]-int64(resolutions[coarsest].buckets)
}

// rings returns the counts with their absolute slots, oldest first.
func (c *counts) rings() (rings [ringCount]Ring) {
	for i := range rings {
		ring := c.ring(i)
		n := int64(len(ring))
		out := Ring{Newest: c.newest[i]}
		for s := c.newest[i] - n + 1; s <= c.newest[i]; s++ {
			out = out.with(ring[(s%n+n)%n])
		}
		rings[i] = out
	}
	return rings
}
