package hitchpeer

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// testSeed seeds the simulated networks; CITRONHITCH_SEED overrides it.
func testSeed() uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("CITRONHITCH_SEED"), 10, 64); err == nil {
		return seed
	}
	return 20261203
}

const (
	simStart       = 1_800_000_000
	simRegions     = 3
	simZones       = 3
	framingBytes   = 28 + 25 // UDP/IP and QUIC, bytes
	ackBytes       = 28 + 30 // a packet with only a QUIC acknowledgement, bytes
	handshakeBytes = 4200    // a handshake with both certificates, bytes sent by each end
)

// simNode is a router of a simulated network.
type simNode struct {
	members        Members
	gossip         Gossip
	down           bool
	bytes          int
	neighbours     []Neighbour
	valuesReceived int
}

// simulation runs Members and Gossip of many routers over a simulated network with
// latency and loss, in steps of one millisecond.
type simulation struct {
	random    *rand.Rand
	nowMillis int
	scheduled map[int][]func()
	nodes     map[hitchfleet.InstanceID]*simNode
	ids       []hitchfleet.InstanceID
	loss      float64
	blocked   func(a, b Record) bool
}

func newSimulation(count int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(testSeed(), 1)), scheduled: make(map[int][]func()),
		nodes:   make(map[hitchfleet.InstanceID]*simNode),
		blocked: func(Record, Record) bool { return false },
	}
	for i := range count {
		s.add(hitchfleet.Instance{
			ID: hitchfleet.InstanceID(fmt.Sprintf("router-%03d", i)), Incarnation: simStart * 1000,
			Addr: fmt.Sprintf("10.0.%d.%d:8443", i/250, i%250), PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Region: hitchfleet.Region(fmt.Sprintf("region-%d", i%simRegions)),
			Zone:   hitchfleet.AvailabilityZone(fmt.Sprintf("zone-%d", i/simRegions%simZones)),
		})
	}
	return s
}

func (s *simulation) add(i hitchfleet.Instance) *simNode {
	seed := s.random.Uint64()
	n := &simNode{members: Members{Self: RecordOf(i), Seed: seed}, gossip: Gossip{Self: RecordOf(i), Seed: seed}}
	if s.nodes[i.ID] == nil {
		s.ids = append(s.ids, i.ID)
	}
	s.nodes[i.ID] = n
	s.scheduleTicks(n, s.random.IntN(100))
	return n
}

func (s *simulation) scheduleTicks(n *simNode, after int) {
	s.schedule(after, func() {
		if !n.down {
			s.updateMembers(n, Tick{})
			s.scheduleTicks(n, int(TickInterval/time.Millisecond))
		}
	})
}

// withFullMembership gives each node the records of all others, as in a fleet that
// has converged.
func (s *simulation) withFullMembership() *simulation {
	var records []Record
	for _, id := range s.ids {
		records = append(records, s.nodes[id].members.Self)
	}
	for _, id := range s.ids {
		n := s.nodes[id]
		n.members.Update(s.now(), SyncCompleted{Records: records})
		n.gossip.init()
		for _, record := range records {
			n.gossip.Update(s.now(), OriginChanged{Record: record})
		}
	}
	return s
}

func (s *simulation) now() time.Time {
	return time.Unix(simStart, 0).Add(time.Duration(s.nowMillis) * time.Millisecond)
}

func (s *simulation) schedule(ms int, task func()) {
	at := s.nowMillis + max(ms, 1)
	s.scheduled[at] = append(s.scheduled[at], task)
}

func (s *simulation) run(d time.Duration) {
	for end := s.nowMillis + int(d/time.Millisecond); s.nowMillis < end; {
		s.nowMillis++
		for _, task := range s.scheduled[s.nowMillis] {
			task()
		}
		delete(s.scheduled, s.nowMillis)
	}
}

// runUntil runs the simulation until a state is reached or the limit has passed, and
// returns how long that took.
func (s *simulation) runUntil(limit time.Duration, reached func() bool) (time.Duration, bool) {
	startMillis := s.nowMillis
	for time.Duration(s.nowMillis-startMillis)*time.Millisecond < limit {
		if reached() {
			return time.Duration(s.nowMillis-startMillis) * time.Millisecond, true
		}
		s.run(100 * time.Millisecond)
	}
	return limit, false
}

func (s *simulation) updateMembers(n *simNode, message any) {
	effects := n.members.Update(s.now(), message)
	for _, record := range effects.Changed {
		s.updateGossip(n, OriginChanged{Record: record})
	}
	if neighbours := n.changedNeighbours(); neighbours != nil {
		s.updateGossip(n, NeighboursChanged{Neighbours: neighbours})
	}
	s.updateGossip(n, message)
	for _, send := range effects.Sends {
		s.send(n, n.gossip.Attach(s.now(), send))
	}
	for _, dial := range effects.Dials {
		s.dial(n, dial.To.ID)
	}
	for _, id := range effects.Syncs {
		s.sync(n, id)
	}
}

