package hitchclaim

import (
	"fmt"
	"net/url"
	"time"
)

// JournalPrefix starts the names of all journals in the key-value service.
const JournalPrefix = "Journal/"

// Segment is one value of a home's journal in the key-value service. A home
// writes its segments in turn: the highest one is open, those before it are
// sealed and never written again, except to resolve doubts. Who fences a home
// writes the mark into the open segment, or makes the one after a sealed one.
type Segment struct {
	Home   HomeID
	Number uint64
	// Writer names the writer and Write counts its writes, so that it knows its
	// own value after a lost answer.
	Writer [16]byte
	Write  uint64
	// Sealed is set on the last write of a segment that is full.
	Sealed bool
	// Fenced is when the home was ended, or zero. No record follows it.
	Fenced time.Time
	// Successor may run the keys of the home, after a handover.
	Successor HomeID
	// Handover is the digest of what the successor was handed.
	Handover Digest
	// Forgotten is the latest deadline of a record in a segment that was removed.
	Forgotten time.Time
	Records   []Record
}

// homePrefix starts the names of a home's segments.
func homePrefix(home HomeID) string {
	return fmt.Sprintf("%s%s@%d/", JournalPrefix, url.QueryEscape(string(home.Instance)), home.Incarnation)
}

// SegmentName returns the name of a home's segment in the key-value service.
func SegmentName(home HomeID, number uint64) string {
	return fmt.Sprintf("%s%020d", homePrefix(home), number)
}

// Name returns the segment's name in the key-value service.
func (s Segment) Name() string { return SegmentName(s.Home, s.Number) }

// KeepUntil returns when the segment may be removed.
func (s Segment) KeepUntil() (until time.Time) {
	for _, record := range s.Records {
		until = later(until, record.KeepUntil())
	}
	return until
}

// wireSegment is the encoding of a segment.
type wireSegment struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	Number      uint64
	Writer      [16]byte
	Write       uint64
	Sealed      bool
	Fenced      int64 // Unix time in milliseconds
	Successor   wireHome
	Handover    [32]byte
	Forgotten   int64 // Unix time in milliseconds
	Records     []wireRecord
}

type wireHome struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
}

func (h HomeID) wire() wireHome {
	return wireHome{Instance: string(h.Instance), Incarnation: h.Incarnation}
}

// Encode returns the segment as it is stored.
func (s Segment) Encode() []byte {
	records := make([]wireRecord, len(s.Records))
	for i, record := range s.Records {
		records[i] = record.wire()
	}
	return mustEncode(wireSegment{
		Instance:    string(s.Home.Instance),
		Incarnation: s.Home.Incarnation,
		Number:      s.Number,
		Writer:      s.Writer,
		Write:       s.Write,
		Sealed:      s.Sealed,
		Fenced:      unixMilli(s.Fenced),
		Successor:   s.Successor.wire(),
		Handover:    s.Handover,
		Forgotten:   unixMilli(s.Forgotten),
		Records:     records,
	})
}

// DecodeSegment reads a stored segment.
func DecodeSegment(data []byte) (s Segment, err error) {
	var w wireSegment
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Segment{}, fmt.Errorf("decode journal segment: %w", err)
	}
	s = Segment{
		Home:      homeFrom(wireHome{Instance: w.Instance, Incarnation: w.Incarnation}),
		Number:    w.Number,
		Writer:    w.Writer,
		Write:     w.Write,
		Sealed:    w.Sealed,
		Fenced:    fromMilli(w.Fenced),
		Successor: homeFrom(w.Successor),
		Handover:  w.Handover,
		Forgotten: fromMilli(w.Forgotten),
	}
	for _, record := range w.Records {
		s.Records = append(s.Records, recordFrom(record))
	}
	return s, nil
}
