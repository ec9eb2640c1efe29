package hitchclaim

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"
)

// ErrNotEntitled says that the store doesn't name this home as the successor for
// exactly this handover.
var ErrNotEntitled = errors.New("hitchclaim: not entitled to the handover")

// Handover is what a leaving home gives its successor: every key that may have run,
// with its answer. All other keys of the homes have never run.
//
//	handover := home.HandOver()          // after Close, once Running is 0
//	step := journal.HandOver(now, successor, handover.Digest())
//	err := successorHome.Adopt(handover, ledger)
//	home.MoveTo(successor)
type Handover struct {
	From HomeID
	// Adopted are the homes whose keys From was handed before.
	Adopted []HomeID
	// Spent and Forgotten bound the deadlines of keys that may not start, and of
	// keys whose outcome is no longer kept.
	Spent, Forgotten time.Time
	Entries          []HandoverEntry
}

// HandoverEntry is one key in a handover.
type HandoverEntry struct {
	Record Record
	Body   Digest
	Result Result
	// Cut is set if the answer was too large to keep.
	Cut bool
}

// wireHandover is the encoding of a handover.
type wireHandover struct {
	_                struct{} `cbor:",toarray"`
	From             wireHome
	Adopted          []wireHome
	Spent, Forgotten int64 // Unix time in milliseconds
	Entries          []wireHandoverEntry
}

type wireHandoverEntry struct {
	_      struct{} `cbor:",toarray"`
	Record wireRecord
	Body   [32]byte
	Header []HeaderField
	Answer []byte
	Cut    bool
}

// Encode returns the handover as it is sent to the successor.
func (h Handover) Encode() []byte {
	w := wireHandover{From: h.From.wire(), Spent: unixMilli(h.Spent), Forgotten: unixMilli(h.Forgotten)}
	for _, home := range h.Adopted {
		w.Adopted = append(w.Adopted, home.wire())
	}
	for _, e := range h.Entries {
		w.Entries = append(w.Entries, wireHandoverEntry{
			Record: e.Record.wire(), Body: e.Body, Header: e.Result.Header, Answer: e.Result.Body, Cut: e.Cut,
		})
	}
	return mustEncode(w)
}

// Digest returns the SHA-256 of the encoding.
func (h Handover) Digest() Digest { return sha256.Sum256(h.Encode()) }

// DecodeHandover reads a handover.
func DecodeHandover(data []byte) (h Handover, err error) {
	var w wireHandover
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Handover{}, fmt.Errorf("decode handover: %w", err)
	}
	h = Handover{From: homeFrom(w.From), Spent: fromMilli(w.Spent), Forgotten: fromMilli(w.Forgotten)}
	for _, home := range w.Adopted {
		h.Adopted = append(h.Adopted, homeFrom(home))
	}
	for _, e := range w.Entries {
		record := recordFrom(e.Record)
		h.Entries = append(h.Entries, HandoverEntry{
			Record: record,
			Body:   e.Body,
			Result: Result{Status: record.Status, Header: e.Header, Body: e.Answer},
			Cut:    e.Cut,
		})
	}
	return h, nil
}

// HandOver returns what a home gives its successor, and ends its right to run keys.
// Runs that wait for their journal record are left out, as they aren't dispatched any
// more; dispatched runs that aren't over are handed on as Unknown. From here on
// the home says NotRun of no key that it has no answer for, as the successor may run
// it before this home learns that it may.
func (h *Home) HandOver() (handover Handover) {
	handover.From = h.Self
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		if s.mode < modeHandingOver {
			s.mode = modeHandingOver
		}
		handover.Spent = later(handover.Spent, s.spent)
		handover.Forgotten = later(handover.Forgotten, s.forgotten)
		if i == 0 {
			for home := range s.adopted {
				handover.Adopted = append(handover.Adopted, home)
			}
		}
		for _, e := range s.entries {
			if e.state != entryJournaling {
				handover.Entries = append(handover.Entries, e.handOver())
			}
		}
		s.mu.Unlock()
	}
	return handover
}

func (e *entry) handOver() HandoverEntry {
	record := e.record
	if e.state == entryRunning {
		record = record.WithState(RecordUnknown)
	}
	return HandoverEntry{Record: record, Body: e.body, Result: e.result, Cut: e.cut}
}

// Adopt takes the keys of a leaving home. The ledger is that of the leaving home
// and must name this home and the handover's digest; else Adopt returns
// ErrNotEntitled. A handover that was adopted before changes nothing.
func (h *Home) Adopt(handover Handover, ledger Ledger) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("adopt keys of %s: %w", handover.From, err)
		}
	}()
	successor, ok := ledger.Successor()
	if !ok || successor != h.Self || ledger.Home != handover.From || ledger.head().Handover != handover.Digest() {
		return ErrNotEntitled
	}
	entries := make([][]HandoverEntry, homeShards)
	for _, e := range handover.Entries {
		i := e.Record.Run.Key[0] % homeShards
		entries[i] = append(entries[i], e)
	}
	for i := range h.shards {
		n, size := h.shards[i].adopt(handover, entries[i])
		h.release(-n, -size)
	}
	return nil
}

// adopt takes a shard's part of a handover, once.
func (s *homeShard) adopt(handover Handover, entries []HandoverEntry) (n int, size int64) {
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
	s.spent = later(s.spent, handover.Spent)
	s.forgotten = later(s.forgotten, handover.Forgotten)
	for _, e := range entries {
		if s.entries[e.Record.Run.Key] == nil {
			s.entries[e.Record.Run.Key] = e.entry()
			size += int64(len(e.Result.Body))
			n++
		}
	}
	return n, size
}

func (e HandoverEntry) entry() *entry {
	adopted := &entry{body: e.Body, record: e.Record, result: e.Result, cut: e.Cut, done: make(chan struct{})}
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
