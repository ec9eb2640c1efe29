package hitchconfig

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// model is a small fleet of trackers with a store and a network that delays,
// drops, repeats and reorders.
type model struct {
	t        errorer
	head     Head
	storeOut bool
	routers  []*modelRouter
	queue    []envelope
	sent     []envelope // every message ever sent, for repeats
	now      time.Time
	sums     map[uint64]Checksum
}

type modelRouter struct {
	tracker   Tracker
	offset    time.Duration // of its clock
	cut       bool
	lastHeard time.Time // by the model's clock
	stepped   bool      // its clock was stepped since
	floor     uint64    // highest revision vouched for since its start
}

type envelope struct {
	to int
	m  Message
}

func newModel(t errorer, n int) *model {
	m := &model{t: t, now: start, sums: make(map[uint64]Checksum)}
	for i := range n {
		m.routers = append(m.routers, &modelRouter{tracker: m.fresh(i)})
	}
	m.accept(small().WithRevision(0))
	return m
}

func (m *model) fresh(i int) Tracker {
	return Tracker{Self: hitchfleet.InstanceID(fmt.Sprint(i)), Keys: fleetKeys}
}

// accept makes the next revision in the store.
func (m *model) accept(base Configuration) {
	if m.head.Configuration.Revision == 0 {
		m.head.Configuration = base
	}
	intent := zoneIntent(int(m.head.Configuration.Revision))
	next, err := m.head.with(planOn(m.t, m.head, "p", "maja", intent), "maja", m.now, fleetKeys)
	must(m.t, err == nil, "accept: %v", err)
	m.head = next
	m.sums[next.Configuration.Revision], _ = next.Configuration.Checksum()
}

func (m *model) readStore(i int) {
	r := m.routers[i]
	if m.storeOut || r.cut {
		return
	}
	offer, err := m.head.Offer()
	must(m.t, err == nil, "offer: %v", err)
	m.update(i, Message{Kind: StoreRead, Offer: offer, Accepts: m.head.Accepts, AsOf: m.now.Add(r.offset)})
}

// update gives a message to a router and checks what must always hold.
func (m *model) update(i int, msg Message) {
	r := m.routers[i]
	before := r.tracker
	next, actions := before.Update(msg, m.now.Add(r.offset))
	if msg.Kind != TimePassed && msg.Kind != PeersChanged {
		r.lastHeard, r.stepped = m.now, false
	}
	if msg.Kind == PeerAnnounced && msg.Announcement.Ready {
		r.floor = max(r.floor, msg.Announcement.Revision)
	}
	must(m.t, next.Revision() >= before.Revision(), "router %d reverts from %d to %d", i, before.Revision(), next.Revision())
	must(m.t, next.Revision() == 0 || next.Checksum() == m.sums[next.Revision()], "router %d has a revision %d that was never accepted", i, next.Revision())
	if before.Standing() == Starting && next.Standing() == Serving {
		must(m.t, next.Revision() >= r.floor, "router %d starts with %d, peers vouched for %d", i, next.Revision(), r.floor)
	}
	r.tracker = next
	for _, a := range actions {
		m.act(i, a)
	}
}

func (m *model) act(from int, a Action) {
	to := (from + 1) % len(m.routers)
	if a.To != "" {
		_, _ = fmt.Sscan(string(a.To), &to)
	}
	id := m.routers[from].tracker.Self
	switch a.Kind {
	case AnnounceNow:
		m.send(from, to, Message{Kind: PeerSentDelta, From: id, Delta: a.Delta})
		m.send(from, to, Message{Kind: PeerAnnounced, From: id, Announcement: a.Announcement})
	case Announce:
		m.send(from, to, Message{Kind: PeerAnnounced, From: id, Announcement: a.Announcement})
	case Ask:
		m.send(from, to, Message{Kind: PeerAsked, From: id, Revision: a.Revision, Whole: a.Whole})
	case SendOffer:
		m.send(from, to, Message{Kind: PeerOffered, From: id, Offer: a.Offer})
	case SendDelta:
		m.send(from, to, Message{Kind: PeerSentDelta, From: id, Delta: a.Delta})
	}
}

func (m *model) send(from, to int, msg Message) {
	e := envelope{to, msg}
	m.sent = append(m.sent, e)
	if !m.routers[from].cut && !m.routers[to].cut {
		m.queue = append(m.queue, e)
	}
}

func (m *model) deliver(n int) {
	e := m.queue[n]
	m.queue = append(m.queue[:n:n], m.queue[n+1:]...)
	if !m.routers[e.to].cut {
		m.update(e.to, e.m)
	}
}

func (m *model) gossip(from, to int) {
	if from != to {
		t := m.routers[from].tracker
		m.send(from, to, Message{Kind: PeerAnnounced, From: t.Self, Announcement: t.Announcement()})
	}
}

// pass lets time go on, and checks that whoever heard nothing refuses.
func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for i, r := range m.routers {
		m.update(i, Message{Kind: PeersChanged, Live: len(m.routers) - 1})
		m.update(i, Message{})
		limit := 2 * r.tracker.cutOffFor()
		if !r.stepped && m.now.Sub(r.lastHeard) >= limit {
			must(m.t, r.tracker.Refusal(m.now.Add(r.offset)) != nil, "router %d serves after %v without a word", i, limit)
		}
	}
}

// heal ends all faults, and expects every router to serve the head.
func (m *model) heal() {
	m.storeOut = false
	for _, r := range m.routers {
		r.cut, r.offset, r.stepped = false, 0, r.stepped || r.offset != 0
	}
	for range 12 {
		m.pass(600 * time.Millisecond)
		m.readStore(0)
		for i := range m.routers {
			for j := range m.routers {
				m.gossip(i, j)
			}
		}
		for len(m.queue) > 0 {
			m.deliver(0)
		}
	}
	for i, r := range m.routers {
		must(m.t, r.tracker.Revision() == m.head.Configuration.Revision, "router %d has %d", i, r.tracker.Revision())
		must(m.t, r.tracker.Refusal(m.now) == nil, "router %d: %v", i, r.tracker.Refusal(m.now))
	}
}
