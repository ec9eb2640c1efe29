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
	// InlineShareBytes is the maximum size of a value that is sent in datagrams.
	// Larger values are announced, and receivers fetch them over a stream.
	InlineShareBytes = 600
	// MaxShareBytes is the maximum size of a shared value.
	MaxShareBytes = 1 << 20
)

// Topic is a kind of shared values, with the rules for distributing them.
//
//	var Loads = hitchpeer.Topic{Name: "Load", Regional: true, Volatile: true}
type Topic struct {
	Name string
	// Regional limits the values to routers in the region of their origin.
	Regional bool
	// Volatile is for values that their origin updates every few seconds. They cost
	// less bandwidth, as a lost value isn't sent again: the next one replaces it.
	Volatile bool
}

// SharedValue is the newest value of a topic that one router has shared.
type SharedValue struct {
	Topic       Topic
	Origin      hitchfleet.InstanceID
	Incarnation uint64
	// Version increases with each value that an incarnation shares.
	Version uint64
	Body    []byte
	// ReceivedAt is when this router received the value, by its own clock.
	ReceivedAt time.Time
}

const (
	flagRegional uint8 = 1 << iota
	flagVolatile
)

// Entry is a shared value as exchanged between routers. A value of more than
// InlineShareBytes is announced first: its entry is sent without the Body.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Origin      hitchfleet.InstanceID
	Topic       string
	Flags       uint8
	Incarnation uint64
	Version     uint64
	// BodyHash is the xxHash of the body.
	BodyHash uint64
	Size     uint32
	Body     []byte
}

func newEntry(self Record, topic Topic, version uint64, body []byte) Entry {
	entry := Entry{
		Origin: self.ID, Topic: topic.Name, Incarnation: self.Incarnation,
		Version: version, BodyHash: xxhash.Sum64(body), Size: uint32(len(body)), Body: slices.Clone(body),
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

func (e Entry) isRegional() bool { return e.Flags&flagRegional != 0 }

func (e Entry) isVolatile() bool { return e.Flags&flagVolatile != 0 }

func (e Entry) topic() Topic {
	return Topic{Name: e.Topic, Regional: e.isRegional(), Volatile: e.isVolatile()}
}

// isComplete reports whether the body has the entry's size and hash.
func (e Entry) isComplete() bool {
	return int(e.Size) == len(e.Body) && xxhash.Sum64(e.Body) == e.BodyHash
}

// forWire returns the entry as it is sent in datagrams: a large value without its
// body.
func (e Entry) forWire() Entry {
	if e.Size > InlineShareBytes {
		e.Body = nil
	}
	return e
}

// entryOverheadBytes is the encoded size of an entry without its strings and body.
const entryOverheadBytes = 34

func (e Entry) wireBytes() int {
	size := entryOverheadBytes + len(e.Origin) + len(e.Topic)
	if e.Size <= InlineShareBytes {
		size += int(e.Size)
	}
	return size
}

func (e Entry) key() shareKey { return shareKey{origin: e.Origin, topic: e.Topic} }

// shareKey identifies a shared value by origin and topic. Only the newest value of a
// key is kept.
type shareKey struct {
	origin hitchfleet.InstanceID
	topic  string
}

func (k shareKey) hash() hitchfleet.Key { return hitchfleet.KeyOf(string(k.origin), k.topic) }

func compareShareKeys(a, b shareKey) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.topic, b.topic))
}
