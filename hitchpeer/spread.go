package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Budget of bytes for spreading shared values.
const (
	shareBytesPerSecond = 1500
	shareBurstBytes     = 12000
)

func (g *Gossip) tick(now time.Time, effects *GossipEffects) {
	for key, h := range g.entries {
		if !h.expiresAt.IsZero() && !now.Before(h.expiresAt) {
			delete(g.entries, key)
			g.sumsStale = true
		}
	}
	g.retryWants(now, effects)
	ids := sortedKeys(g.regions)
	g.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		entries := g.takeEntries(now, id, maxPacketBytes-packetHeaderBytes, &g.durable)
		if len(entries) > 0 {
			g.budget.amount -= datagramOverheadBytes
			packet := Packet{Kind: packetRumour, Entries: entries}
			effects.Sends = append(effects.Sends, Send{To: id, Packet: packet})
		}
	}
}

func (g *Gossip) receive(now time.Time, msg Received, effects *GossipEffects) {
	for _, entry := range msg.Packet.Entries {
		g.accept(now, entry, msg.From, effects)
	}
	region, neighbour := g.regions[msg.From]
	if !neighbour || !msg.Packet.carriesSums() {
		return
	}
	if g.differs.due(now, msg.From, msg.Packet.ShareSum == buckets(g.Sums(region)).fold()) {
		effects.Syncs = append(effects.Syncs, msg.From)
	}
}

// Attach completes a packet of Members with the checksum of the shared values
// and with as many of them as fit. Volatile values go in no other way, as
// packets of their own would cost more than they carry.
func (g *Gossip) Attach(now time.Time, send Send) Send {
	g.init()
	if !send.Packet.carriesSums() {
		return send
	}
	send.Packet.ShareSum = buckets(g.Sums(g.regions[send.To])).fold()
	room := maxPacketBytes - packetHeaderBytes
	for _, record := range send.Packet.Records {
		room -= record.wireBytes()
	}
	send.Packet.Entries = g.takeEntries(now, send.To, room, &g.durable, &g.volatile)
	return send
}

// takeEntries removes what waits for a neighbour, within the room of the packet
// and the budget.
func (g *Gossip) takeEntries(
	now time.Time, to hitchfleet.InstanceID, room int, boxes ...*outbox[shareKey],
) []Entry {
	g.budget = g.budget.at(now, shareBytesPerSecond, shareBurstBytes)
	var entries []Entry
	take := func(key shareKey) bool {
		h, ok := g.entries[key]
		if !ok {
			return true
		}
		size := h.wireBytes()
		if size > room || float64(size) > g.budget.amount {
			return false
		}
		room -= size
		g.budget.amount -= float64(size)
		entries = append(entries, h.forWire())
		return true
	}
	for _, box := range boxes {
		box.take(to, take)
	}
	return entries
}

// Sums returns the checksums of the durable values that this router has in
// common with those of a region.
func (g *Gossip) Sums(region hitchfleet.Region) [bucketCount]uint64 {
	g.init()
	if g.sumsStale {
		g.computeSums()
	}
	if region != g.Self.Region {
		return g.fleet
	}
	all := g.fleet
	for i, sum := range g.nearby {
		all[i] ^= sum
	}
	return all
}

func (g *Gossip) computeSums() {
	g.sumsStale = false
	g.fleet, g.nearby = buckets{}, buckets{}
	for key, h := range g.entries {
		if h.volatile() || !g.current(h.Entry) {
			continue
		}
		hash := key.hash()
		sum := hitchfleet.Score(hash, hitchfleet.Key(h.Incarnation*31+h.Version))
		if h.regional() {
			g.nearby[bucketOf(hash)] ^= sum
		} else {
			g.fleet[bucketOf(hash)] ^= sum
		}
	}
}

// Differing returns the values in the buckets whose checksums differ from those
// of a router of the given region, up to a number of bytes. A router that joins
// gets the volatile values as well.
func (g *Gossip) Differing(region hitchfleet.Region, sums [bucketCount]uint64, joining bool, maxBytes int) []Entry {
	own := g.Sums(region)
	keys := g.sortedEntries()
	// In random order, so that repeated calls get past the limit.
	g.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	var entries []Entry
	for _, key := range keys {
		h := g.entries[key]
		bucket := bucketOf(key.hash())
		wanted := joining || !h.volatile() && sums[bucket] != own[bucket]
		near := !h.regional() || region == g.Self.Region
		if !wanted || !near || !g.current(h.Entry) || h.wireBytes() > maxBytes {
			continue
		}
		maxBytes -= h.wireBytes()
		entries = append(entries, h.forWire())
	}
	return entries
}
