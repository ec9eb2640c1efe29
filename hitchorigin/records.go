package hitchorigin

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

// maxGenerationRecords is half of the number of records that are kept at most.
const maxGenerationRecords = 16 << 10

// recordLimits limits the origins that an instance keeps of streams that have ended, and
// those that others shared with it.
var recordLimits = hitchrecent.Limits{Seconds: int(Horizon / time.Second), Size: maxGenerationRecords}

// record is an origin that an instance knows. Route is set for its own streams.
type record struct {
	Origin
	route string
	at    time.Time
}

// records holds the newest records. The zero value is empty.
type records struct {
	recent hitchrecent.Map[hitchfleet.Key, record]
}

// add adds a record, or replaces that of the same stream.
func (r *records) add(now time.Time, rec record) {
	rec.Origin, rec.at = rec.interned(), now
	r.recent.Add(now, recordLimits, rec.Stream, rec)
}

// find returns the record of a stream.
func (r *records) find(stream hitchfleet.Key) (record, bool) { return r.recent.Get(stream) }

// each calls f with each record.
func (r *records) each(f func(record)) { r.recent.Each(f) }
