package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Routers that the platform lists and nobody has vouched for are dialled before
// they are used. A router that knows others mostly waits for them to spread the
// news, and dials one such router or one dead router every dialSpacing.
const (
	dialSpacing     = 10 * time.Second
	firstDialWait   = 3 * time.Second
	firstRetryDelay = time.Second
	maxRetryDelay   = 30 * time.Second
	dialsWhenAlone  = 3
	// idleDialCheck is when to look again where there was nobody to dial.
	idleDialCheck = time.Second
)

// candidate is a router that the platform lists and that hasn't answered yet.
type candidate struct {
	instance hitchfleet.Instance
	tries    int
	tryAt    time.Time
}

// list merges the platform's list. A router that isn't listed stays for as long
// as it answers probes; one that is new is probed before it is used.
func (m *Members) list(now time.Time, instances []hitchfleet.Instance) {
	newest := make(map[hitchfleet.InstanceID]hitchfleet.Instance, len(instances))
	for _, instance := range instances {
		old, twice := newest[instance.ID]
		if instance.ID == m.Self.ID || twice && old.Incarnation >= instance.Incarnation {
			continue
		}
		newest[instance.ID] = instance
	}
	for id, mem := range m.table {
		listed, ok := newest[id]
		same := listed.Incarnation == 0 || listed.Incarnation == mem.Incarnation
		mem.listLeaving = ok && same && listed.Leaving
		m.table[id] = mem
	}
	for id := range m.candidates {
		if _, ok := newest[id]; !ok {
			delete(m.candidates, id)
		}
	}
	for _, id := range sortedKeys(newest) {
		m.listOne(now, newest[id])
	}
}

func (m *Members) listOne(now time.Time, listed hitchfleet.Instance) {
	mem, known := m.table[listed.ID]
	if known && !mem.gone() && listed.Incarnation <= mem.Incarnation {
		return
	}
	if known && mem.Status == Left && listed.Incarnation != 0 && listed.Incarnation <= mem.Incarnation {
		return
	}
	old, ok := m.candidates[listed.ID]
	if ok && old.instance.Incarnation >= listed.Incarnation {
		return
	}
	next := candidate{instance: listed, tryAt: now}
	if !m.alone() {
		next.tryAt = now.Add(firstDialWait + m.jitter(firstDialWait))
	}
	m.candidates[listed.ID] = next
}

// alone reports whether this router knows no other that is alive.
func (m *Members) alone() bool {
	for _, mem := range m.table {
		if !mem.gone() {
			return false
		}
	}
	return true
}

// dialDue dials routers that may have come, or come back.
func (m *Members) dialDue(now time.Time, effects *Effects) {
	if now.Before(m.nextDialAt) {
		return
	}
	dials := 1
	if m.alone() {
		dials = dialsWhenAlone
	}
	dialed := m.dialCandidates(now, dials, effects)
	if dialed == 0 {
		dialed = m.dialDead(now, effects)
	}
	m.nextDialAt = now.Add(idleDialCheck)
	if dialed > 0 && !m.alone() {
		m.nextDialAt = now.Add(dialSpacing/2 + m.jitter(dialSpacing))
	}
}

func (m *Members) dialCandidates(now time.Time, most int, effects *Effects) int {
	ids := sortedKeys(m.candidates)
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	dialed := 0
	for _, id := range ids {
		c := m.candidates[id]
		if dialed == most || now.Before(c.tryAt) {
			continue
		}
		dialed++
		delay := min(firstRetryDelay<<min(c.tries, 8), maxRetryDelay)
		c.tries++
		c.tryAt = now.Add(delay + m.jitter(delay))
		m.candidates[id] = c
		effects.Dials = append(effects.Dials, Dial{To: c.instance})
	}
	return dialed
}

// dialDead tries one router that was called dead, as a split of the network may
// be over.
func (m *Members) dialDead(_ time.Time, effects *Effects) int {
	var dead []hitchfleet.InstanceID
	for _, id := range sortedKeys(m.table) {
		if mem := m.table[id]; mem.Status == Dead && m.judges(mem.Record) {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return 0
	}
	id := dead[m.random.IntN(len(dead))]
	effects.Dials = append(effects.Dials, Dial{To: m.table[id].Instance()})
	return 1
}