func (n *simNode) changedNeighbours() []Neighbour {
	node := Node{members: n.members, neighbours: n.neighbours}
	changed := node.changedNeighbours()
	n.neighbours = node.neighbours
	return changed
}

func (s *simulation) updateGossip(n *simNode, message any) {
	effects := n.gossip.Update(s.now(), message)
	n.valuesReceived += len(effects.Changed)
	for _, send := range effects.Sends {
		s.send(n, send)
	}
	for _, pull := range effects.Pulls {
		s.callPeer(n, pull.From, func(to *simNode) {
			entry, _ := to.gossip.Find(pull.Entry)
			to.bytes += int(entry.Size)
			s.updateGossip(n, PullCompleted{From: pull.From, Entry: entry})
		})
	}
	for _, id := range effects.Syncs {
		s.sync(n, id)
	}
}

// isReachable reports whether packets from one node arrive at another.
func (s *simulation) isReachable(from *simNode, to *simNode) bool {
	return to != nil && !from.down && !to.down && !s.blocked(from.members.Self, to.members.Self)
}

func (s *simulation) latency(a, b *simNode) int {
	if a.members.Self.Region != b.members.Self.Region {
		return 60 + s.random.IntN(20)
	}
	return 1
}

func (s *simulation) send(from *simNode, send Send) {
	from.bytes += len(encode(send.Packet)) + framingBytes
	to := s.nodes[send.To]
	if !s.isReachable(from, to) || s.random.Float64() < s.loss {
		return
	}
	if send.Packet.Kind != packetPing {
		to.bytes += ackBytes
	}
	s.schedule(s.latency(from, to), func() {
		if !to.down {
			s.updateMembers(to, PacketReceived{From: from.members.Self.ID, Packet: send.Packet})
		}
	})
}

func (s *simulation) dial(from *simNode, id hitchfleet.InstanceID) {
	to := s.nodes[id]
	if !s.isReachable(from, to) {
		from.bytes += 3 * 1280
		return
	}
	from.bytes += handshakeBytes
	to.bytes += handshakeBytes
	s.schedule(4*s.latency(from, to), func() {
		if !s.isReachable(from, to) {
			return
		}
		receiver, _ := from.members.Record(id)
		s.updateMembers(to, HandshakeCompleted{Sender: from.members.Self, ReceiverRecord: receiver})
		receiver, _ = to.members.Record(from.members.Self.ID)
		s.updateMembers(from, HandshakeCompleted{Sender: to.members.Self, ReceiverRecord: receiver})
	})
}

func (s *simulation) callPeer(from *simNode, id hitchfleet.InstanceID, handle func(to *simNode)) {
	to := s.nodes[id]
	if !s.isReachable(from, to) {
		return
	}
	s.schedule(2*s.latency(from, to), func() {
		if s.isReachable(from, to) {
			handle(to)
		}
	})
}

func (s *simulation) sync(from *simNode, id hitchfleet.InstanceID) {
	from.bytes += 2*8*bucketCount + 2*framingBytes
	s.callPeer(from, id, func(to *simNode) {
		maxBytes, joining := syncBytes, len(from.members.table) <= 1
		if joining {
			maxBytes = joiningSyncBytes
		}
		resp := SyncCompleted{From: id, Records: to.members.Differing(from.members.Sums(), maxBytes)}
		region := to.members.Self.Region
		sums := from.gossip.Sums(region)
		resp.Entries = to.gossip.Differing(from.members.Self.Region, sums, joining, maxBytes)
		to.bytes += len(encode(syncResponse{Records: resp.Records, Entries: resp.Entries})) + 2*framingBytes
		s.updateMembers(from, resp)
	})
}

// allSee reports whether all running nodes that match see the given number of live
// routers.
func (s *simulation) allSee(live int, match func(Record) bool) bool {
	for _, id := range s.ids {
		n := s.nodes[id]
		if !n.down && match(n.members.Self) && len(n.members.LiveRouters(s.now())) != live {
			return false
		}
	}
	return true
}

func anyRecord(Record) bool { return true }

// sendRate runs the simulation for a time and returns the mean and the highest rate
// of bytes that a node sends.
func (s *simulation) sendRate(over time.Duration) (mean, highest float64) {
	before := make(map[hitchfleet.InstanceID]int)
	for id, n := range s.nodes {
		before[id] = n.bytes
	}
	s.run(over)
	for id, n := range s.nodes {
		rate := float64(n.bytes-before[id]) / over.Seconds()
		mean += rate / float64(len(s.nodes))
		highest = max(highest, rate)
	}
	return mean, highest
}
