package hitchpeer

import "citronhitch.example/citronhitch/hitchfleet"

const bucketCount = 16

// buckets are checksums of parts of a table. Each is the exclusive or of the
// checksums of its items, so that an item goes in and out in any order.
type buckets [bucketCount]uint64

func bucketOf(key hitchfleet.Key) int { return int(key % bucketCount) }

// fold returns one checksum of all buckets, short enough for each packet.
func (b buckets) fold() uint32 {
	var all uint64
	for _, sum := range b {
		all ^= sum
	}
	return uint32(all ^ all>>32)
}
