package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// merge takes in a claim about a router. Claims only ever rise in the order of
// Record.Compare; a router that sent an older claim is told the newer one.
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
			m.out.drop(from, record.ID)
			return
		}
		if order < 0 {
			m.out.mark(from, record.ID)
			return
		}
	}
	if record.Status == Alive && record.Incarnation == old.Incarnation && old.accusations > 0 && old.Status != Alive {
		m.refuted = m.refuted.withFlap(now)
	}
	record = record.withPlaceOf(old.Record)
	m.put(now, old, known, record)
	m.spread(record, from)
	effects.Changed = append(effects.Changed, record)
}

// spread queues a claim for the neighbours that may lack it. Suspicions concern
// only the region that judges them.
func (m *Members) spread(record Record, from hitchfleet.InstanceID) {
	for id := range m.out.lanes {
		if id != from && (record.Status != Suspect || m.table[id].Region == record.Region) {
			m.out.mark(id, record.ID)
		}
	}
	m.out.drop(from, record.ID)
}

func (m *Members) put(now time.Time, old member, known bool, record Record) {
	next := old
	next.Record = record
	if known {
		m.addSum(old.Record)
		if !record.gone() && (old.gone() || record.Incarnation > old.Incarnation) {
			next.flaps = old.flaps.withFlap(now)
		}
	}
	m.addSum(record)
	if record.Incarnation > old.Incarnation {
		next.listLeaving = false
		next.unanswered = false
	}
	if record.Status != Alive {
		m.passing[record.ID] = struct{}{}
	}
	if record.Status == Suspect {
		next.suspectUntil = now.Add(suspicionTimeout)
	}
	if record.gone() {
		next.forgetAt = now.Add(forgetAfter)
	} else {
		delete(m.candidates, record.ID)
	}
	m.table[record.ID] = next
	m.stale = m.stale || !known || record.gone() != old.gone() || record.Region != old.Region
}

// mergeSelf answers a claim about this router: it refutes what is wrong.
func (m *Members) mergeSelf(record Record, from hitchfleet.InstanceID, effects *Effects) {
	switch {
	case record.Incarnation > m.Self.Incarnation:
		effects.Superseded = record.Incarnation
	case record.Compare(m.Self) > 0:
		next := m.Self
		next.Detail = record.Detail + 1
		m.setSelf(next)
	case record.Compare(m.Self) < 0:
		m.out.mark(from, m.Self.ID)
	default:
		m.out.drop(from, m.Self.ID)
	}
}

// setSelf changes the router's own record and spreads it.
func (m *Members) setSelf(next Record) {
	m.addSum(m.Self)
	m.Self = next
	m.addSum(m.Self)
	m.out.markAll(m.Self.ID, "")
}

// addSum adds a record to the checksums, or takes it out if it was in.
func (m *Members) addSum(record Record) {
	bucket, sum := record.sum()
	m.sums[bucket] ^= sum
}

// Sums returns the checksums of the routers that aren't gone.
func (m *Members) Sums() [bucketCount]uint64 {
	m.init()
	return m.sums
}

// Differing returns the records in the buckets whose checksums differ from those
// given, up to a number of bytes.
func (m *Members) Differing(sums [bucketCount]uint64, maxBytes int) []Record {
	m.init()
	var records []Record
	add := func(record Record) {
		bucket := bucketOf(hitchfleet.KeyOf(string(record.ID)))
		if sums[bucket] == m.sums[bucket] || maxBytes < record.wireBytes() {
			return
		}
		maxBytes -= record.wireBytes()
		records = append(records, record)
	}
	add(m.Self)
	ids := sortedKeys(m.table)
	// In random order, so that repeated calls get past the limit.
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		add(m.table[id].Record)
	}
	return records
}
