package hitchpeer

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of shared values.
const (
	// orphanTTL is how long a value is kept while its origin isn't known to be alive.
	orphanTTL  = time.Minute
	maxEntries = 8192
	// volatileFanout is the number of neighbours that a router forwards a volatile
	// value to.
	volatileFanout = 3
)

type (
	// Publish sets the value that this router shares for a topic.
	Publish struct {
		Topic Topic
		Body  []byte
	}

	// OriginChanged passes a record that changed in Members on to Gossip.
	OriginChanged struct{ Record Record }

	// NeighboursChanged lists the routers that this router sends packets to.
	NeighboursChanged struct{ Neighbours []Neighbour }

	// PullCompleted is the result of a Pull. Entry.Body is empty if it failed.
	PullCompleted struct {
		From  hitchfleet.InstanceID
		Entry Entry
	}
)

// Neighbour is a router that this router sends packets to.
type Neighbour struct {
	ID     hitchfleet.InstanceID
	Region hitchfleet.Region
}

// Pull is a request for a value that a router has announced.
type Pull struct {
	From  hitchfleet.InstanceID
	Entry Entry
}

// GossipEffects are the actions that the caller of Gossip.Update must take.
type GossipEffects struct {
	Sends []Send
	Pulls []Pull
	Syncs []hitchfleet.InstanceID
	// Changed holds the values that are new or replaced older ones.
	Changed []SharedValue
}

// Gossip stores the newest value of each origin and topic, and decides what to send
// so that all routers receive it. It does no I/O: Update changes its state and
// returns the actions to take.
//
//	g := hitchpeer.Gossip{Self: hitchpeer.RecordOf(self)}
//	effects := g.Update(now, hitchpeer.Publish{Topic: Loads, Body: body})
//	values := g.Values(Loads)
//
// It isn't safe for concurrent use.
type Gossip struct {
	Self Record
	// Seed seeds the random choice of the receivers of volatile values.
	Seed uint64

	entries          map[shareKey]storedEntry
	pulls            map[shareKey]pendingPull
	origins          map[hitchfleet.InstanceID]Record
	neighbourRegions map[hitchfleet.InstanceID]hitchfleet.Region
	durableOutbox    outbox[shareKey]
	globalSums       bucketSums
	regionalSums     bucketSums
	// sumsStale is set when the checksums have to be recomputed.
	sumsStale      bool
	volatileOutbox outbox[shareKey]
	budget         tokenBucket
	divergence     divergenceTracker
	random         *rand.Rand
}

// storedEntry is an entry with this router's local bookkeeping.
type storedEntry struct {
	Entry
	receivedAt time.Time
	// expiresAt is set while the origin isn't known to be alive.
	expiresAt time.Time
}

// Update applies a message and returns the actions to take.
func (g *Gossip) Update(now time.Time, message any) (effects GossipEffects) {
	g.init()
	switch msg := message.(type) {
	case Tick:
		g.tick(now, &effects)
	case Publish:
		g.publish(now, msg, &effects)
	case PacketReceived:
		g.receive(now, msg, &effects)
	case SyncCompleted:
		for _, entry := range msg.Entries {
			g.merge(now, entry, msg.From, &effects)
		}
	case PullCompleted:
		g.completePull(now, msg, &effects)
	case OriginChanged:
		g.originChanged(now, msg.Record)
	case NeighboursChanged:
		g.setNeighbours(msg.Neighbours)
	}
	return effects
}

func (g *Gossip) init() {
	if g.entries != nil {
		return
	}
	g.entries = make(map[shareKey]storedEntry)
	g.pulls = make(map[shareKey]pendingPull)
	g.origins = make(map[hitchfleet.InstanceID]Record)
	g.random = rand.New(rand.NewPCG(g.Seed, uint64(g.Self.Instance().Key())))
}

func (g *Gossip) publish(now time.Time, msg Publish, effects *GossipEffects) {
	key := shareKey{origin: g.Self.ID, topic: msg.Topic.Name}
	version := g.entries[key].Version + 1
	g.store(now, newEntry(g.Self, msg.Topic, version, msg.Body), "", effects)
}

// merge applies a value or an announcement from another router. A value only
// replaces an older one.
func (g *Gossip) merge(now time.Time, entry Entry, from hitchfleet.InstanceID, effects *GossipEffects) {
	key := entry.key()
	if entry.Topic == "" || entry.Size > MaxShareBytes || entry.Origin == g.Self.ID || g.isOutdated(entry) {
		g.durableOutbox.remove(from, key)
		return
	}
	old, known := g.entries[key]
	if !known && len(g.entries) >= maxEntries {
		return
	}
	if known {
		order := entry.Compare(old.Entry)
		if order <= 0 {
			g.handleNotNewer(order, entry, key, from)
			return
		}
	}
	if entry.Size > 0 && len(entry.Body) == 0 {
		g.recordAnnouncement(now, entry, from, effects)
		return
	}
	if entry.isComplete() {
		g.store(now, entry, from, effects)
	}
}

