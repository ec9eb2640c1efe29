package hitchpeer

import (
	"cmp"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/cespare/xxhash/v2"
)

// Sizes of shared values, in bytes.
const (
	// InlineShareBytes is the largest value that rides in datagrams. Larger ones
	// are announced and fetched over a stream.
	InlineShareBytes = 600
	// MaxShareBytes is the largest value that can be shared.
	MaxShareBytes = 1 << 20
)

// Topic names a kind of shared values and says how they spread.
//
//	var Loads = hitchpeer.Topic{Name: "Load", Regional: true, Volatile: true}
type Topic struct {
	Name string
	// Regional keeps the values within the region of their origin.
	Regional bool
	// Volatile is for values that their origin renews every few seconds. They take
	// fewer bytes, as a lost one isn't sent again: the next one replaces it.
	Volatile bool
}

// SharedValue is the newest value of a topic that one router has shared.
type SharedValue struct {
	Topic       Topic
	Origin      hitchfleet.InstanceID
	Incarnation uint64
	// Version rises with each value of an incarnation.
	Version uint64
	Body    []byte
	// At is when this router got the value, by its own clock.
	At time.Time
}

const (
	flagRegional uint8 = 1 << iota
	flagVolatile
)

// Entry is a shared value as routers pass it on. A value of more than
// InlineShareBytes is announced without its Body.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Origin      hitchfleet.InstanceID
	Topic       string
	Flags       uint8
	Incarnation uint64
	Version     uint64
	// Sum is the xxHash of the body.
	Sum  uint64
	Size uint32
	Body []byte
}

func newEntry(self Record, topic Topic, version uint64, body []byte) Entry {
	entry := Entry{
		Origin: self.ID, Topic: topic.Name, Incarnation: self.Incarnation,
		Version: version, Sum: xxhash.Sum64(body), Size: uint32(len(body)), Body: slices.Clone(body),
	}
	if topic.Regional {
		entry.Flags |= flagRegional
	}
	if topic.Volatile {
		entry.Flags |= flagVolatile
	}
	return entry
}

// Compare orders the values of one origin and topic by incarnation and version.
func (e Entry) Compare(other Entry) int {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Version, other.Version))
}

func (e Entry) regional() bool { return e.Flags&flagRegional != 0 }

func (e Entry) volatile() bool { return e.Flags&flagVolatile != 0 }

func (e Entry) topic() Topic {
	return Topic{Name: e.Topic, Regional: e.regional(), Volatile: e.volatile()}
}

// complete reports whether the entry has the body that its checksum names.
func (e Entry) complete() bool {
	return int(e.Size) == len(e.Body) && xxhash.Sum64(e.Body) == e.Sum
}

// forWire returns the entry as it is sent in datagrams.
func (e Entry) forWire() Entry {
	if e.Size > InlineShareBytes {
		e.Body = nil
	}
	return e
}

// entryOverheadBytes is an entry's size on the wire without texts and body.
const entryOverheadBytes = 34

func (e Entry) wireBytes() int {
	size := entryOverheadBytes + len(e.Origin) + len(e.Topic)
	if e.Size <= InlineShareBytes {
		size += int(e.Size)
	}
	return size
}

func (e Entry) key() shareKey { return shareKey{origin: e.Origin, topic: e.Topic} }

// shareKey names the place of a shared value; only the newest one is held.
type shareKey struct {
	origin hitchfleet.InstanceID
	topic  string
}

func (k shareKey) hash() hitchfleet.Key { return hitchfleet.KeyOf(string(k.origin), k.topic) }

func compareShareKeys(a, b shareKey) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.topic, b.topic))
}
