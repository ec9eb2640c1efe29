package hitchedge

import (
	"context"
	"errors"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// Times and sizes of the datagrams among instances.
const (
	// sharePerInstance is what each instance adds to the pause between two
	// digests, so that a hub sends at most 200 datagrams a second.
	sharePerInstance = 5 * time.Millisecond
	leastSharePause  = 200 * time.Millisecond
	mostSharePause   = 600 * time.Millisecond
	maxDatagramBytes = 4096
)

// isHub tells whether this instance is a hub in a view.
func (e *Edge) isHub(v hitchview.View) bool {
	return regionOf(e.Settings.Self, v).hasHub(e.Settings.Self.ID)
}

// shareDigests tells the hubs what this instance has in flight, and everyone the
// sums while this instance is a hub.
func (e *Edge) shareDigests(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp", e.Settings.Self.DatagramAddr)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	go e.readDatagrams(ctx, socket)
	for ctx.Err() == nil {
		r := e.neighbours()
		e.shareOnce(socket, r)
		e.shareNewsUntil(ctx, socket, r, time.Now().Add(sharePause(len(r.instances))))
	}
	return nil
}

// sharePause returns the pause between two reports or digests.
func sharePause(instances int) time.Duration {
	return min(max(time.Duration(instances)*sharePerInstance, leastSharePause), mostSharePause)
}

// shareNewsUntil tells news as they come, until a time.
func (e *Edge) shareNewsUntil(ctx context.Context, socket *net.UDPConn, r *region, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	urgent := e.balancer.Urgent()
	for ctx.Err() == nil {
		select {
		case <-urgent:
			pause(ctx, e.shareNews(socket, r))
		case <-ctx.Done():
		}
	}
}

// shareOnce sends one report and, from a hub, one digest. Reports without content
// say that this instance lives.
func (e *Edge) shareOnce(socket *net.UDPConn, r *region) {
	now := time.Now()
	report := e.balancer.Report()
	self := e.Settings.Self.ID
	for _, hub := range r.hubs {
		if hub.ID != self {
			e.send(socket, hitchdigest.Packet{Report: &report}, hub)
			continue
		}
		e.hearing.Hear(now, self)
		e.aggregator.Take(now, report)
		e.sendDigests(socket, r.instances, now)
	}
}

// sendDigests tells everyone the sums.
func (e *Edge) sendDigests(socket *net.UDPConn, instances []hitchfleet.Instance, now time.Time) {
	head := hitchdigest.Head{
		From:     e.Settings.Self.ID,
		Revision: e.gateway.View().Revision,
		HasStore: e.follower.HasStore(),
		ViewAddr: e.Settings.Self.PeerAddr,
		Silent:   e.hearing.Silent(now, instances),
	}
	e.liveness.Learn(now, head)
	for _, d := range e.aggregator.Digests(now, head) {
		e.balancer.Learn(now, d)
		e.send(socket, hitchdigest.Packet{Digest: &d}, instances...)
	}
}

// send writes one datagram to each of the instances but this one.
func (e *Edge) send(socket *net.UDPConn, p hitchdigest.Packet, to ...hitchfleet.Instance) {
	b, err := p.Encode()
	if err != nil {
		e.Log.Error("datagram not encoded", "Error", err)
		return
	}
	for _, i := range to {
		addr, err := net.ResolveUDPAddr("udp", i.DatagramAddr)
		if i.ID == e.Settings.Self.ID || err != nil {
			continue
		}
		// A datagram that isn't sent is one that got lost: the next one replaces it.
		_, _ = socket.WriteToUDP(b, addr)
	}
}

// readDatagrams takes in what others tell.
func (e *Edge) readDatagrams(ctx context.Context, socket *net.UDPConn) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := socket.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		p, err := hitchdigest.Decode(buf[:n])
		if err != nil {
			e.Log.Warn("datagram ignored", "From", from, "Error", err)
			continue
		}
		e.takePacket(p)
	}
}

func (e *Edge) takePacket(p hitchdigest.Packet) {
	now := time.Now()
	if p.Report != nil {
		e.hearing.Hear(now, p.Report.From)
		e.aggregator.Take(now, *p.Report)
	}
	if p.News != nil {
		e.takeNews(*p.News)
	}
	if p.Digest != nil {
		e.balancer.Learn(now, *p.Digest)
		head := p.Digest.Head
		e.liveness.Learn(now, head)
		e.follower.Hear(hitchview.HubNews{Addr: head.ViewAddr, Revision: head.Revision, HasStore: head.HasStore})
	}
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
