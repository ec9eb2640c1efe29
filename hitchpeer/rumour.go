package hitchpeer

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Byte budget for sending records to neighbours (rumour mongering).
const (
	rumourBytesPerSecond = 1500
	rumourBurstBytes     = 20000
)

// send adds the records that are queued for the receiver to a packet, as far as they
// fit, and sends it.
func (m *Members) send(now time.Time, to hitchfleet.InstanceID, p Packet, effects *Effects) {
	p.MemberSum = m.sums.fold()
	room := maxPacketBytes - packetHeaderBytes
	if mem := m.table[to]; mem.Status != Alive {
		// If the receiver isn't recorded as alive, it must get that record to refute it.
		p.Records = append(p.Records, mem.forWire())
		room -= mem.wireBytes()
	}
	p.Records = append(p.Records, m.dequeueRecords(now, to, room)...)
	effects.Sends = append(effects.Sends, Send{To: to, Packet: p})
}

func (m *Members) dequeueRecords(now time.Time, to hitchfleet.InstanceID, room int) []Record {
	m.budget = m.budget.refill(now, rumourBytesPerSecond, rumourBurstBytes)
	var records []Record
	m.outbox.dequeue(to, func(id hitchfleet.InstanceID) bool {
		record, ok := m.Record(id)
		if !ok {
			return true
		}
		record = record.forWire()
		size := record.wireBytes()
		if size > room || float64(size) > m.budget.tokens {
			return false
		}
		room -= size
		m.budget.tokens -= float64(size)
		records = append(records, record)
		return true
	})
	return records
}

// flush sends the queued records to each neighbour, within the budget.
func (m *Members) flush(now time.Time, effects *Effects) {
	ids := slices.Clone(m.neighbours)
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		records := m.dequeueRecords(now, id, maxPacketBytes-packetHeaderBytes)
		if len(records) > 0 {
			m.budget.tokens -= datagramOverheadBytes
			packet := Packet{Kind: packetRumour, Records: records}
			effects.Sends = append(effects.Sends, Send{To: id, Packet: packet})
		}
	}
}
