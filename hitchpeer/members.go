package hitchpeer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TickInterval is how often Tick is due.
const TickInterval = 100 * time.Millisecond

// Limits of the table.
const (
	// forgetAfter is how long the record of a dead router is kept, so that an old
	// claim that it is alive can't bring it back.
	forgetAfter = 24 * time.Hour
	maxRecords  = 4096
)

// Members is the membership as one router sees it. It is a plain value: Update
// changes it and returns what to do.
//
//	m := hitchpeer.Members{Self: hitchpeer.RecordOf(self)}
//	effects := m.Update(now, hitchpeer.Listed{Instances: list})
//	live := m.Live(now)
//
// It isn't safe for several goroutines.
type Members struct {
	// Self is the router's own record.
	Self Record
	// Seed seeds the choice of relays and retry times.
	Seed uint64

	table      map[hitchfleet.InstanceID]member
	sums       buckets
	candidates map[hitchfleet.InstanceID]candidate
	targets    []hitchfleet.InstanceID
	neighbours []hitchfleet.InstanceID
	// passing are the routers whose status ends at a deadline.
	passing    map[hitchfleet.InstanceID]struct{}
	probes     map[hitchfleet.InstanceID]probe
	listeners  map[hitchfleet.InstanceID]time.Time
	regions    map[hitchfleet.Region]regionWatch
	relays     map[uint32]relay
	out        outbox[hitchfleet.InstanceID]
	budget     allowance // of bytes
	freshDials allowance // of dials
	differs    divergence
	random     *rand.Rand
	seq        uint32
	stale      bool
	tickedAt   time.Time
	nextDialAt time.Time
	// refuted counts the suspicions of this router that proved wrong of late; while
	// there are many, it raises no new one before accuseAt.
	refuted  penalty
	accuseAt time.Time
}

// Update takes a message of this package and returns what to do about it.
func (m *Members) Update(now time.Time, message any) (effects Effects) {
	m.init()
	switch msg := message.(type) {
	case Tick:
		m.tick(now, &effects)
	case Received:
		m.receive(now, msg, &effects)
	case Greeted:
		m.greet(now, msg, &effects)
	case Listed:
		m.list(now, msg.Instances)
	case Synced:
		for _, record := range msg.Records {
			m.merge(now, record, msg.From, &effects)
		}
	case LeaveStarted:
		next := m.Self
		next.Leaving = true
		next.Detail++
		m.setSelf(next)
	case LeaveDone:
		m.setSelf(m.Self.WithStatus(Left))
		m.budget.amount = rumourBurstBytes
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
	m.listeners = make(map[hitchfleet.InstanceID]time.Time)
	m.regions = make(map[hitchfleet.Region]regionWatch)
	m.passing = make(map[hitchfleet.InstanceID]struct{})
	m.relays = make(map[uint32]relay)
	m.random = rand.New(rand.NewPCG(m.Seed, uint64(m.Self.Instance().Key())))
	m.addSum(m.Self)
}

func (m *Members) tick(now time.Time, effects *Effects) {
	m.afterPause(now)
	m.expire(now, effects)
	if m.stale {
		m.stale = false
		m.rebuild(now)
	}
	m.probeDue(now, effects)
	m.dialDue(now, effects)
	m.flush(now, effects)
}

// afterPause forgives what went unanswered while this process itself stood still.
func (m *Members) afterPause(now time.Time) {
	const longestGap = 10 * TickInterval
	gap := now.Sub(m.tickedAt)
	paused := !m.tickedAt.IsZero() && gap > longestGap
	m.tickedAt = now
	if !paused {
		return
	}
	for id := range m.probes {
		m.probes[id] = probe{nextAt: now}
	}
	for id, mem := range m.table {
		mem.suspectUntil = mem.suspectUntil.Add(gap)
		m.table[id] = mem
	}
}

// expire lets suspicions become deaths and forgets what is past its deadline.
func (m *Members) expire(now time.Time, effects *Effects) {
	suspects := make(map[hitchfleet.InstanceID]bool)
	for id := range m.passing {
		mem := m.table[id]
		switch {
		case mem.Status == Alive:
			delete(m.passing, id)
		case mem.Status == Suspect && !now.Before(mem.suspectUntil) && m.judges(mem.Record):
			suspects[id] = true
		case mem.gone() && !now.Before(mem.forgetAt):
			delete(m.table, id)
			delete(m.passing, id)
		}
	}
	for _, id := range sortedKeys(suspects) {
		m.merge(now, m.table[id].WithStatus(Dead), "", effects)
	}
	for id, until := range m.listeners {
		if !now.Before(until) {
			delete(m.listeners, id)
			m.stale = true
		}
	}
	for seq, r := range m.relays {
		if !now.Before(r.until) {
			delete(m.relays, seq)
		}
	}
}

// Live returns the routers that are usable, sorted by ID: the router itself, and
// all others that are neither gone, nor out of reach from here, nor left out by
// flap damping.
func (m *Members) Live(now time.Time) []hitchfleet.Instance {
	live := []hitchfleet.Instance{m.Self.Instance()}
	damped := m.damped(now)
	for id, mem := range m.table {
		if mem.gone() || mem.unanswered || m.regions[mem.Region].unreachable || damped[id] {
			continue
		}
		instance := mem.Instance()
		instance.Leaving = instance.Leaving || mem.listLeaving
		live = append(live, instance)
	}
	slices.SortFunc(live, func(a, b hitchfleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// damped returns the routers that come and go too often. Where many of a region
// do, the network is at fault and none is left out.
func (m *Members) damped(now time.Time) map[hitchfleet.InstanceID]bool {
	const mostOfRegion = 4 // as one in so many
	var damped map[hitchfleet.InstanceID]bool
	perRegion := make(map[hitchfleet.Region]int)
	sizes := make(map[hitchfleet.Region]int)
	for id, mem := range m.table {
		if mem.gone() {
			continue
		}
		sizes[mem.Region]++
		if !mem.flaps.withDecay(now).suppressed {
			continue
		}
		if damped == nil {
			damped = make(map[hitchfleet.InstanceID]bool)
		}
		damped[id] = true
		perRegion[mem.Region]++
	}
	for id := range damped {
		if region := m.table[id].Region; perRegion[region]*mostOfRegion > sizes[region] {
			delete(damped, id)
		}
	}
	return damped
}

// Record returns what is claimed of a router. It reports false for one that is
// unknown.
func (m *Members) Record(id hitchfleet.InstanceID) (Record, bool) {
	if id == m.Self.ID {
		return m.Self, true
	}
	mem, ok := m.table[id]
	return mem.Record, ok
}

// Neighbours returns the routers that this one exchanges packets with, sorted.
// The slice must not be changed.
func (m *Members) Neighbours() []hitchfleet.InstanceID {
	return m.neighbours
}

func sortedKeys[K cmp.Ordered, V any](all map[K]V) []K {
	keys := make([]K, 0, len(all))
	for key := range all {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
