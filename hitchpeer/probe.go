package hitchpeer

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Timing of probes, after SWIM (Das, Gupta, Motivala, 2002). A router that stopped
// responding is detected at the latest after the sum of one interval, two direct
// timeouts, the indirect timeout and suspicionTimeout. Several routers probe it at
// different times, so that it is usually detected much earlier.
const (
	suspicionTimeout     = 1200 * time.Millisecond
	indirectProbeTimeout = time.Second
	proberTimeout        = 5 * time.Second
	indirectProberCount  = 2
	// freshDialInterval is the time between two fresh connections to a router that
	// doesn't respond.
	freshDialInterval   = 10 * time.Second
	freshDialsPerSecond = 0.2
	freshDialBurst      = 8
	// minSuspicionDelay is the delay before a router is suspected again. It doubles
	// with each suspicion of the router, up to maxSuspicionDelay.
	minSuspicionDelay = 4 * time.Second
	maxSuspicionDelay = 5 * time.Minute
	// maxFalseSuspicions is the number of recent refuted suspicions from which on this
	// router assumes that the fault is its own or the network's, and delays its
	// suspicions of all routers.
	maxFalseSuspicions = 2
)

// probeTiming holds the probe timing, which depends on whether the target is in the
// same region.
type probeTiming struct {
	interval, direct, indirect time.Duration
}

var (
	nearTiming = probeTiming{
		interval: time.Second,
		direct:   200 * time.Millisecond,
		indirect: 600 * time.Millisecond,
	}
	// farTiming allows for a round trip of 350 ms between regions.
	farTiming = probeTiming{
		interval: 2 * time.Second,
		direct:   400 * time.Millisecond,
		indirect: 1200 * time.Millisecond,
	}
)

func (m *Members) timingOf(id hitchfleet.InstanceID) probeTiming {
	if m.table[id].Region == m.Self.Region {
		return nearTiming
	}
	return farTiming
}

type probePhase uint8

const (
	probeIdle probePhase = iota
	// probeDirect waits for the answer to the first ping, and probeRepeated for the
	// answer to the second one.
	probeDirect
	probeRepeated
	// probeIndirect waits for a fresh connection and for indirect probes.
	probeIndirect
)

// probe is the state of the probes of one router.
type probe struct {
	phase       probePhase
	seq         uint32
	nextProbeAt time.Time
	deadline    time.Time
	// nextFreshDialAt is when a fresh connection may be dialled again.
	nextFreshDialAt time.Time
}

// indirectProbe is a probe on behalf of another router, the requester.
type indirectProbe struct {
	requester hitchfleet.InstanceID
	target    hitchfleet.InstanceID
	seq       uint32
	expiresAt time.Time
}

func (m *Members) advanceProbes(now time.Time, effects *Effects) {
	for _, id := range sortedKeys(m.probes) {
		p, ok := m.probes[id]
		switch {
		case !ok:
		case p.phase == probeIdle && !now.Before(p.nextProbeAt):
			m.startProbe(now, id, effects)
		case p.phase == probeIdle || now.Before(p.deadline):
		case p.phase == probeDirect:
			m.repeatPing(now, id, effects)
		case p.phase == probeRepeated:
			m.startIndirectProbe(now, id, effects)
		case p.phase == probeIndirect:
			p.phase = probeIdle
			m.probes[id] = p
			m.handleProbeFailure(now, id, effects)
		}
	}
}

func (m *Members) startProbe(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	m.seq++
	timing := m.timingOf(id)
	m.probes[id] = probe{
		phase:           probeDirect,
		seq:             m.seq,
		nextProbeAt:     now.Add(timing.interval),
		deadline:        now.Add(timing.direct),
		nextFreshDialAt: m.probes[id].nextFreshDialAt,
	}
	m.send(now, id, Packet{Kind: packetPing, Seq: m.seq}, effects)
}

// repeatPing sends a second ping, as the first one may have been lost.
func (m *Members) repeatPing(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	p := m.probes[id]
	p.phase = probeRepeated
	p.deadline = now.Add(m.timingOf(id).direct)
	m.probes[id] = p
	m.send(now, id, Packet{Kind: packetPing, Seq: p.seq}, effects)
}

// startIndirectProbe dials a fresh connection, as the existing one may no longer
// work, and asks neighbours to probe the router. It doesn't ask them while this
// router may not suspect the other one yet, as the result would have no effect.
func (m *Members) startIndirectProbe(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	p := m.probes[id]
	p.phase = probeIndirect
	p.deadline = now.Add(m.timingOf(id).indirect)
	m.freshDials = m.freshDials.refill(now, freshDialsPerSecond, freshDialBurst)
	if !now.Before(p.nextFreshDialAt) && m.freshDials.tokens >= 1 {
		m.freshDials.tokens--
		p.nextFreshDialAt = now.Add(freshDialInterval)
		effects.Dials = append(effects.Dials, Dial{To: m.table[id].Instance(), Fresh: true})
	}
	m.probes[id] = p
	if now.Before(m.table[id].nextSuspicionAt) {
		return
	}
	others := slices.Clone(m.neighbours)
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	requested := 0
	for _, other := range others {
		if other == id || requested == indirectProberCount || m.table[other].Region != m.table[id].Region {
			continue
		}
		requested++
		m.send(now, other, Packet{Kind: packetPingRequest, Seq: p.seq, Target: id}, effects)
	}
}

