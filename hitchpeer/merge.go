package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// merge applies a record of a router. A record is only replaced by one that is higher
// in the order of Record.Compare; a sender whose record is lower gets the higher one
// in return.
func (m *Members) merge(now time.Time, record Record, from hitchfleet.InstanceID, effects *Effects) {
	if record.ID == "" {
		return
	}
	if record.ID == m.Self.ID {
		m.mergeSelf(record, from, effects)
		return
	}
	old, known := m.table[record.ID]
	if !known && (len(m.table) >= maxRecords || record.Status == Suspect && record.Region == "") {
		return
	}
	if known {
		order := record.Compare(old.Record)
		if order == 0 {
			m.outbox.remove(from, record.ID)
			return
		}
		if order < 0 {
			m.outbox.enqueue(from, record.ID)
			return
		}
	}
	if record.Status == Alive && record.Incarnation == old.Incarnation && old.suspicions > 0 && old.Status != Alive {
		m.falseSuspicions = m.falseSuspicions.withEvent(now)
	}
	record = record.withLocationOf(old.Record)
	m.storeRecord(now, old, known, record)
	m.propagate(record, from)
	effects.Changed = append(effects.Changed, record)
}

// propagate queues a record for the neighbours that may not have it. A suspicion is
// only sent to neighbours in the region of the suspected router, as only they may
// declare it dead.
func (m *Members) propagate(record Record, from hitchfleet.InstanceID) {
	for id := range m.outbox.queues {
		if id != from && (record.Status != Suspect || m.table[id].Region == record.Region) {
			m.outbox.enqueue(id, record.ID)
		}
	}
	m.outbox.remove(from, record.ID)
}

func (m *Members) storeRecord(now time.Time, old member, known bool, record Record) {
	next := old
	next.Record = record
	if known {
		m.toggleSum(old.Record)
		if !record.isGone() && (old.isGone() || record.Incarnation > old.Incarnation) {
			next.flapPenalty = old.flapPenalty.withEvent(now)
		}
	}
	m.toggleSum(record)
	if record.Incarnation > old.Incarnation {
		next.listedAsLeaving = false
		next.probeFailing = false
	}
	if record.Status != Alive {
		m.transient[record.ID] = struct{}{}
	}
	if record.Status == Suspect {
		next.suspectUntil = now.Add(suspicionTimeout)
	}
	if record.isGone() {
		next.removeAt = now.Add(goneRecordTTL)
	} else {
		delete(m.candidates, record.ID)
	}
	m.table[record.ID] = next
	m.neighboursStale = m.neighboursStale || !known || record.isGone() != old.isGone() || record.Region != old.Region
}

// mergeSelf handles a record of this router itself and refutes it if it is wrong.
func (m *Members) mergeSelf(record Record, from hitchfleet.InstanceID, effects *Effects) {
	switch {
	case record.Incarnation > m.Self.Incarnation:
		effects.Superseded = record.Incarnation
	case record.Compare(m.Self) > 0:
		next := m.Self
		next.Revision = record.Revision + 1
		m.setSelf(next)
	case record.Compare(m.Self) < 0:
		m.outbox.enqueue(from, m.Self.ID)
	default:
		m.outbox.remove(from, m.Self.ID)
	}
}

// setSelf changes the router's own record and queues it for all neighbours.
func (m *Members) setSelf(next Record) {
	m.toggleSum(m.Self)
	m.Self = next
	m.toggleSum(m.Self)
	m.outbox.enqueueAll(m.Self.ID, "")
}

// toggleSum adds a record to the checksums, or removes one that was added before.
func (m *Members) toggleSum(record Record) {
	bucket, sum := record.checksum()
	m.sums[bucket] ^= sum
}

// Sums returns the checksums of the records, without those of routers that are dead
// or have left.
func (m *Members) Sums() [bucketCount]uint64 {
	m.init()
	return m.sums
}

// Differing returns the records in the buckets whose checksums differ from the given
// ones, up to maxBytes.
func (m *Members) Differing(sums [bucketCount]uint64, maxBytes int) []Record {
	m.init()
	var records []Record
	add := func(record Record) {
		bucket := bucketIndex(hitchfleet.KeyOf(string(record.ID)))
		if sums[bucket] == m.sums[bucket] || maxBytes < record.wireBytes() {
			return
		}
		maxBytes -= record.wireBytes()
		records = append(records, record)
	}
	add(m.Self)
	ids := sortedKeys(m.table)
	// The order is random so that repeated calls return all records in spite of the
	// limit.
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		add(m.table[id].Record)
	}
	return records
}
