package hitchpeer

import "sync/atomic"

// TrafficKind is the purpose of sent or received bytes.
type TrafficKind uint8

// The kinds of traffic.
const (
	TrafficProbe TrafficKind = iota
	TrafficRumour
	TrafficShare
	TrafficEcho
	TrafficHello
	TrafficSync
	TrafficPull
	TrafficCall
	trafficKindCount
)

// Traffic holds a router's traffic counters since its start. Sent and Received count
// the bytes of messages, without the framing of QUIC.
type Traffic struct {
	Sent     TrafficBytes
	Received TrafficBytes
	// WireSent and WireReceived count the bytes of QUIC packets, without UDP headers.
	WireSent     uint64
	WireReceived uint64
	// PacketsSent and PacketsReceived count QUIC packets.
	PacketsSent     uint64
	PacketsReceived uint64
	// Connections is the number of open connections; Dials counts the dials since the
	// start, including failed ones.
	Connections int
	Dials       uint64
}

// TrafficBytes holds the bytes of messages by purpose.
type TrafficBytes struct {
	// Probe counts pings and their answers, Rumour membership records and Share
	// shared values, all in datagrams.
	Probe  uint64
	Rumour uint64
	Share  uint64
	// Echo counts the echo requests and replies that test a connection.
	Echo  uint64
	Hello uint64
	// Sync counts anti-entropy requests and responses, Pull shared values that are
	// fetched over streams.
	Sync uint64
	Pull uint64
	Call uint64
}

type trafficCounters [trafficKindCount]atomic.Uint64

func (c *trafficCounters) add(kind TrafficKind, bytes int) { c[kind].Add(uint64(bytes)) }

// addPacket counts a packet's bytes: those of records as Rumour, those of entries as
// Share, and the remaining ones by the kind of the packet.
func (c *trafficCounters) addPacket(p Packet, bytes int) {
	var records, entries int
	for _, record := range p.Records {
		records += record.wireBytes()
	}
	for _, entry := range p.Entries {
		entries += entry.wireBytes()
	}
	records = min(records, bytes)
	entries = min(entries, bytes-records)
	remaining := bytes - records - entries
	c.add(TrafficRumour, records)
	c.add(TrafficShare, entries)
	switch {
	case p.Kind == packetEcho || p.Kind == packetEchoReply:
		c.add(TrafficEcho, remaining)
	case p.Kind == packetRumour && entries > records:
		c.add(TrafficShare, remaining)
	case p.Kind == packetRumour:
		c.add(TrafficRumour, remaining)
	default:
		c.add(TrafficProbe, remaining)
	}
}

func (c *trafficCounters) bytes() TrafficBytes {
	return TrafficBytes{
		Probe:  c[TrafficProbe].Load(),
		Rumour: c[TrafficRumour].Load(),
		Share:  c[TrafficShare].Load(),
		Echo:   c[TrafficEcho].Load(),
		Hello:  c[TrafficHello].Load(),
		Sync:   c[TrafficSync].Load(),
		Pull:   c[TrafficPull].Load(),
		Call:   c[TrafficCall].Load(),
	}
}

// trafficKindOf returns the traffic kind of requests of a kind.
func trafficKindOf(kind Kind) TrafficKind {
	switch kind {
	case kindHello:
		return TrafficHello
	case kindSync:
		return TrafficSync
	case kindPull:
		return TrafficPull
	default:
		return TrafficCall
	}
}
