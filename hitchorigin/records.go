package hitchorigin

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of the origins that an instance keeps of streams that have ended, and of those
// that others shared with it. Each is kept for one to two generations.
const (
	generationLength     = Horizon
	maxGenerationRecords = 16 << 10
)

// record is an origin that an instance knows. Route is set for its own streams.
type record struct {
	Origin
	route string
	at    time.Time
}

// records holds the newest records in two generations. The zero value is empty.
type records struct {
	current, previous map[hitchfleet.Key]record
	// endsAt is when the current generation becomes the previous one.
	endsAt time.Time
}

// add adds a record, or replaces that of the same stream.
func (r *records) add(now time.Time, rec record) {
	r.expire(now)
	if len(r.current) >= maxGenerationRecords {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current, r.endsAt = make(map[hitchfleet.Key]record), now.Add(generationLength)
	}
	rec.Origin, rec.at = rec.interned(), now
	r.current[rec.Stream] = rec
}

// expire starts a new generation if the current one is over.
func (r *records) expire(now time.Time) {
	switch {
	case r.current == nil || now.Before(r.endsAt):
	case now.Before(r.endsAt.Add(generationLength)):
		r.previous, r.current = r.current, nil
	default:
		r.previous, r.current = nil, nil
	}
}

// find returns the record of a stream.
func (r *records) find(stream hitchfleet.Key) (record, bool) {
	if rec, ok := r.current[stream]; ok {
		return rec, true
	}
	rec, ok := r.previous[stream]
	return rec, ok
}

// each calls f with each record.
func (r *records) each(f func(record)) {
	for _, rec := range r.previous {
		f(rec)
	}
	for _, rec := range r.current {
		f(rec)
	}
}
