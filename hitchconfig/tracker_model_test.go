package hitchconfig

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// fleetModel is a small fleet of trackers with a store and a network that delays, drops,
// repeats and reorders messages.
type fleetModel struct {
	t                testFailer
	head             Head
	storeUnavailable bool
	routers          []*modelRouter
	queue            []queuedMessage
	allSent          []queuedMessage // every message ever sent, to repeat old ones
	now              time.Time
	checksums        map[uint64]Checksum
}

type modelRouter struct {
	tracker      Tracker
	clockOffset  time.Duration // from the model's clock
	isCutOff     bool
	lastContact  time.Time // by the model's clock
	clockStepped bool      // the clock was stepped since lastContact
	minRevision  uint64    // highest revision announced by a ready peer since the start
}

type queuedMessage struct {
	to      int
	message Message
}

func newModel(t testFailer, n int) *fleetModel {
	m := &fleetModel{t: t, now: start, checksums: make(map[uint64]Checksum)}
	for i := range n {
		m.routers = append(m.routers, &modelRouter{tracker: m.newTracker(i)})
	}
	m.accept(smallConfiguration().WithRevision(0))
	return m
}

func (m *fleetModel) newTracker(i int) Tracker {
	return Tracker{Self: hitchfleet.InstanceID(fmt.Sprint(i)), Keys: fleetKeys}
}

// accept writes the next revision to the store.
func (m *fleetModel) accept(base Configuration) {
	if m.head.Configuration.Revision == 0 {
		m.head.Configuration = base
	}
	intent := zoneIntent(int(m.head.Configuration.Revision))
	next, err := m.head.accept(mustPlan(m.t, m.head, "p", "maja", intent), "maja", m.now, fleetKeys)
	require(m.t, err == nil, "accept: %v", err)
	m.head = next
	m.checksums[next.Configuration.Revision], _ = next.Configuration.Checksum()
}

func (m *fleetModel) readStore(i int) {
	r := m.routers[i]
	if m.storeUnavailable || r.isCutOff {
		return
	}
	snapshot, err := m.head.Snapshot()
	require(m.t, err == nil, "snapshot: %v", err)
	m.update(i, Message{Kind: StoreRead, Snapshot: snapshot, Accepts: m.head.Accepts, AsOf: m.now.Add(r.clockOffset)})
}

// update passes a message to a router's tracker and checks the invariants: a router
// never reverts, uses only accepted revisions, and starts with a revision no lower than
// any announced by a ready peer.
func (m *fleetModel) update(i int, msg Message) {
	r := m.routers[i]
	before := r.tracker
	next, actions := before.Update(msg, m.now.Add(r.clockOffset))
	if msg.Kind != Tick && msg.Kind != PeersChanged {
		r.lastContact, r.clockStepped = m.now, false
	}
	if msg.Kind == PeerAnnounced && msg.Announcement.Ready {
		r.minRevision = max(r.minRevision, msg.Announcement.Revision)
	}
	require(m.t, next.Revision() >= before.Revision(), "router %d reverts from revision %d to %d", i, before.Revision(), next.Revision())
	require(m.t, next.Revision() == 0 || next.Checksum() == m.checksums[next.Revision()], "router %d has a revision %d that was never accepted", i, next.Revision())
	if before.State() == Starting && next.State() == Serving {
		require(m.t, next.Revision() >= r.minRevision, "router %d starts with revision %d, a ready peer announced %d", i, next.Revision(), r.minRevision)
	}
	r.tracker = next
	for _, a := range actions {
		m.perform(i, a)
	}
}

func (m *fleetModel) perform(from int, a Action) {
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
	case RequestUpdate:
		m.send(from, to, Message{Kind: PeerRequested, From: id, Revision: a.Revision, SnapshotOnly: a.SnapshotOnly})
	case SendSnapshot:
		m.send(from, to, Message{Kind: PeerSentSnapshot, From: id, Snapshot: a.Snapshot})
	case SendDelta:
		m.send(from, to, Message{Kind: PeerSentDelta, From: id, Delta: a.Delta})
	}
}

func (m *fleetModel) send(from, to int, msg Message) {
	queued := queuedMessage{to, msg}
	m.allSent = append(m.allSent, queued)
	if !m.routers[from].isCutOff && !m.routers[to].isCutOff {
		m.queue = append(m.queue, queued)
	}
}

func (m *fleetModel) deliver(n int) {
	queued := m.queue[n]
	m.queue = append(m.queue[:n:n], m.queue[n+1:]...)
	if !m.routers[queued.to].isCutOff {
		m.update(queued.to, queued.message)
	}
}

func (m *fleetModel) gossip(from, to int) {
	if from != to {
		t := m.routers[from].tracker
		m.send(from, to, Message{Kind: PeerAnnounced, From: t.Self, Announcement: t.Announcement()})
	}
}

// advance advances the time, and checks that routers without contact refuse requests.
func (m *fleetModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for i, r := range m.routers {
		m.update(i, Message{Kind: PeersChanged, LivePeers: len(m.routers) - 1})
		m.update(i, Message{})
		limit := 2 * r.tracker.contactTimeout()
		if !r.clockStepped && m.now.Sub(r.lastContact) >= limit {
			require(m.t, r.tracker.Refusal(m.now.Add(r.clockOffset)) != nil, "router %d serves after %v without contact", i, limit)
		}
	}
}

// clearFaultsAndCheck ends all faults, and checks that every router then serves the head's
// revision.
func (m *fleetModel) clearFaultsAndCheck() {
	m.storeUnavailable = false
	for _, r := range m.routers {
		r.isCutOff, r.clockOffset, r.clockStepped = false, 0, r.clockStepped || r.clockOffset != 0
	}
	for range 12 {
		m.advance(600 * time.Millisecond)
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
		require(m.t, r.tracker.Revision() == m.head.Configuration.Revision, "router %d has revision %d", i, r.tracker.Revision())
		require(m.t, r.tracker.Refusal(m.now) == nil, "router %d: %v", i, r.tracker.Refusal(m.now))
	}
}
