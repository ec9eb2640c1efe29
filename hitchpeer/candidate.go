package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// A router that only the platform lists is dialled before it counts as alive. A
// router that knows live peers usually learns of new routers from their membership
// updates. It therefore delays the dial by minFirstDialDelay or more, and dials at
// most one listed or dead router about every dialInterval.
const (
	dialInterval      = 10 * time.Second
	minFirstDialDelay = 3 * time.Second
	minRetryDelay     = time.Second
	maxRetryDelay     = 30 * time.Second
	maxDialsWhenAlone = 3
	// noCandidateInterval is when to check again if there was no router to dial.
	noCandidateInterval = time.Second
)

// candidate is a router that the platform lists and that no handshake or
// membership update has confirmed yet.
type candidate struct {
	instance hitchfleet.Instance
	attempts int
	dialAt   time.Time
}

// mergeList applies the platform's list. A router that isn't listed stays a member
// for as long as it answers probes; a newly listed router becomes a candidate, which
// is dialled before it is used.
func (m *Members) mergeList(now time.Time, instances []hitchfleet.Instance) {
	newest := make(map[hitchfleet.InstanceID]hitchfleet.Instance, len(instances))
	for _, instance := range instances {
		old, seen := newest[instance.ID]
		if instance.ID == m.Self.ID || seen && old.Incarnation >= instance.Incarnation {
			continue
		}
		newest[instance.ID] = instance
	}
	for id, mem := range m.table {
		listed, ok := newest[id]
		same := listed.Incarnation == 0 || listed.Incarnation == mem.Incarnation
		mem.listedAsLeaving = ok && same && listed.Leaving
		m.table[id] = mem
	}
	for id := range m.candidates {
		if _, ok := newest[id]; !ok {
			delete(m.candidates, id)
		}
	}
	for _, id := range sortedKeys(newest) {
		m.mergeListed(now, newest[id])
	}
}

func (m *Members) mergeListed(now time.Time, listed hitchfleet.Instance) {
	mem, known := m.table[listed.ID]
	if known && !mem.isGone() && listed.Incarnation <= mem.Incarnation {
		return
	}
	if known && mem.Status == Left && listed.Incarnation != 0 && listed.Incarnation <= mem.Incarnation {
		return
	}
	old, ok := m.candidates[listed.ID]
	if ok && old.instance.Incarnation >= listed.Incarnation {
		return
	}
	next := candidate{instance: listed, dialAt: now}
	if !m.isAlone() {
		next.dialAt = now.Add(minFirstDialDelay + m.jitter(minFirstDialDelay))
	}
	m.candidates[listed.ID] = next
}

// isAlone reports whether this router knows no other live router.
func (m *Members) isAlone() bool {
	for _, mem := range m.table {
		if !mem.isGone() {
			return false
		}
	}
	return true
}

// startDials dials candidates that are due, or one dead router if there are none.
func (m *Members) startDials(now time.Time, effects *Effects) {
	if now.Before(m.nextDialAt) {
		return
	}
	maxDials := 1
	if m.isAlone() {
		maxDials = maxDialsWhenAlone
	}
	dialed := m.dialCandidates(now, maxDials, effects)
	if dialed == 0 {
		dialed = m.dialDead(now, effects)
	}
	m.nextDialAt = now.Add(noCandidateInterval)
	if dialed > 0 && !m.isAlone() {
		m.nextDialAt = now.Add(dialInterval/2 + m.jitter(dialInterval))
	}
}

func (m *Members) dialCandidates(now time.Time, maxDials int, effects *Effects) int {
	ids := sortedKeys(m.candidates)
	m.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	dialed := 0
	for _, id := range ids {
		c := m.candidates[id]
		if dialed == maxDials || now.Before(c.dialAt) {
			continue
		}
		dialed++
		delay := min(minRetryDelay<<min(c.attempts, 8), maxRetryDelay)
		c.attempts++
		c.dialAt = now.Add(delay + m.jitter(delay))
		m.candidates[id] = c
		effects.Dials = append(effects.Dials, Dial{To: c.instance})
	}
	return dialed
}

// dialDead dials a random router that was declared dead: it may be reachable again
// after a network partition.
func (m *Members) dialDead(_ time.Time, effects *Effects) int {
	var dead []hitchfleet.InstanceID
	for _, id := range sortedKeys(m.table) {
		if mem := m.table[id]; mem.Status == Dead && m.mayDeclareDead(mem.Record) {
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
