package hitchpeer

import (
	"math/rand/v2"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Limits of shared values.
const (
	// shareLinger is how long a value outlives its origin.
	shareLinger = time.Minute
	maxEntries  = 8192
	// volatileFanout is to how many neighbours a router passes a volatile value.
	volatileFanout = 3
)

type (
	// Publish shares a value of this router.
	Publish struct {
		Topic Topic
		Body  []byte
	}

	// OriginChanged tells Gossip what Members learnt of a router.
	OriginChanged struct{ Record Record }

	// NeighboursChanged names the routers that packets go to.
	NeighboursChanged struct{ Neighbours []Neighbour }

	// Pulled is the answer to a Pull. Entry.Body is nil where it failed.
	Pulled struct {
		From  hitchfleet.InstanceID
		Entry Entry
	}
)

// Neighbour is a router that packets go to.
type Neighbour struct {
	ID     hitchfleet.InstanceID
	Region hitchfleet.Region
}

// Pull asks a router for a value that it has announced.
type Pull struct {
	From  hitchfleet.InstanceID
	Entry Entry
}

// GossipEffects is what Gossip asks for after an Update.
type GossipEffects struct {
	Sends []Send
	Pulls []Pull
	Syncs []hitchfleet.InstanceID
	// Changed are values that are new or replaced older ones.
	Changed []SharedValue
}

// Gossip holds the newest value of each origin and topic, and decides what to
// send so that all routers get it. It is a plain value: Update changes it and
// returns what to do.
//
//	g := hitchpeer.Gossip{Self: hitchpeer.RecordOf(self)}
//	effects := g.Update(now, hitchpeer.Publish{Topic: Loads, Body: body})
//	values := g.Values(Loads)
//
// It isn't safe for several goroutines.
type Gossip struct {
	Self Record
	// Seed seeds the choice of receivers of volatile values.
	Seed uint64

	entries map[shareKey]held
	wants   map[shareKey]want
	origins map[hitchfleet.InstanceID]Record
	regions map[hitchfleet.InstanceID]hitchfleet.Region
	durable outbox[shareKey]
	fleet   buckets
	nearby  buckets
	// sumsStale is set when the checksums have to be computed anew.
	sumsStale bool
	volatile  outbox[shareKey]
	budget    allowance
	differs   divergence
	random    *rand.Rand
}

// held is a value with what this router knows of it alone.
type held struct {
	Entry
	at time.Time
	// expiresAt is set while the origin isn't known to be alive.
	expiresAt time.Time
}

// Update takes a message of this package and returns what to do about it.
func (g *Gossip) Update(now time.Time, message any) (effects GossipEffects) {
	g.init()
	switch msg := message.(type) {
	case Tick:
		g.tick(now, &effects)
	case Publish:
		g.publish(now, msg, &effects)
	case Received:
		g.receive(now, msg, &effects)
	case Synced:
		for _, entry := range msg.Entries {
			g.accept(now, entry, msg.From, &effects)
		}
	case Pulled:
		g.pulled(now, msg, &effects)
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
	g.entries = make(map[shareKey]held)
	g.wants = make(map[shareKey]want)
	g.origins = make(map[hitchfleet.InstanceID]Record)
	g.random = rand.New(rand.NewPCG(g.Seed, uint64(g.Self.Instance().Key())))
}

func (g *Gossip) publish(now time.Time, msg Publish, effects *GossipEffects) {
	key := shareKey{origin: g.Self.ID, topic: msg.Topic.Name}
	version := g.entries[key].Version + 1
	g.store(now, newEntry(g.Self, msg.Topic, version, msg.Body), "", effects)
}

// accept takes in a value or an announcement. A value only ever replaces an
// older one.
func (g *Gossip) accept(now time.Time, entry Entry, from hitchfleet.InstanceID, effects *GossipEffects) {
	key := entry.key()
	if entry.Topic == "" || entry.Size > MaxShareBytes || entry.Origin == g.Self.ID || g.outdated(entry) {
		g.durable.drop(from, key)
		return
	}
	old, known := g.entries[key]
	if !known && len(g.entries) >= maxEntries {
		return
	}
	if known {
		order := entry.Compare(old.Entry)
		if order <= 0 {
			g.keptOlder(order, entry, key, from)
			return
		}
	}
	if entry.Size > 0 && len(entry.Body) == 0 {
		g.announced(now, entry, from, effects)
		return
	}
	if entry.complete() {
		g.store(now, entry, from, effects)
	}
}

// keptOlder handles a value that isn't newer than the one that is held.
func (g *Gossip) keptOlder(order int, entry Entry, key shareKey, from hitchfleet.InstanceID) {
	g.volatile.drop(from, key)
	if order == 0 {
		g.durable.drop(from, key)
	} else if !entry.volatile() && g.inScope(entry, from) {
		g.durable.mark(from, key)
	}
}

// outdated tells whether the entry's origin is gone or runs as a later
// incarnation.
func (g *Gossip) outdated(entry Entry) bool {
	origin, known := g.origins[entry.Origin]
	if !known {
		return false
	}
	return entry.Incarnation < origin.Incarnation || entry.Incarnation == origin.Incarnation && origin.gone()
}

// current tells whether the entry's origin is known to be alive as the
// incarnation that shared it.
func (g *Gossip) current(entry Entry) bool {
	if entry.Origin == g.Self.ID {
		return true
	}
	origin, known := g.origins[entry.Origin]
	return known && !origin.gone() && origin.Incarnation == entry.Incarnation
}

func (g *Gossip) store(now time.Time, entry Entry, from hitchfleet.InstanceID, effects *GossipEffects) {
	key := entry.key()
	next := held{Entry: entry, at: now}
	if !g.current(entry) {
		next.expiresAt = now.Add(shareLinger)
	}
	g.entries[key] = next
	delete(g.wants, key)
	g.sumsStale = g.sumsStale || !entry.volatile()
	g.spread(entry, from)
	effects.Changed = append(effects.Changed, next.value())
}

// spread queues a value for the neighbours that may lack it.
func (g *Gossip) spread(entry Entry, from hitchfleet.InstanceID) {
	var receivers []hitchfleet.InstanceID
	for _, id := range sortedKeys(g.regions) {
		if id != from && g.inScope(entry, id) {
			receivers = append(receivers, id)
		}
	}
	key := entry.key()
	if !entry.volatile() {
		for _, id := range receivers {
			g.durable.mark(id, key)
		}
		g.durable.drop(from, key)
		return
	}
	g.volatile.drop(from, key)
	g.random.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
	for _, id := range receivers[:min(volatileFanout, len(receivers))] {
		g.volatile.mark(id, key)
	}
}

func (g *Gossip) inScope(entry Entry, to hitchfleet.InstanceID) bool {
	return !entry.regional() || g.regions[to] == g.Self.Region
}

func (g *Gossip) originChanged(now time.Time, record Record) {
	g.origins[record.ID] = record
	g.sumsStale = true
	for key, h := range g.entries {
		if key.origin != record.ID {
			continue
		}
		switch {
		case g.current(h.Entry):
			h.expiresAt = time.Time{}
		case h.expiresAt.IsZero():
			h.expiresAt = now.Add(shareLinger)
		}
		g.entries[key] = h
	}
}

func (g *Gossip) setNeighbours(neighbours []Neighbour) {
	g.regions = make(map[hitchfleet.InstanceID]hitchfleet.Region, len(neighbours))
	for _, n := range neighbours {
		g.regions[n.ID] = n.Region
	}
	ids := sortedKeys(g.regions)
	g.durable.setNeighbours(ids)
	g.volatile.setNeighbours(ids)
}

// Values returns the newest value of each origin for a topic, sorted by origin.
func (g *Gossip) Values(topic Topic) []SharedValue {
	var values []SharedValue
	for _, key := range g.sortedEntries() {
		if key.topic == topic.Name {
			values = append(values, g.entries[key].value())
		}
	}
	return values
}

func (g *Gossip) sortedEntries() []shareKey {
	keys := make([]shareKey, 0, len(g.entries))
	for key := range g.entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareShareKeys)
	return keys
}

func (h held) value() SharedValue {
	return SharedValue{
		Topic: h.topic(), Origin: h.Origin, Incarnation: h.Incarnation,
		Version: h.Version, Body: h.Body, At: h.at,
	}
}
