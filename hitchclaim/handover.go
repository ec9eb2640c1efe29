package hitchclaim

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"
)

// ErrNotSuccessor is returned if the journal of the leaving home doesn't name this home
// as its successor for exactly this handover.
var ErrNotSuccessor = errors.New("hitchclaim: not entitled to the handover")

// Handover is the state that a leaving home transfers to its successor: every key that
// may have run, with its response. All other unexpired keys of the home never ran.
//
//	handover := home.ExportHandover() // after RefuseNewKeys, once RunningCount is 0
//	step := journal.WriteHandover(now, successor, handover.Digest())
//	err := successorHome.AdoptKeys(handover, snapshot)
//	home.ForwardTo(successor)
type Handover struct {
	From HomeID
	// Adopted are the homes whose keys From had taken over.
	Adopted []HomeID
	// ExpiredUpTo is the latest deadline that was treated as passed: no key with a
	// deadline up to it may start. RemovedUpTo is the latest deadline of a key whose
	// outcome is no longer kept.
	ExpiredUpTo, RemovedUpTo time.Time
	Entries                  []HandoverEntry
}

// HandoverEntry is one key in a handover.
type HandoverEntry struct {
	Record        Record
	RequestDigest Digest
	Result        Result
	// ResponseMissing is set if the call ran and its response isn't available.
	ResponseMissing bool
}

// wireHandover is the CBOR encoding of a handover.
type wireHandover struct {
	_                        struct{} `cbor:",toarray"`
	From                     wireHome
	Adopted                  []wireHome
	ExpiredUpTo, RemovedUpTo int64 // Unix time in milliseconds
	Entries                  []wireHandoverEntry
}

type wireHandoverEntry struct {
	_               struct{} `cbor:",toarray"`
	Record          wireRecord
	RequestDigest   [32]byte
	Header          []HeaderField
	ResponseBody    []byte
	ResponseMissing bool
}

// Encode returns the handover as it is sent to the successor.
func (h Handover) Encode() []byte {
	w := wireHandover{From: h.From.toWire(), ExpiredUpTo: unixMilli(h.ExpiredUpTo), RemovedUpTo: unixMilli(h.RemovedUpTo)}
	for _, home := range h.Adopted {
		w.Adopted = append(w.Adopted, home.toWire())
	}
	for _, e := range h.Entries {
		w.Entries = append(w.Entries, wireHandoverEntry{
			Record: e.Record.toWire(), RequestDigest: e.RequestDigest, Header: e.Result.Header, ResponseBody: e.Result.Body, ResponseMissing: e.ResponseMissing,
		})
	}
	return mustEncode(w)
}

// Digest returns the SHA-256 of the encoding.
func (h Handover) Digest() Digest { return sha256.Sum256(h.Encode()) }

// DecodeHandover decodes a handover that was encoded by Encode.
func DecodeHandover(data []byte) (h Handover, err error) {
	var w wireHandover
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Handover{}, fmt.Errorf("decode handover: %w", err)
	}
	h = Handover{From: decodeHomeID(w.From), ExpiredUpTo: timeFromMilli(w.ExpiredUpTo), RemovedUpTo: timeFromMilli(w.RemovedUpTo)}
	for _, home := range w.Adopted {
		h.Adopted = append(h.Adopted, decodeHomeID(home))
	}
	for _, e := range w.Entries {
		record := decodeRecord(e.Record)
		h.Entries = append(h.Entries, HandoverEntry{
			Record:          record,
			RequestDigest:   e.RequestDigest,
			Result:          Result{Status: record.Status, Header: e.Header, Body: e.ResponseBody},
			ResponseMissing: e.ResponseMissing,
		})
	}
	return h, nil
}

// ExportHandover returns the state to transfer to the successor, and stops the home from
// starting runs. Runs that wait for their journal record are left out, as they won't
// be dispatched any more. Dispatched runs without an outcome are transferred as
// Unknown. From now on the home refuses keys without an entry as Unknown instead of
// NotRun, as the successor may run them before this home is informed of that.
func (h *Home) ExportHandover() (handover Handover) {
	handover.From = h.Self
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		if s.mode < modeHandingOver {
			s.mode = modeHandingOver
		}
		handover.ExpiredUpTo = later(handover.ExpiredUpTo, s.expiredUpTo)
		handover.RemovedUpTo = later(handover.RemovedUpTo, s.removedUpTo)
		if i == 0 {
			for home := range s.adopted {
				handover.Adopted = append(handover.Adopted, home)
			}
		}
		for _, e := range s.entries {
			if e.state != entryJournaling {
				handover.Entries = append(handover.Entries, e.toHandoverEntry())
			}
		}
		s.mu.Unlock()
	}
	return handover
}

func (e *entry) toHandoverEntry() HandoverEntry {
	record := e.record
	if e.state == entryRunning {
		record = record.WithState(RecordUnknown)
	}
	return HandoverEntry{Record: record, RequestDigest: e.requestDigest, Result: e.result, ResponseMissing: e.responseMissing}
}

// AdoptKeys adds the keys of a leaving home to this one. The snapshot must be the leaving
// home's journal, and must name this home as successor and contain the digest of the
// handover; else AdoptKeys returns ErrNotSuccessor. Adopting a handover again has no
// effect.
func (h *Home) AdoptKeys(handover Handover, snapshot JournalSnapshot) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("adopt keys of %s: %w", handover.From, err)
		}
	}()
	successor, ok := snapshot.Successor()
	if !ok || successor != h.Self || snapshot.Home != handover.From || snapshot.lastSegment().HandoverDigest != handover.Digest() {
		return ErrNotSuccessor
	}
	entries := make([][]HandoverEntry, homeShardCount)
	for _, e := range handover.Entries {
		i := e.Record.Run.Key[0] % homeShardCount
		entries[i] = append(entries[i], e)
	}
	for i := range h.shards {
		n, size := h.shards[i].adoptEntries(handover, entries[i])
		h.releaseEntries(-n, -size)
	}
	return nil
}

// adoptEntries adds the shard's part of a handover, unless it was added before. It
// returns the number of new entries and the total size of their response bodies.
func (s *homeShard) adoptEntries(handover Handover, entries []HandoverEntry) (n int, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adopted[handover.From] {
		return 0, 0
	}
	if s.adopted == nil {
		s.adopted = make(map[HomeID]bool)
	}
	if s.entries == nil {
		s.entries = make(map[KeyID]*entry)
	}
	for _, home := range append(handover.Adopted, handover.From) {
		s.adopted[home] = true
	}
	s.expiredUpTo = later(s.expiredUpTo, handover.ExpiredUpTo)
	s.removedUpTo = later(s.removedUpTo, handover.RemovedUpTo)
	for _, e := range entries {
		if s.entries[e.Record.Run.Key] == nil {
			s.entries[e.Record.Run.Key] = e.toEntry()
			size += int64(len(e.Result.Body))
			n++
		}
	}
	return n, size
}

func (e HandoverEntry) toEntry() *entry {
	adopted := &entry{requestDigest: e.RequestDigest, record: e.Record, result: e.Result, responseMissing: e.ResponseMissing, done: make(chan struct{})}
	close(adopted.done)
	switch e.Record.State {
	case RecordRan:
		adopted.state = entryFinished
	case RecordRetired:
		adopted.state = entryRetired
		adopted.result = Result{Refusal: retiredRefusal()}
	default:
		adopted.state = entryUnknown
	}
	return adopted
}
