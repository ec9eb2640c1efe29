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

// updateMembers passes a message to Members and, where it concerns Gossip, to Gossip,
// and applies their effects.
func (n *Node) updateMembers(message any) {
	n.membersMu.Lock()
	effects := n.members.Update(n.now(), message)
	neighbours := n.changedNeighbours()
	n.membersMu.Unlock()
	for _, record := range effects.Changed {
		n.log().Info("member changed", "Member", string(record.ID), "Status", record.Status.String(),
			"Leaving", record.Leaving, "Incarnation", record.Incarnation)
		n.updateGossip(OriginChanged{Record: record})
	}
	if neighbours != nil {
		n.updateGossip(NeighboursChanged{Neighbours: neighbours})
	}
	switch message.(type) {
	case Tick, PacketReceived, SyncCompleted:
		n.updateGossip(message)
	}
	n.applyEffects(effects)
	if len(effects.Changed) > 0 {
		n.publishLive()
	}
}

// changedNeighbours returns the neighbours if they changed since the last call, and
// nil otherwise.
func (n *Node) changedNeighbours() []Neighbour {
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

func (n *Node) applyEffects(effects Effects) {
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
		n.spawn(func() { _, _ = n.openLink(n.ctx, dial.To, dial.Fresh) })
	}
	for _, id := range effects.Syncs {
		n.spawn(func() { n.sync(id) })
	}
}

func (n *Node) updateGossip(message any) {
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
	if n.OnSharedValue == nil {
		return
	}
	for _, value := range effects.Changed {
		n.OnSharedValue(value)
	}
}

// spawn runs a task on a goroutine that the node waits for when it stops. It returns
// false, without running the task, once the node has stopped.
func (n *Node) spawn(task func()) bool {
	n.tasksMu.Lock()
	defer n.tasksMu.Unlock()
	if n.stopped {
		return false
	}
	n.tasks.Go(task)
	return true
}

// publishLive recomputes LiveRouters and calls OnLiveChange if the result changed.
func (n *Node) publishLive() {
	n.membersMu.Lock()
	live := n.members.LiveRouters(n.now())
	same := slices.Equal(live, n.LiveRouters())
	if !same {
		n.live.Store(&live)
	}
	n.membersMu.Unlock()
	if !same && n.OnLiveChange != nil {
		n.OnLiveChange(live)
	}
}

// sendTo sends a packet on an open connection to the router, and dials one first if
// there is none.
func (n *Node) sendTo(send Send) {
	if l := n.links.get(send.To); l != nil {
		n.sendOn(l, send.Packet)
		return
	}
	to := n.lookup(send.To)
	key := dialKey{to: to.ID, addr: to.PeerAddr}
	if !n.links.isDialAllowed(key, n.now()) {
		return
	}
	n.spawn(func() {
		l, err := n.openLink(n.ctx, to, false)
		if err != nil {
			n.links.delayRedial(key, n.now().Add(dialRetryInterval))
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

// sync requests the records and values of another router that differ from this
// router's.
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
	resp, err := decode[syncResponse](data)
	if err != nil {
		n.log().Warn("sync failed", "Peer", string(id), "Err", err)
		return
	}
	n.updateMembers(SyncCompleted{From: id, Records: resp.Records, Entries: resp.Entries})
}

func (n *Node) handleSync(_ context.Context, from hitchfleet.Instance, body []byte) ([]byte, error) {
	req, err := decode[syncRequest](body)
	if err != nil {
		return nil, err
	}
	maxBytes := syncBytes
	if req.Joining {
		maxBytes = joiningSyncBytes
	}
	n.membersMu.Lock()
	records := n.members.Differing(req.MemberSums, maxBytes)
	n.membersMu.Unlock()
	n.gossipMu.Lock()
	entries := n.gossip.Differing(from.Region, req.ShareSums, req.Joining, maxBytes)
	n.gossipMu.Unlock()
	return encode(syncResponse{Records: records, Entries: entries}), nil
}

// pull fetches an announced value from a router that announced it.
func (n *Node) pull(pull Pull) {
	ctx, cancel := context.WithTimeout(n.ctx, pullTimeout)
	defer cancel()
	completed := PullCompleted(pull)
	data, err := n.Call(ctx, pull.From, kindPull, encode(pull.Entry))
	if err == nil {
		if entry, err := decode[Entry](data); err == nil && entry.key() == pull.Entry.key() {
			completed.Entry = entry
		}
	}
	n.updateGossip(completed)
}

func (n *Node) handlePull(_ context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
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

// Traffic returns the traffic since the start of the node.
func (n *Node) Traffic() Traffic {
	n.closedTrafficMu.Lock()
	defer n.closedTrafficMu.Unlock()
	total := n.closedTraffic
	for _, l := range n.links.all() {
		total.Connections++
		total = total.withLink(l)
	}
	total.Dials = n.dials.Load()
	total.Sent, total.Received = n.sent.bytes(), n.received.bytes()
	return total
}

func (t Traffic) withLink(l *link) Traffic {
	stats := l.conn.ConnectionStats()
	t.WireSent += stats.BytesSent
	t.WireReceived += stats.BytesReceived
	t.PacketsSent += stats.PacketsSent
	t.PacketsReceived += stats.PacketsReceived
	return t
}

// removeLink removes a connection from the pool and adds its counters to the totals.
func (n *Node) removeLink(l *link) {
	n.closedTrafficMu.Lock()
	defer n.closedTrafficMu.Unlock()
	n.closedTraffic = n.closedTraffic.withLink(l)
	n.links.remove(l)
}
