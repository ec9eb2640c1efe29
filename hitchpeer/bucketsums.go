package hitchpeer

import "citronhitch.example/citronhitch/hitchfleet"

const bucketCount = 16

// bucketSums holds one checksum for each hash bucket of a table. A checksum is the
// XOR of the checksums of the items in its bucket, so that items can be added and
// removed in any order.
type bucketSums [bucketCount]uint64

func bucketIndex(key hitchfleet.Key) int { return int(key % bucketCount) }

// fold combines the checksums of all buckets into one of 32 bits, which is short
// enough to be part of every probe packet.
func (b bucketSums) fold() uint32 {
	var folded uint64
	for _, sum := range b {
		folded ^= sum
	}
	return uint32(folded ^ folded>>32)
}
