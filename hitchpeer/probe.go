package hitchpeer

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Timing of probes, after SWIM (Das, Gupta, Motivala, 2002). A silent router is
// found within one interval, two direct timeouts, the indirect timeout and
// suspicionTimeout at the latest; its several probers start at different times,
// so it is mostly a good deal earlier.
const (
	suspicionTimeout = 1200 * time.Millisecond
	relayTimeout     = time.Second
	listenerTimeout  = 5 * time.Second
	relayCount       = 2
	// freshDialSpacing is the time between fresh connections to a router that
	// doesn't answer them.
	freshDialSpacing    = 10 * time.Second
	freshDialsPerSecond = 0.2
	freshDialBurst      = 8
	// firstAccusationDelay doubles with each suspicion of a router that it refutes,
	// up to maxAccusationDelay.
	firstAccusationDelay = 4 * time.Second
	maxAccusationDelay   = 5 * time.Minute
	// toleratedRefutations is how many suspicions may prove wrong before the
	// fault counts as this router's own, or the network's.
	toleratedRefutations = 2
)

// probeTiming are the constants of probes that depend on the distance.
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
	// probeDirect waits for the answer on the open connection, and probeRepeated
	// for that to a second ping.
	probeDirect
	probeRepeated
	// probeIndirect waits for a fresh connection and for relays.
	probeIndirect
)

// probe is the state of probing one router.
type probe struct {
	phase    probePhase
	seq      uint32
	nextAt   time.Time
	deadline time.Time
	// dialAt is when a fresh connection may be tried again.
	dialAt time.Time
}

// relay is a probe made for another router.
type relay struct {
	requester hitchfleet.InstanceID
	about     hitchfleet.InstanceID
	seq       uint32
	until     time.Time
}

func (m *Members) probeDue(now time.Time, effects *Effects) {
	for _, id := range sortedKeys(m.probes) {
		p, ok := m.probes[id]
		switch {
		case !ok:
		case p.phase == probeIdle && !now.Before(p.nextAt):
			m.probeDirect(now, id, effects)
		case p.phase == probeIdle || now.Before(p.deadline):
		case p.phase == probeDirect:
			m.probeAgain(now, id, effects)
		case p.phase == probeRepeated:
			m.probeIndirect(now, id, effects)
		case p.phase == probeIndirect:
			p.phase = probeIdle
			m.probes[id] = p
			m.probeFailed(now, id, effects)
		}
	}
}

func (m *Members) probeDirect(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	m.seq++
	timing := m.timingOf(id)
	m.probes[id] = probe{
		phase:    probeDirect,
		seq:      m.seq,
		nextAt:   now.Add(timing.interval),
		deadline: now.Add(timing.direct),
		dialAt:   m.probes[id].dialAt,
	}
	m.send(now, id, Packet{Kind: packetPing, Seq: m.seq}, effects)
}

// probeAgain repeats the ping, as the first one may have been lost.
func (m *Members) probeAgain(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	p := m.probes[id]
	p.phase = probeRepeated
	p.deadline = now.Add(m.timingOf(id).direct)
	m.probes[id] = p
	m.send(now, id, Packet{Kind: packetPing, Seq: p.seq}, effects)
}

// probeIndirect tries a fresh connection, as the open one may have gone silent,
// and asks neighbours to probe as well, unless a suspicion has to wait anyway.
func (m *Members) probeIndirect(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	p := m.probes[id]
	p.phase = probeIndirect
	p.deadline = now.Add(m.timingOf(id).indirect)
	m.freshDials = m.freshDials.at(now, freshDialsPerSecond, freshDialBurst)
	if !now.Before(p.dialAt) && m.freshDials.amount >= 1 {
		m.freshDials.amount--
		p.dialAt = now.Add(freshDialSpacing)
		effects.Dials = append(effects.Dials, Dial{To: m.table[id].Instance(), Fresh: true})
	}
	m.probes[id] = p
	if now.Before(m.table[id].accuseAt) {
		return
	}
	others := slices.Clone(m.neighbours)
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := 0
	for _, other := range others {
		if other == id || asked == relayCount || m.table[other].Region != m.table[id].Region {
			continue
		}
		asked++
		m.send(now, other, Packet{Kind: packetPingRequest, Seq: p.seq, About: id}, effects)
	}
}