// handleProbeFailure raises a suspicion of a router in this router's region. For a
// router of another region, which only its own region may declare dead, it counts
// the failure towards that region being unreachable.
func (m *Members) handleProbeFailure(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	mem, ok := m.table[id]
	if !ok {
		return
	}
	if !m.mayDeclareDead(mem.Record) {
		m.recordRegionFailure(now, mem)
		return
	}
	mem.probeFailing = true
	raise := mem.Status == Alive && !now.Before(mem.nextSuspicionAt) && !now.Before(m.nextSuspicionAt)
	if raise {
		mem.nextSuspicionAt = now.Add(suspicionDelay(mem.suspicions))
		mem.suspicions++
		if refuted := m.falseSuspicions.valueAt(now); refuted >= maxFalseSuspicions {
			m.nextSuspicionAt = now.Add(suspicionDelay(int(refuted)))
		}
	}
	m.table[id] = mem
	if raise {
		m.merge(now, mem.WithStatus(Suspect), "", effects)
	}
}

func suspicionDelay(doublings int) time.Duration {
	return min(minSuspicionDelay<<min(doublings, 8), maxSuspicionDelay)
}

// completeProbe ends the probe of a router that responded.
func (m *Members) completeProbe(now time.Time, id hitchfleet.InstanceID) {
	p, ok := m.probes[id]
	if !ok || p.phase == probeIdle {
		return
	}
	p.phase = probeIdle
	p.nextFreshDialAt = time.Time{}
	if p.nextProbeAt.Before(now) {
		p.nextProbeAt = now
	}
	m.probes[id] = p
	m.setProbeFailing(id, false)
}

func (m *Members) setProbeFailing(id hitchfleet.InstanceID, failing bool) {
	if mem, ok := m.table[id]; ok {
		mem.probeFailing = failing
		m.table[id] = mem
	}
}

func (m *Members) handleHandshake(now time.Time, msg HandshakeCompleted, effects *Effects) {
	m.merge(now, msg.ReceiverRecord, msg.Sender.ID, effects)
	m.merge(now, msg.Sender, msg.Sender.ID, effects)
	m.markRegionReachable(msg.Sender.ID)
	m.completeProbe(now, msg.Sender.ID)
	for seq, ip := range m.indirectProbes {
		if ip.target == msg.Sender.ID {
			m.completeIndirectProbe(now, seq, ip, effects)
		}
	}
	if len(m.table) == 1 {
		effects.Syncs = append(effects.Syncs, msg.Sender.ID)
	}
}

func (m *Members) receive(now time.Time, msg PacketReceived, effects *Effects) {
	from, p := msg.From, msg.Packet
	for _, record := range p.Records {
		m.merge(now, record, from, effects)
	}
	m.markRegionReachable(from)
	switch p.Kind {
	case packetPing:
		m.recordProber(now, from)
		m.send(now, from, Packet{Kind: packetAck, Seq: p.Seq}, effects)
	case packetAck:
		m.handleAck(now, from, p.Seq, effects)
	case packetPingRequest:
		m.probeForRequester(now, from, p, effects)
	case packetIndirectAck:
		if m.probes[p.Target].seq == p.Seq {
			m.completeProbe(now, p.Target)
		}
	}
	if p.carriesSums() && m.divergence.isSyncDue(now, from, p.MemberSum == m.sums.fold()) {
		effects.Syncs = append(effects.Syncs, from)
	}
}

// recordProber records that a router probes this one. A prober is a neighbour and
// gets updates too.
func (m *Members) recordProber(now time.Time, from hitchfleet.InstanceID) {
	_, known := m.probers[from]
	m.probers[from] = now.Add(proberTimeout)
	m.neighboursStale = m.neighboursStale || !known
}

func (m *Members) handleAck(now time.Time, from hitchfleet.InstanceID, seq uint32, effects *Effects) {
	if m.probes[from].seq == seq {
		m.completeProbe(now, from)
	}
	if ip, ok := m.indirectProbes[seq]; ok && ip.target == from {
		m.completeIndirectProbe(now, seq, ip, effects)
	}
}

func (m *Members) probeForRequester(now time.Time, from hitchfleet.InstanceID, p Packet, effects *Effects) {
	if mem, ok := m.table[p.Target]; !ok || mem.Status == Left {
		return
	}
	m.seq++
	m.indirectProbes[m.seq] = indirectProbe{requester: from, target: p.Target, seq: p.Seq, expiresAt: now.Add(indirectProbeTimeout)}
	m.send(now, p.Target, Packet{Kind: packetPing, Seq: m.seq}, effects)
}

func (m *Members) completeIndirectProbe(now time.Time, seq uint32, ip indirectProbe, effects *Effects) {
	delete(m.indirectProbes, seq)
	m.send(now, ip.requester, Packet{Kind: packetIndirectAck, Seq: ip.seq, Target: ip.target}, effects)
}
