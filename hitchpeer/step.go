package hitchpeer

import (
	"context"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	syncTimeout      = 5 * time.Second
	syncBytes        = 4 << 10
	joiningSyncBytes = 64 << 10
)

// step gives a message to Members and to Gossip and does what they ask for.
func (n *Node) step(message any) {
	n.membersMu.Lock()
	effects := n.members.Update(n.now(), message)
	neighbours := n.newNeighbours()
	n.membersMu.Unlock()
	for _, record := range effects.Changed {
		n.log().Info("member changed", "Member", string(record.ID), "Status", record.Status.String(),
			"Leaving", record.Leaving, "Incarnation", record.Incarnation)
		n.stepGossip(OriginChanged{Record: record})
	}
	if neighbours != nil {
		n.stepGossip(NeighboursChanged{Neighbours: neighbours})
	}
	switch message.(type) {
	case Tick, Received, Synced:
		n.stepGossip(message)
	}
	n.perform(effects)
	if len(effects.Changed) > 0 {
		n.publishLive()
	}
}

// newNeighbours returns the neighbours if they changed since the last call.
func (n *Node) newNeighbours() []Neighbour {
	ids := n.members.Neighbours()
	same := func(id hitchfleet.InstanceID, known Neighbour) bool { return id == known.ID }
	if slices.EqualFunc(ids, n.neighbours, same) {
		return nil
	}
	neighbours := make([]Neighbour, len(ids))
	for i, id := range ids {
		record, _ := n.members.Record(id)
		neighbours[i] = Neighbour{ID: id, Region: record.Region}
	}
	n.neighbours = neighbours
	return neighbours
}

func (n *Node) perform(effects Effects) {
	if effects.Superseded != 0 {
		n.cancel(&SupersededError{ID: n.Self.ID, Incarnation: effects.Superseded})
		return
	}
	for _, send := range effects.Sends {
		n.gossipMu.Lock()
		send = n.gossip.Attach(n.now(), send)
		n.gossipMu.Unlock()
		n.sendTo(send)
	}
	for _, dial := range effects.Dials {
		n.spawn(func() { _, _ = n.link(n.ctx, dial.To, dial.Fresh) })
	}
	for _, id := range effects.Syncs {
		n.spawn(func() { n.sync(id) })
	}
}

func (n *Node) stepGossip(message any) {
	n.gossipMu.Lock()
	effects := n.gossip.Update(n.now(), message)
	n.gossipMu.Unlock()
	for _, send := range effects.Sends {
		n.sendTo(send)
	}
	for _, pull := range effects.Pulls {
		n.spawn(func() { n.pull(pull) })
	}
	for _, id := range effects.Syncs {
		n.spawn(func() { n.sync(id) })
	}
	if n.OnShare == nil {
		return
	}
	for _, value := range effects.Changed {
		n.OnShare(value)
	}
}

// spawn runs a task that the node waits for when it stops. It reports false once
// the node has stopped.
func (n *Node) spawn(task func()) bool {
	n.runningMu.Lock()
	defer n.runningMu.Unlock()
	if n.stopped {
		return false
	}
	n.running.Go(task)
	return true
}

// publishLive computes Live anew and tells of it if it changed.
func (n *Node) publishLive() {
	n.membersMu.Lock()
	live := n.members.Live(n.now())
	same := slices.Equal(live, n.Live())
	if !same {
		n.live.Store(&live)
	}
	n.membersMu.Unlock()
	if !same && n.OnChange != nil {
		n.OnChange(live)
	}
}

// sendTo sends a packet on the open connection, and dials first if there is none.
func (n *Node) sendTo(send Send) {
	if l := n.links.get(send.To); l != nil {
		n.sendOn(l, send.Packet)
		return
	}
	to := n.lookup(send.To)
	key := dialKey{to: to.ID, addr: to.PeerAddr}
	if !n.links.mayDial(key, n.now()) {
		return
	}
	n.spawn(func() {
		l, err := n.link(n.ctx, to, false)
		if err != nil {
			n.links.dialFailed(key, n.now().Add(dialRetrySpacing))
			return
		}
		n.sendOn(l, send.Packet)
	})
}

func (n *Node) sendOn(l *link, packet Packet) {
	data := encode(packet)
	n.sent.addPacket(packet, len(data))
	l.send(data)
}

// sync fetches what another router knows and this one doesn't.
func (n *Node) sync(id hitchfleet.InstanceID) {
	ctx, cancel := context.WithTimeout(n.ctx, syncTimeout)
	defer cancel()
	region := n.lookup(id).Region
	n.membersMu.Lock()
	req := syncRequest{MemberSums: n.members.Sums(), Joining: len(n.members.table) <= 1}
	n.membersMu.Unlock()
	n.gossipMu.Lock()
	req.ShareSums = n.gossip.Sums(region)
	n.gossipMu.Unlock()
	data, err := n.Call(ctx, id, kindSync, encode(req))
	if err != nil {
		return
	}
	answer, err := decode[syncResponse](data)
	if err != nil {
		n.log().Warn("sync failed", "Peer", string(id), "Err", err)
		return
	}
	n.step(Synced{From: id, Records: answer.Records, Entries: answer.Entries})
}

func (n *Node) answerSync(_ context.Context, from hitchfleet.Instance, body []byte) ([]byte, error) {
	req, err := decode[syncRequest](body)
	if err != nil {
		return nil, err
	}
	most := syncBytes
	if req.Joining {
		most = joiningSyncBytes
	}
	n.membersMu.Lock()
	records := n.members.Differing(req.MemberSums, most)
	n.membersMu.Unlock()
	n.gossipMu.Lock()
	entries := n.gossip.Differing(from.Region, req.ShareSums, req.Joining, most)
	n.gossipMu.Unlock()
	return encode(syncResponse{Records: records, Entries: entries}), nil
}

// pull fetches a shared value that was announced.
func (n *Node) pull(pull Pull) {
	ctx, cancel := context.WithTimeout(n.ctx, pullTimeout)
	defer cancel()
	pulled := Pulled(pull)
	data, err := n.Call(ctx, pull.From, kindPull, encode(pull.Entry))
	if err == nil {
		if entry, err := decode[Entry](data); err == nil && entry.key() == pull.Entry.key() {
			pulled.Entry = entry
		}
	}
	n.stepGossip(pulled)
}

func (n *Node) answerPull(_ context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
	wanted, err := decode[Entry](body)
	if err != nil {
		return nil, err
	}
	n.gossipMu.Lock()
	entry, ok := n.gossip.Find(wanted)
	n.gossipMu.Unlock()
	if !ok {
		return nil, ErrUnknownInstance
	}
	return encode(entry), nil
}

// Traffic returns what was sent and received so far.
func (n *Node) Traffic() Traffic {
	n.wireMu.Lock()
	defer n.wireMu.Unlock()
	all := n.wire
	for _, l := range n.links.all() {
		all.Connections++
		all = all.withWire(l)
	}
	all.Dials = n.dials.Load()
	all.Sent, all.Received = n.sent.bytes(), n.received.bytes()
	return all
}

func (t Traffic) withWire(l *link) Traffic {
	stats := l.conn.ConnectionStats()
	t.WireSent += stats.BytesSent
	t.WireReceived += stats.BytesReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
	return t
}

// retire takes a connection out of use and keeps its counts.
func (n *Node) retire(l *link) {
	n.wireMu.Lock()
	defer n.wireMu.Unlock()
	n.wire = n.wire.withWire(l)
	n.links.remove(l)
}
