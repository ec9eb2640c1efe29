package hitchclaim

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// Retention is how long a key's outcome is kept after the key's deadline.
	Retention = 5 * time.Minute
	// DoubtRetention is how long a booking in doubt is kept after its key's
	// deadline, for operators to resolve it.
	DoubtRetention = 7 * 24 * time.Hour
	// maxRecordBody is the maximum size of a response body kept in a journal
	// record, in bytes.
	maxRecordBody = 256
)

// RecordState is the state of a run in its journal record.
type RecordState uint8

// The states of records. The zero value is the uncertain one.
const (
	// RecordPending means that the call may have been dispatched.
	RecordPending RecordState = iota
	// RecordUnknown means that the call was dispatched and its outcome isn't known.
	RecordUnknown
	// RecordRan means that the call ran.
	RecordRan
	// RecordNotRun means that no attempt of this run reached an endpoint. The key may
	// be run again.
	RecordNotRun
	// RecordRetired means that the key's call never ran and never will.
	RecordRetired
)

var recordStateNames = [...]string{"Pending", "Unknown", "Ran", "NotRun", "Retired"}

// String returns the state's name.
func (s RecordState) String() string {
	if int(s) < len(recordStateNames) {
		return recordStateNames[s]
	}
	return "Unknown"
}

// Record is the journal record of one run of a key's call.
type Record struct {
	Run          Run
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	// Deadline is the key's deadline.
	Deadline time.Time
	State    RecordState
	Policy   JournalPolicy
	// Status is the HTTP status of the response if the call ran.
	Status int
	// Body is the response body if the call ran and the body is at most 256 bytes
	// long.
	Body []byte
}

// IsZero reports whether r is the zero Record, which stands for no record.
func (r Record) IsZero() bool { return r.Run == Run{} }

// WithState returns a copy with the given state.
func (r Record) WithState(s RecordState) Record {
	r.State = s
	return r
}

// WithResult returns a copy with state RecordRan and the status and body of the
// result. A body of more than 256 bytes is left out.
func (r Record) WithResult(result Result) Record {
	r.State = RecordRan
	r.Status = result.Status
	r.Body = nil
	if len(result.Body) <= maxRecordBody {
		r.Body = result.Body
	}
	return r
}

// KeepUntil returns when the record may be deleted: Retention after the key's
// deadline, or DoubtRetention after it if the outcome is in doubt.
func (r Record) KeepUntil() time.Time {
	if r.State == RecordUnknown {
		return r.Deadline.Add(DoubtRetention)
	}
	return r.Deadline.Add(Retention)
}

// supersedes reports whether r must replace older, a record of the same key. A record
// of an earlier run never replaces that of a later one.
func (r Record) supersedes(older Record) bool {
	if r.Run.Number != older.Run.Number {
		return r.Run.Number > older.Run.Number
	}
	return r.State != RecordPending && older.State != RecordRan
}

// wireRecord is the CBOR encoding of a record in journals and handovers.
type wireRecord struct {
	_            struct{} `cbor:",toarray"`
	Key          [16]byte
	Number       uint64
	Organisation string
	Route        string
	Deadline     int64 // Unix time in milliseconds
	State        uint8
	Policy       uint8
	Status       int
	Body         []byte
}

func (r Record) toWire() wireRecord {
	return wireRecord{
		Key:          r.Run.Key,
		Number:       r.Run.Number,
		Organisation: string(r.Organisation),
		Route:        string(r.Route),
		Deadline:     unixMilli(r.Deadline),
		State:        uint8(r.State),
		Policy:       uint8(r.Policy),
		Status:       r.Status,
		Body:         r.Body,
	}
}

func decodeRecord(w wireRecord) Record {
	return Record{
		Run:          Run{Key: w.Key, Number: w.Number},
		Organisation: hitchfleet.OrganisationID(w.Organisation),
		Route:        hitchfleet.RouteID(w.Route),
		Deadline:     timeFromMilli(w.Deadline),
		State:        RecordState(w.State),
		Policy:       JournalPolicy(w.Policy),
		Status:       w.Status,
		Body:         w.Body,
	}
}

// unixMilli returns the Unix time in milliseconds, or 0 for the zero time.
func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeFromMilli is the inverse of unixMilli.
func timeFromMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
