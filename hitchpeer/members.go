package hitchpeer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TickInterval is how often a Tick must be passed to Update.
const TickInterval = 100 * time.Millisecond

// Limits of the membership table.
const (
	// goneRecordTTL is how long the record of a router that is dead or has left is
	// kept, so that an old record of it as alive can't re-add it.
	goneRecordTTL = 24 * time.Hour
	maxRecords    = 4096
)

// Members is one router's view of the membership. It does no I/O: Update changes its
// state and returns the actions to take.
//
//	m := hitchpeer.Members{Self: hitchpeer.RecordOf(self)}
//	effects := m.Update(now, hitchpeer.ListReceived{Instances: list})
//	live := m.LiveRouters(now)
//
// It isn't safe for concurrent use.
type Members struct {
	// Self is the router's own record.
	Self Record
	// Seed seeds the random choices, such as those of indirect probers and retry
	// times.
	Seed uint64

	table       map[hitchfleet.InstanceID]member
	sums        bucketSums
	candidates  map[hitchfleet.InstanceID]candidate
	ringTargets []hitchfleet.InstanceID
	neighbours  []hitchfleet.InstanceID
	// transient holds the routers whose status changes at a deadline.
	transient       map[hitchfleet.InstanceID]struct{}
	probes          map[hitchfleet.InstanceID]probe
	probers         map[hitchfleet.InstanceID]time.Time
	regions         map[hitchfleet.Region]regionState
	indirectProbes  map[uint32]indirectProbe
	outbox          outbox[hitchfleet.InstanceID]
	budget          tokenBucket // of bytes
	freshDials      tokenBucket // of dials
	divergence      divergenceTracker
	random          *rand.Rand
	seq             uint32
	neighboursStale bool
	lastTickAt      time.Time
	nextDialAt      time.Time
	// falseSuspicions counts this router's recent suspicions that were refuted. While
	// there are many, it raises no new one before nextSuspicionAt.
	falseSuspicions flapPenalty
	nextSuspicionAt time.Time
}

// Update applies a message and returns the actions to take.
func (m *Members) Update(now time.Time, message any) (effects Effects) {
	m.init()
	switch msg := message.(type) {
	case Tick:
		m.tick(now, &effects)
	case PacketReceived:
		m.receive(now, msg, &effects)
	case HandshakeCompleted:
		m.handleHandshake(now, msg, &effects)
	case ListReceived:
		m.mergeList(now, msg.Instances)
	case SyncCompleted:
		for _, record := range msg.Records {
			m.merge(now, record, msg.From, &effects)
		}
	case LeaveStarted:
		next := m.Self
		next.Leaving = true
		next.Revision++
		m.setSelf(next)
	case LeaveDone:
		m.setSelf(m.Self.WithStatus(Left))
		m.budget.tokens = rumourBurstBytes
		m.flush(now, &effects)
	}
	return effects
}

func (m *Members) init() {
	if m.table != nil {
		return
	}
	m.table = make(map[hitchfleet.InstanceID]member)
	m.candidates = make(map[hitchfleet.InstanceID]candidate)
	m.probes = make(map[hitchfleet.InstanceID]probe)
	m.probers = make(map[hitchfleet.InstanceID]time.Time)
	m.regions = make(map[hitchfleet.Region]regionState)
	m.transient = make(map[hitchfleet.InstanceID]struct{})
	m.indirectProbes = make(map[uint32]indirectProbe)
	m.random = rand.New(rand.NewPCG(m.Seed, uint64(m.Self.Instance().Key())))
	m.toggleSum(m.Self)
}

func (m *Members) tick(now time.Time, effects *Effects) {
	m.compensateForPause(now)
	m.expire(now, effects)
	if m.neighboursStale {
		m.neighboursStale = false
		m.rebuildNeighbours(now)
	}
	m.advanceProbes(now, effects)
	m.startDials(now, effects)
	m.flush(now, effects)
}

