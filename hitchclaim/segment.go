package hitchclaim

import (
	"fmt"
	"net/url"
	"time"
)

// JournalPrefix is the prefix of the names of all journals in the key-value service.
const JournalPrefix = "Journal/"

// Segment is one value of a home's journal in the key-value service. A home writes its
// segments one after another: the one with the highest number is open, the others are
// sealed and never written again, except to resolve bookings in doubt. A fence mark is
// written into the open segment; if the last segment is sealed, the next one is created
// for the mark.
type Segment struct {
	Home   HomeID
	Number uint64
	// WriterID identifies the writer and WriteSequence numbers its writes, so that the
	// writer recognises its own value after a lost response.
	WriterID      [16]byte
	WriteSequence uint64
	// Sealed is set on the last write of a segment that is full.
	Sealed bool
	// FencedAt is when the home was fenced or handed its keys over, or zero. No record
	// is added after it.
	FencedAt time.Time
	// Successor may run the keys of the home, after a handover.
	Successor HomeID
	// HandoverDigest is the digest of the Handover sent to the successor.
	HandoverDigest Digest
	// RemovedUpTo is the latest deadline of a record in a deleted segment.
	RemovedUpTo time.Time
	Records     []Record
}

// homeJournalPrefix returns the prefix of the names of a home's segments.
func homeJournalPrefix(home HomeID) string {
	return fmt.Sprintf("%s%s@%d/", JournalPrefix, url.QueryEscape(string(home.Instance)), home.Incarnation)
}

// SegmentName returns the name of a home's segment in the key-value service.
func SegmentName(home HomeID, number uint64) string {
	return fmt.Sprintf("%s%020d", homeJournalPrefix(home), number)
}

// Name returns the segment's name in the key-value service.
func (s Segment) Name() string { return SegmentName(s.Home, s.Number) }

// KeepUntil returns when the segment may be deleted.
func (s Segment) KeepUntil() (until time.Time) {
	for _, record := range s.Records {
		until = later(until, record.KeepUntil())
	}
	return until
}

// wireSegment is the CBOR encoding of a segment.
type wireSegment struct {
	_              struct{} `cbor:",toarray"`
	Instance       string
	Incarnation    uint64
	Number         uint64
	WriterID       [16]byte
	WriteSequence  uint64
	Sealed         bool
	FencedAt       int64 // Unix time in milliseconds
	Successor      wireHome
	HandoverDigest [32]byte
	RemovedUpTo    int64 // Unix time in milliseconds
	Records        []wireRecord
}

type wireHome struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
}

func (h HomeID) toWire() wireHome {
	return wireHome{Instance: string(h.Instance), Incarnation: h.Incarnation}
}

// Encode returns the encoding of the segment in the key-value service.
func (s Segment) Encode() []byte {
	records := make([]wireRecord, len(s.Records))
	for i, record := range s.Records {
		records[i] = record.toWire()
	}
	return mustEncode(wireSegment{
		Instance:       string(s.Home.Instance),
		Incarnation:    s.Home.Incarnation,
		Number:         s.Number,
		WriterID:       s.WriterID,
		WriteSequence:  s.WriteSequence,
		Sealed:         s.Sealed,
		FencedAt:       unixMilli(s.FencedAt),
		Successor:      s.Successor.toWire(),
		HandoverDigest: s.HandoverDigest,
		RemovedUpTo:    unixMilli(s.RemovedUpTo),
		Records:        records,
	})
}

// DecodeSegment decodes a segment that was encoded by Encode.
func DecodeSegment(data []byte) (s Segment, err error) {
	var w wireSegment
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Segment{}, fmt.Errorf("decode journal segment: %w", err)
	}
	s = Segment{
		Home:           decodeHomeID(wireHome{Instance: w.Instance, Incarnation: w.Incarnation}),
		Number:         w.Number,
		WriterID:       w.WriterID,
		WriteSequence:  w.WriteSequence,
		Sealed:         w.Sealed,
		FencedAt:       timeFromMilli(w.FencedAt),
		Successor:      decodeHomeID(w.Successor),
		HandoverDigest: w.HandoverDigest,
		RemovedUpTo:    timeFromMilli(w.RemovedUpTo),
	}
	for _, record := range w.Records {
		s.Records = append(s.Records, decodeRecord(record))
	}
	return s, nil
}
