package hitchclaim

import (
	"crypto/rand"
	"encoding/binary"
	"time"
)

// incarnationEntropyBits is the number of random bits in an incarnation.
const incarnationEntropyBits = 20

// NewIncarnation returns the incarnation number of a process that starts or that was
// fenced: the Unix time in milliseconds, followed by 20 random bits. It increases
// with time and is higher than last. Two processes with the same InstanceID that
// start in the same millisecond get the same number with a probability of 2^-20; then
// only the one whose first journal write succeeds is the home.
//
//	self.Incarnation = hitchclaim.NewIncarnation(now, self.Incarnation)
func NewIncarnation(now time.Time, last uint64) uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	randomBits := binary.BigEndian.Uint64(random[:]) >> (64 - incarnationEntropyBits)
	return max(uint64(now.UnixMilli())<<incarnationEntropyBits|randomBits, last+1)
}