// probeFailed suspects a router of the own region. Routers of another region are
// judged there; here the region may count as out of reach.
func (m *Members) probeFailed(now time.Time, id hitchfleet.InstanceID, effects *Effects) {
	mem, ok := m.table[id]
	if !ok {
		return
	}
	if !m.judges(mem.Record) {
		m.regionMissed(now, mem)
		return
	}
	mem.unanswered = true
	accuse := mem.Status == Alive && !now.Before(mem.accuseAt) && !now.Before(m.accuseAt)
	if accuse {
		mem.accuseAt = now.Add(accusationDelay(mem.accusations))
		mem.accusations++
		if wrong := m.refuted.valueAt(now); wrong >= toleratedRefutations {
			m.accuseAt = now.Add(accusationDelay(int(wrong)))
		}
	}
	m.table[id] = mem
	if accuse {
		m.merge(now, mem.WithStatus(Suspect), "", effects)
	}
}

func accusationDelay(doublings int) time.Duration {
	return min(firstAccusationDelay<<min(doublings, 8), maxAccusationDelay)
}

// probeAnswered ends the probe of a router with success.
func (m *Members) probeAnswered(now time.Time, id hitchfleet.InstanceID) {
	p, ok := m.probes[id]
	if !ok || p.phase == probeIdle {
		return
	}
	p.phase = probeIdle
	p.dialAt = time.Time{}
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	m.probes[id] = p
	m.setUnanswered(id, false)
}

func (m *Members) setUnanswered(id hitchfleet.InstanceID, unanswered bool) {
	if mem, ok := m.table[id]; ok {
		mem.unanswered = unanswered
		m.table[id] = mem
	}
}

func (m *Members) greet(now time.Time, msg Greeted, effects *Effects) {
	m.merge(now, msg.Opinion, msg.Sender.ID, effects)
	m.merge(now, msg.Sender, msg.Sender.ID, effects)
	m.heard(msg.Sender.ID)
	m.probeAnswered(now, msg.Sender.ID)
	for seq, r := range m.relays {
		if r.about == msg.Sender.ID {
			m.relayAnswered(now, seq, r, effects)
		}
	}
	if len(m.table) == 1 {
		effects.Syncs = append(effects.Syncs, msg.Sender.ID)
	}
}

func (m *Members) receive(now time.Time, msg Received, effects *Effects) {
	from, p := msg.From, msg.Packet
	for _, record := range p.Records {
		m.merge(now, record, from, effects)
	}
	m.heard(from)
	switch p.Kind {
	case packetPing:
		m.listen(now, from)
		m.send(now, from, Packet{Kind: packetAck, Seq: p.Seq}, effects)
	case packetAck:
		m.acked(now, from, p.Seq, effects)
	case packetPingRequest:
		m.relayProbe(now, from, p, effects)
	case packetIndirectAck:
		if m.probes[p.About].seq == p.Seq {
			m.probeAnswered(now, p.About)
		}
	}
	if p.carriesSums() && m.differs.due(now, from, p.MemberSum == m.sums.fold()) {
		effects.Syncs = append(effects.Syncs, from)
	}
}

// listen notes that a router probes us, so news go to it as well.
func (m *Members) listen(now time.Time, from hitchfleet.InstanceID) {
	_, known := m.listeners[from]
	m.listeners[from] = now.Add(listenerTimeout)
	m.stale = m.stale || !known
}

func (m *Members) acked(now time.Time, from hitchfleet.InstanceID, seq uint32, effects *Effects) {
	if m.probes[from].seq == seq {
		m.probeAnswered(now, from)
	}
	if r, ok := m.relays[seq]; ok && r.about == from {
		m.relayAnswered(now, seq, r, effects)
	}
}

func (m *Members) relayProbe(now time.Time, from hitchfleet.InstanceID, p Packet, effects *Effects) {
	if mem, ok := m.table[p.About]; !ok || mem.Status == Left {
		return
	}
	m.seq++
	m.relays[m.seq] = relay{requester: from, about: p.About, seq: p.Seq, until: now.Add(relayTimeout)}
	m.send(now, p.About, Packet{Kind: packetPing, Seq: m.seq}, effects)
}

func (m *Members) relayAnswered(now time.Time, seq uint32, r relay, effects *Effects) {
	delete(m.relays, seq)
	m.send(now, r.requester, Packet{Kind: packetIndirectAck, Seq: r.seq, About: r.about}, effects)
}
