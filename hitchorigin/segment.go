package hitchorigin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// recordedKeyBytes is how much of a stream's key is recorded. Among 100,000 streams, one
// that isn't recorded is taken for another one with a probability of 4 in 10^10.
const recordedKeyBytes = 6

// recordedKey is the part of a stream's key that is recorded.
type recordedKey [recordedKeyBytes]byte

func recordedKeyOf(stream hitchfleet.Key) (k recordedKey) {
	copy(k[:], binary.BigEndian.AppendUint64(nil, uint64(stream)))
	return k
}

// segment is a part of the fleet's record of origins as it is stored.
type segment struct {
	_ struct{} `cbor:",toarray"`
	// Version and Streams, of recordedKeyBytes each, are those of a service.
	Groups []segmentGroup
}

type segmentGroup struct {
	_       struct{} `cbor:",toarray"`
	Service hitchfleet.ServiceID
	Version string
	Streams []byte
}

// EncodeSegment returns origins as a part of the fleet's record.
func EncodeSegment(origins []Origin) ([]byte, error) {
	var s segment
	index := make(map[Origin]int)
	for _, o := range origins {
		key := recordedKeyOf(o.Stream)
		o.Stream = 0
		if _, ok := index[o]; !ok {
			index[o] = len(s.Groups)
			s.Groups = append(s.Groups, segmentGroup{Service: o.Service, Version: o.Version})
		}
		group := &s.Groups[index[o]]
		group.Streams = append(group.Streams, key[:]...)
	}
	return cbor.Marshal(s)
}

// Recorded holds the fleet's record of origins. A stream begins only once, so that a part
// of the record is true however old it is. The zero value is empty.
type Recorded struct {
	// origins have no Stream. isDisputed holds streams with several origins.
	origins    map[recordedKey]Origin
	isDisputed map[recordedKey]bool
}

// Add adds a part of the record.
func (r *Recorded) Add(encoded []byte) error {
	var s segment
	if err := cbor.Unmarshal(encoded, &s); err != nil {
		return fmt.Errorf("record of origins: %w", err)
	}
	if r.origins == nil {
		r.origins, r.isDisputed = make(map[recordedKey]Origin), make(map[recordedKey]bool)
	}
	for _, group := range s.Groups {
		o := Origin{Service: group.Service, Version: group.Version}.interned()
		for rest := group.Streams; len(rest) >= recordedKeyBytes; rest = rest[recordedKeyBytes:] {
			key := recordedKey(rest)
			if known, ok := r.origins[key]; ok && known != o {
				r.isDisputed[key] = true
			}
			r.origins[key] = o
		}
	}
	return nil
}

// Find returns the origin of a stream, unless none or several are recorded.
func (r *Recorded) Find(stream hitchfleet.Key) (o Origin, ok bool) {
	key := recordedKeyOf(stream)
	o, ok = r.origins[key]
	o.Stream = stream
	return o, ok && !r.isDisputed[key]
}

// Versions returns the recorded versions of each service.
func (r *Recorded) Versions() map[hitchfleet.ServiceID][]string {
	versions := make(map[hitchfleet.ServiceID][]string)
	for _, o := range r.origins {
		if !slices.Contains(versions[o.Service], o.Version) {
			versions[o.Service] = append(versions[o.Service], o.Version)
		}
	}
	return versions
}

// maxQueued limits the origins that wait to be recorded.
const maxQueued = 16 << 10

// Queue holds origins that wait to be recorded. Those beyond maxQueued are dropped. The
// zero value is empty. Its methods are safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	origins []Origin
}

// Add adds origins.
func (q *Queue) Add(origins ...Origin) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.origins = append(q.origins, origins[:min(len(origins), maxQueued-len(q.origins))]...)
}

// Take removes and returns the oldest origins, at most limit.
func (q *Queue) Take(limit int) []Origin {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(limit, len(q.origins))
	taken := q.origins[:n:n]
	if q.origins = q.origins[n:]; len(q.origins) == 0 {
		q.origins = nil
	}
	return taken
}
