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
	simStart    = 1_800_000_000
	simRegions  = 3
	simZones    = 3
	wireFraming = 28 + 25 // UDP/IP and QUIC, bytes
	wireAck     = 28 + 30 // a packet with nothing but a QUIC acknowledgement, bytes
	wireDial    = 4200    // a handshake with both certificates, bytes sent by each end
)

// simNode is a router of a simulated network.
type simNode struct {
	members   Members
	gossip    Gossip
	down      bool
	bytes     int
	neighbour []Neighbour
	shared    int
}

// simulation drives plain values over a network with latency and loss, one
// millisecond after the other.
type simulation struct {
	random  *rand.Rand
	ms      int
	due     map[int][]func()
	nodes   map[hitchfleet.InstanceID]*simNode
	order   []hitchfleet.InstanceID
	loss    float64
	blocked func(a, b Record) bool
}

func newSimulation(count int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(testSeed(), 1)), due: make(map[int][]func()),
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
		s.order = append(s.order, i.ID)
	}
	s.nodes[i.ID] = n
	s.tickFrom(n, s.random.IntN(100))
	return n
}

func (s *simulation) tickFrom(n *simNode, after int) {
	s.after(after, func() {
		if !n.down {
			s.step(n, Tick{})
			s.tickFrom(n, int(TickInterval/time.Millisecond))
		}
	})
}

// acquaint tells all nodes of all others, as after a long quiet time.
func (s *simulation) acquaint() *simulation {
	var records []Record
	for _, id := range s.order {
		records = append(records, s.nodes[id].members.Self)
	}
	for _, id := range s.order {
		n := s.nodes[id]
		n.members.Update(s.now(), Synced{Records: records})
		n.gossip.init()
		for _, record := range records {
			n.gossip.Update(s.now(), OriginChanged{Record: record})
		}
	}
	return s
}

func (s *simulation) now() time.Time {
	return time.Unix(simStart, 0).Add(time.Duration(s.ms) * time.Millisecond)
}

func (s *simulation) after(ms int, do func()) {
	at := s.ms + max(ms, 1)
	s.due[at] = append(s.due[at], do)
}

func (s *simulation) run(d time.Duration) {
	for end := s.ms + int(d/time.Millisecond); s.ms < end; {
		s.ms++
		for _, do := range s.due[s.ms] {
			do()
		}
		delete(s.due, s.ms)
	}
}

// until runs until a state is reached, and returns how long that took.
func (s *simulation) until(limit time.Duration, reached func() bool) (time.Duration, bool) {
	begin := s.ms
	for time.Duration(s.ms-begin)*time.Millisecond < limit {
		if reached() {
			return time.Duration(s.ms-begin) * time.Millisecond, true
		}
		s.run(100 * time.Millisecond)
	}
	return limit, false
}

func (s *simulation) step(n *simNode, message any) {
	effects := n.members.Update(s.now(), message)
	for _, record := range effects.Changed {
		s.stepGossip(n, OriginChanged{Record: record})
	}
	if neighbours := n.newNeighbours(); neighbours != nil {
		s.stepGossip(n, NeighboursChanged{Neighbours: neighbours})
	}
	s.stepGossip(n, message)
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

func (n *simNode) newNeighbours() []Neighbour {
	node := Node{members: n.members, neighbours: n.neighbour}
	changed := node.newNeighbours()
	n.neighbour = node.neighbours
	return changed
}

func (s *simulation) stepGossip(n *simNode, message any) {
	effects := n.gossip.Update(s.now(), message)
	n.shared += len(effects.Changed)
	for _, send := range effects.Sends {
		s.send(n, send)
	}
	for _, pull := range effects.Pulls {
		s.stream(n, pull.From, func(to *simNode) {
			entry, _ := to.gossip.Find(pull.Entry)
			to.bytes += int(entry.Size)
			s.stepGossip(n, Pulled{From: pull.From, Entry: entry})
		})
	}
	for _, id := range effects.Syncs {
		s.sync(n, id)
	}
}

// reaches reports whether packets get from one node to another.
func (s *simulation) reaches(from *simNode, to *simNode) bool {
	return to != nil && !from.down && !to.down && !s.blocked(from.members.Self, to.members.Self)
}

func (s *simulation) latency(a, b *simNode) int {
	if a.members.Self.Region != b.members.Self.Region {
		return 60 + s.random.IntN(20)
	}
	return 1
}

func (s *simulation) send(from *simNode, send Send) {
	from.bytes += len(encode(send.Packet)) + wireFraming
	to := s.nodes[send.To]
	if !s.reaches(from, to) || s.random.Float64() < s.loss {
		return
	}
	if send.Packet.Kind != packetPing {
		to.bytes += wireAck
	}
	s.after(s.latency(from, to), func() {
		if !to.down {
			s.step(to, Received{From: from.members.Self.ID, Packet: send.Packet})
		}
	})
}

func (s *simulation) dial(from *simNode, id hitchfleet.InstanceID) {
	to := s.nodes[id]
	if !s.reaches(from, to) {
		from.bytes += 3 * 1280
		return
	}
	from.bytes += wireDial
	to.bytes += wireDial
	s.after(4*s.latency(from, to), func() {
		if !s.reaches(from, to) {
			return
		}
		opinion, _ := from.members.Record(id)
		s.step(to, Greeted{Sender: from.members.Self, Opinion: opinion})
		opinion, _ = to.members.Record(from.members.Self.ID)
		s.step(from, Greeted{Sender: to.members.Self, Opinion: opinion})
	})
}

func (s *simulation) stream(from *simNode, id hitchfleet.InstanceID, do func(to *simNode)) {
	to := s.nodes[id]
	if !s.reaches(from, to) {
		return
	}
	s.after(2*s.latency(from, to), func() {
		if s.reaches(from, to) {
			do(to)
		}
	})
}

func (s *simulation) sync(from *simNode, id hitchfleet.InstanceID) {
	from.bytes += 2*8*bucketCount + 2*wireFraming
	s.stream(from, id, func(to *simNode) {
		most, joining := syncBytes, len(from.members.table) <= 1
		if joining {
			most = joiningSyncBytes
		}
		answer := Synced{From: id, Records: to.members.Differing(from.members.Sums(), most)}
		region := to.members.Self.Region
		sums := from.gossip.Sums(region)
		answer.Entries = to.gossip.Differing(from.members.Self.Region, sums, joining, most)
		to.bytes += len(encode(syncResponse{Records: answer.Records, Entries: answer.Entries})) + 2*wireFraming
		s.step(from, answer)
	})
}

// sees reports whether all running nodes that match see a number of live routers.
func (s *simulation) sees(live int, match func(Record) bool) bool {
	for _, id := range s.order {
		n := s.nodes[id]
		if !n.down && match(n.members.Self) && len(n.members.Live(s.now())) != live {
			return false
		}
	}
	return true
}

func anyRecord(Record) bool { return true }

// rate returns the mean and the highest rate of bytes that a node sends.
func (s *simulation) rate(over time.Duration) (mean, most float64) {
	before := make(map[hitchfleet.InstanceID]int)
	for id, n := range s.nodes {
		before[id] = n.bytes
	}
	s.run(over)
	for id, n := range s.nodes {
		rate := float64(n.bytes-before[id]) / over.Seconds()
		mean += rate / float64(len(s.nodes))
		most = max(most, rate)
	}
	return mean, most
}
