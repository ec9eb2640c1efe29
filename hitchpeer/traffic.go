package hitchpeer

import "sync/atomic"

// TrafficKind says what bytes were spent on.
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
	trafficKinds
)

// Traffic counts what a router sent and received since its start. Fields but
// Wire are bytes of messages, without the framing of QUIC.
type Traffic struct {
	Sent     TrafficBytes
	Received TrafficBytes
	// WireSent and WireReceived are bytes of QUIC packets, without UDP's headers.
	WireSent     uint64
	WireReceived uint64
	// PacketsSent and PacketsReceived count QUIC packets.
	PacketsSent     uint64
	PacketsReceived uint64
	// Connections are open now; Dials were tried since the start.
	Connections int
	Dials       uint64
}

// TrafficBytes are bytes of messages by kind.
type TrafficBytes struct {
	// Probe is for pings and their answers, Rumour for records of membership and
	// Share for shared values in datagrams.
	Probe  uint64
	Rumour uint64
	Share  uint64
	// Echo is for tests of single connections.
	Echo  uint64
	Hello uint64
	// Sync is for anti-entropy, Pull for shared values over streams.
	Sync uint64
	Pull uint64
	Call uint64
}

type trafficCounters [trafficKinds]atomic.Uint64

func (c *trafficCounters) add(kind TrafficKind, bytes int) { c[kind].Add(uint64(bytes)) }

// addPacket shares out a packet's bytes among its parts.
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
	rest := bytes - records - entries
	c.add(TrafficRumour, records)
	c.add(TrafficShare, entries)
	switch {
	case p.Kind == packetEcho || p.Kind == packetEchoReply:
		c.add(TrafficEcho, rest)
	case p.Kind == packetRumour && entries > records:
		c.add(TrafficShare, rest)
	case p.Kind == packetRumour:
		c.add(TrafficRumour, rest)
	default:
		c.add(TrafficProbe, rest)
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

// trafficOf tells what a request's bytes were spent on.
func trafficOf(kind Kind) TrafficKind {
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
