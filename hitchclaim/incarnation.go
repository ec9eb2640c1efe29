package hitchclaim

import (
	"crypto/rand"
	"encoding/binary"
	"time"
)

// incarnationEntropyBits is the random part of an incarnation.
const incarnationEntropyBits = 20

// NewIncarnation returns a number for a process that starts or that was fenced:
// Unix time in milliseconds, and 20 random bits below it. It rises with time, is
// higher than the last one, and differs for two processes with one InstanceID that
// start in the same millisecond but for a chance of 2^-20, where the journal's first
// write decides.
//
//	self.Incarnation = hitchclaim.NewIncarnation(now, self.Incarnation)
func NewIncarnation(now time.Time, last uint64) uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	low := binary.BigEndian.Uint64(random[:]) >> (64 - incarnationEntropyBits)
	return max(uint64(now.UnixMilli())<<incarnationEntropyBits|low, last+1)
}
