package hitchfleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key is the hash of a name for rendezvous hashing: that of an item, such as a
// chat, or of a candidate.
type Key uint64

// KeyOf hashes the parts of a name. The boundaries of the parts are hashed too, so
// that KeyOf("a", "b") and KeyOf("ab") differ.
func KeyOf(parts ...string) Key {
	var d xxhash.Digest
	d.Reset()
	for _, part := range parts {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Key(d.Sum64())
}

// Score returns the score of a candidate for a key; the highest score is the best.
// It mixes the two hashes by the finaliser of SplitMix64 (Steele, Lea, Flood: Fast
// Splittable Pseudorandom Number Generators, 2014).
func Score(key, candidate Key) uint64 {
	z := uint64(key) ^ (uint64(candidate) * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Ranked is a candidate with its score for a key.
type Ranked[T any] struct {
	Candidate T
	Score     uint64
}

// Rank orders candidates by rendezvous hashing (Thaler and Ravishankar: Using
// Name-Based Mappings to Increase Hit Rates, 1998), best first, and appends them
// to dst. hash returns a candidate's key. Removing a candidate moves only the keys
// for which it was first.
func Rank[T any](dst []Ranked[T], key Key, candidates []T, hash func(T) Key) []Ranked[T] {
	start := len(dst)
	for _, c := range candidates {
		dst = append(dst, Ranked[T]{Candidate: c, Score: Score(key, hash(c))})
	}
	slices.SortStableFunc(dst[start:], func(a, b Ranked[T]) int {
		return cmp.Compare(b.Score, a.Score)
	})
	return dst
}

// Key returns the instance's hash for rendezvous ranking.
func (i Instance) Key() Key { return KeyOf(string(i.ID)) }

// Key returns the endpoint's hash for rendezvous ranking.
func (e Endpoint) Key() Key { return KeyOf(string(e.ID)) }
