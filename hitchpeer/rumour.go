package hitchpeer

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Budget of bytes for spreading records.
const (
	rumourBytesPerSecond = 1500
	rumourBurstBytes     = 20000
)

// send completes a packet with the records that its receiver lacks.
func (m *Members) send(now time.Time, to hitchfleet.InstanceID, p Packet, effects *Effects) {
	p.MemberSum = m.sums.fold()
	room := maxPacketBytes - packetHeaderBytes
	if mem := m.table[to]; mem.Status != Alive {
		// The receiver refutes what we wrongly believe of it.
		p.Records = append(p.Records, mem.brief())
		room -= mem.wireBytes()
	}
	p.Records = append(p.Records, m.takeRecords(now, to, room)...)
	effects.Sends = append(effects.Sends, Send{To: to, Packet: p})
}

func (m *Members) takeRecords(now time.Time, to hitchfleet.InstanceID, room int) []Record {
	m.budget = m.budget.at(now, rumourBytesPerSecond, rumourBurstBytes)
	var records []Record
	m.out.take(to, func(id hitchfleet.InstanceID) bool {
		record, ok := m.Record(id)
		if !ok {
			return true
		}
		record = record.brief()
		size := record.wireBytes()
		if size > room || float64(size) > m.budget.amount {
			return false
		}
		room -= size
		m.budget.amount -= float64(size)
		records = append(records, record)
		return true
	})
	return records
}

// flush sends the records that wait for each neighbour, as far as the budget goes.
func (m *Members) flush(now time.Time, effects *Effects) {
	ids := slices.Clone(m.neighbours)
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		records := m.takeRecords(now, id, maxPacketBytes-packetHeaderBytes)
		if len(records) > 0 {
			m.budget.amount -= datagramOverheadBytes
			packet := Packet{Kind: packetRumour, Records: records}
			effects.Sends = append(effects.Sends, Send{To: id, Packet: packet})
		}
	}
}