// handleNotNewer handles a value that isn't newer than the stored one: it stops
// sending the value to a neighbour that has it, and queues the newer one, if
// it isn't volatile, for a neighbour that has an older one.
func (g *Gossip) handleNotNewer(order int, entry Entry, key shareKey, from hitchfleet.InstanceID) {
	g.volatileOutbox.remove(from, key)
	if order == 0 {
		g.durableOutbox.remove(from, key)
	} else if !entry.isVolatile() && g.isInScope(entry, from) {
		g.durableOutbox.enqueue(from, key)
	}
}

// isOutdated reports whether the entry's origin is dead, has left or runs as a later
// incarnation.
func (g *Gossip) isOutdated(entry Entry) bool {
	origin, known := g.origins[entry.Origin]
	if !known {
		return false
	}
	return entry.Incarnation < origin.Incarnation || entry.Incarnation == origin.Incarnation && origin.isGone()
}

// isCurrent reports whether the entry's origin is known to run as the incarnation
// that shared it. For an origin that this router doesn't know, isOutdated and
// isCurrent both report false.
func (g *Gossip) isCurrent(entry Entry) bool {
	if entry.Origin == g.Self.ID {
		return true
	}
	origin, known := g.origins[entry.Origin]
	return known && !origin.isGone() && origin.Incarnation == entry.Incarnation
}

func (g *Gossip) store(now time.Time, entry Entry, from hitchfleet.InstanceID, effects *GossipEffects) {
	key := entry.key()
	stored := storedEntry{Entry: entry, receivedAt: now}
	if !g.isCurrent(entry) {
		stored.expiresAt = now.Add(orphanTTL)
	}
	g.entries[key] = stored
	delete(g.pulls, key)
	g.sumsStale = g.sumsStale || !entry.isVolatile()
	g.propagate(entry, from)
	effects.Changed = append(effects.Changed, stored.sharedValue())
}

// propagate queues a value for the neighbours that may not have it: a volatile value
// for volatileFanout random neighbours, any other value for all of them.
func (g *Gossip) propagate(entry Entry, from hitchfleet.InstanceID) {
	var receivers []hitchfleet.InstanceID
	for _, id := range sortedKeys(g.neighbourRegions) {
		if id != from && g.isInScope(entry, id) {
			receivers = append(receivers, id)
		}
	}
	key := entry.key()
	if !entry.isVolatile() {
		for _, id := range receivers {
			g.durableOutbox.enqueue(id, key)
		}
		g.durableOutbox.remove(from, key)
		return
	}
	g.volatileOutbox.remove(from, key)
	g.random.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	for _, id := range receivers[:min(volatileFanout, len(receivers))] {
		g.volatileOutbox.enqueue(id, key)
	}
}

func (g *Gossip) isInScope(entry Entry, to hitchfleet.InstanceID) bool {
	return !entry.isRegional() || g.neighbourRegions[to] == g.Self.Region
}

func (g *Gossip) originChanged(now time.Time, record Record) {
	g.origins[record.ID] = record
	g.sumsStale = true
	for key, stored := range g.entries {
		if key.origin != record.ID {
			continue
		}
		switch {
		case g.isCurrent(stored.Entry):
			stored.expiresAt = time.Time{}
		case stored.expiresAt.IsZero():
			stored.expiresAt = now.Add(orphanTTL)
		}
		g.entries[key] = stored
	}
}

func (g *Gossip) setNeighbours(neighbours []Neighbour) {
	g.neighbourRegions = make(map[hitchfleet.InstanceID]hitchfleet.Region, len(neighbours))
	for _, n := range neighbours {
		g.neighbourRegions[n.ID] = n.Region
	}
	ids := sortedKeys(g.neighbourRegions)
	g.durableOutbox.setNeighbours(ids)
	g.volatileOutbox.setNeighbours(ids)
}

// Values returns the newest value of each origin for a topic, sorted by origin.
func (g *Gossip) Values(topic Topic) []SharedValue {
	var values []SharedValue
	for _, key := range g.sortedShareKeys() {
		if key.topic == topic.Name {
			values = append(values, g.entries[key].sharedValue())
		}
	}
	return values
}

func (g *Gossip) sortedShareKeys() []shareKey {
	keys := make([]shareKey, 0, len(g.entries))
	for key := range g.entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareShareKeys)
	return keys
}

func (e storedEntry) sharedValue() SharedValue {
	return SharedValue{
		Topic: e.topic(), Origin: e.Origin, Incarnation: e.Incarnation,
		Version: e.Version, Body: e.Body, ReceivedAt: e.receivedAt,
	}
}