// compensateForPause resets probes and extends suspicions if this process itself was
// paused: other routers had no chance to answer in that time.
func (m *Members) compensateForPause(now time.Time) {
	const maxGap = 10 * TickInterval
	gap := now.Sub(m.lastTickAt)
	paused := !m.lastTickAt.IsZero() && gap > maxGap
	m.lastTickAt = now
	if !paused {
		return
	}
	for id := range m.probes {
		m.probes[id] = probe{nextProbeAt: now}
	}
	for id, mem := range m.table {
		mem.suspectUntil = mem.suspectUntil.Add(gap)
		m.table[id] = mem
	}
}

// expire declares suspects dead whose suspicion timed out, and removes expired
// records, probers and indirect probes.
func (m *Members) expire(now time.Time, effects *Effects) {
	expired := make(map[hitchfleet.InstanceID]bool)
	for id := range m.transient {
		mem := m.table[id]
		switch {
		case mem.Status == Alive:
			delete(m.transient, id)
		case mem.Status == Suspect && !now.Before(mem.suspectUntil) && m.mayDeclareDead(mem.Record):
			expired[id] = true
		case mem.isGone() && !now.Before(mem.removeAt):
			delete(m.table, id)
			delete(m.transient, id)
		}
	}
	for _, id := range sortedKeys(expired) {
		m.merge(now, m.table[id].WithStatus(Dead), "", effects)
	}
	for id, until := range m.probers {
		if !now.Before(until) {
			delete(m.probers, id)
			m.neighboursStale = true
		}
	}
	for seq, ip := range m.indirectProbes {
		if !now.Before(ip.expiresAt) {
			delete(m.indirectProbes, seq)
		}
	}
}

// LiveRouters returns the usable routers, sorted by ID: this router, and all others
// that are not dead, have not left, are reachable from here and are not suppressed
// by flap damping.
func (m *Members) LiveRouters(now time.Time) []hitchfleet.Instance {
	live := []hitchfleet.Instance{m.Self.Instance()}
	suppressed := m.suppressed(now)
	for id, mem := range m.table {
		if mem.isGone() || mem.probeFailing || m.regions[mem.Region].unreachable || suppressed[id] {
			continue
		}
		instance := mem.Instance()
		instance.Leaving = instance.Leaving || mem.listedAsLeaving
		live = append(live, instance)
	}
	slices.SortFunc(live, func(a, b hitchfleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// suppressed returns the routers that flap damping excludes because they left and
// returned too often. If more than a quarter of a region's routers flap, the network
// is the likely cause and none of them is excluded.
func (m *Members) suppressed(now time.Time) map[hitchfleet.InstanceID]bool {
	const maxFlappingDivisor = 4 // at most 1/4 of a region is suppressed
	var suppressed map[hitchfleet.InstanceID]bool
	perRegion := make(map[hitchfleet.Region]int)
	sizes := make(map[hitchfleet.Region]int)
	for id, mem := range m.table {
		if mem.isGone() {
			continue
		}
		sizes[mem.Region]++
		if !mem.flapPenalty.withDecay(now).suppressed {
			continue
		}
		if suppressed == nil {
			suppressed = make(map[hitchfleet.InstanceID]bool)
		}
		suppressed[id] = true
		perRegion[mem.Region]++
	}
	for id := range suppressed {
		if region := m.table[id].Region; perRegion[region]*maxFlappingDivisor > sizes[region] {
			delete(suppressed, id)
		}
	}
	return suppressed
}

// Record returns the record of a router. It returns false if the router is unknown.
func (m *Members) Record(id hitchfleet.InstanceID) (Record, bool) {
	if id == m.Self.ID {
		return m.Self, true
	}
	mem, ok := m.table[id]
	return mem.Record, ok
}

// Neighbours returns the routers that this router exchanges packets with, sorted by
// ID. The slice must not be modified.
func (m *Members) Neighbours() []hitchfleet.InstanceID {
	return m.neighbours
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
