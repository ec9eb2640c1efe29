package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Byte budget for sending shared values to neighbours.
const (
	shareBytesPerSecond = 1500
	shareBurstBytes     = 12000
)

func (g *Gossip) tick(now time.Time, effects *GossipEffects) {
	for key, stored := range g.entries {
		if !stored.expiresAt.IsZero() && !now.Before(stored.expiresAt) {
			delete(g.entries, key)
			g.sumsStale = true
		}
	}
	g.retryPulls(now, effects)
	ids := sortedKeys(g.neighbourRegions)
	g.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		entries := g.dequeueEntries(now, id, maxPacketBytes-packetHeaderBytes, &g.durableOutbox)
		if len(entries) > 0 {
			g.budget.tokens -= datagramOverheadBytes
			packet := Packet{Kind: packetRumour, Entries: entries}
			effects.Sends = append(effects.Sends, Send{To: id, Packet: packet})
		}
	}
}

func (g *Gossip) receive(now time.Time, msg PacketReceived, effects *GossipEffects) {
	for _, entry := range msg.Packet.Entries {
		g.merge(now, entry, msg.From, effects)
	}
	region, neighbour := g.neighbourRegions[msg.From]
	if !neighbour || !msg.Packet.carriesSums() {
		return
	}
	if g.divergence.isSyncDue(now, msg.From, msg.Packet.ShareSum == bucketSums(g.Sums(region)).fold()) {
		effects.Syncs = append(effects.Syncs, msg.From)
	}
}

// Attach adds the checksum of the shared values and as many queued values as fit to
// a packet that Members sends. Volatile values are sent only this way, as the
// overhead of separate packets would exceed the size of the values.
func (g *Gossip) Attach(now time.Time, send Send) Send {
	g.init()
	if !send.Packet.carriesSums() {
		return send
	}
	send.Packet.ShareSum = bucketSums(g.Sums(g.neighbourRegions[send.To])).fold()
	room := maxPacketBytes - packetHeaderBytes
	for _, record := range send.Packet.Records {
		room -= record.wireBytes()
	}
	send.Packet.Entries = g.dequeueEntries(now, send.To, room, &g.durableOutbox, &g.volatileOutbox)
	return send
}

// dequeueEntries removes queued values for a neighbour from the outboxes, within the
// room in the packet and the byte budget, and returns them.
func (g *Gossip) dequeueEntries(
	now time.Time, to hitchfleet.InstanceID, room int, outboxes ...*outbox[shareKey],
) []Entry {
	g.budget = g.budget.refill(now, shareBytesPerSecond, shareBurstBytes)
	var entries []Entry
	fits := func(key shareKey) bool {
		stored, ok := g.entries[key]
		if !ok {
			return true
		}
		size := stored.wireBytes()
		if size > room || float64(size) > g.budget.tokens {
			return false
		}
		room -= size
		g.budget.tokens -= float64(size)
		entries = append(entries, stored.forWire())
		return true
	}
	for _, box := range outboxes {
		box.dequeue(to, fits)
	}
	return entries
}

// Sums returns the checksums of the non-volatile values that this router should have
// in common with the routers of a region.
func (g *Gossip) Sums(region hitchfleet.Region) [bucketCount]uint64 {
	g.init()
	if g.sumsStale {
		g.computeSums()
	}
	if region != g.Self.Region {
		return g.globalSums
	}
	sums := g.globalSums
	for i, sum := range g.regionalSums {
		sums[i] ^= sum
	}
	return sums
}

func (g *Gossip) computeSums() {
	g.sumsStale = false
	g.globalSums, g.regionalSums = bucketSums{}, bucketSums{}
	for key, stored := range g.entries {
		if stored.isVolatile() || !g.isCurrent(stored.Entry) {
			continue
		}
		hash := key.hash()
		sum := hitchfleet.Score(hash, hitchfleet.Key(stored.Incarnation*31+stored.Version))
		if stored.isRegional() {
			g.regionalSums[bucketIndex(hash)] ^= sum
		} else {
			g.globalSums[bucketIndex(hash)] ^= sum
		}
	}
}

// Differing returns the values in the buckets whose checksums differ from those of a
// router of the given region, up to maxBytes. A joining router gets all values,
// volatile ones too.
func (g *Gossip) Differing(region hitchfleet.Region, sums [bucketCount]uint64, joining bool, maxBytes int) []Entry {
	own := g.Sums(region)
	keys := g.sortedShareKeys()
	// The order is random so that repeated calls return all values in spite of the
	// limit.
	g.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	var entries []Entry
	for _, key := range keys {
		stored := g.entries[key]
		bucket := bucketIndex(key.hash())
		wanted := joining || !stored.isVolatile() && sums[bucket] != own[bucket]
		inRegion := !stored.isRegional() || region == g.Self.Region
		if !wanted || !inRegion || !g.isCurrent(stored.Entry) || stored.wireBytes() > maxBytes {
			continue
		}
		maxBytes -= stored.wireBytes()
		entries = append(entries, stored.forWire())
	}
	return entries
}
