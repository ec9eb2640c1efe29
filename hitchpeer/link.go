package hitchpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/quic-go/quic-go"
)

// maxWaitingDatagrams bounds the datagrams that wait on one connection; more are
// dropped, as they would be by a network.
const maxWaitingDatagrams = 16

// Codes with which connections are closed.
const (
	closeStopped quic.ApplicationErrorCode = iota
	closeIdle
	closeSilent
	closeRefused
)

// link is one open connection to another router.
type link struct {
	conn *quic.Conn
	// socket belongs to this connection alone, or is nil.
	socket net.PacketConn
	// peer is the other router as it introduced itself.
	peer Record
	born int64

	waiting atomic.Int32

	mu     sync.Mutex
	watch  linkWatch
	echoes map[uint32]chan struct{}
	seq    uint32
}

func (l *link) id() hitchfleet.InstanceID { return l.peer.ID }

func (l *link) heard(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = l.watch.withHeard(now)
}

func (l *link) countCalls(now time.Time, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = l.watch.withCalls(now, change)
}

func (l *link) trusted(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.trusted(now)
}

func (l *link) usedAt() (at time.Time, busy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.usedAt, l.watch.calls > 0
}

func (l *link) tick(now time.Time) linkAction {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, action := l.watch.update(now)
	l.watch = next
	return action
}

func (l *link) close(code quic.ApplicationErrorCode, reason string) {
	_ = l.conn.CloseWithError(code, reason)
	if l.socket != nil {
		_ = l.socket.Close()
	}
}

// send queues a datagram. SendDatagram blocks while the connection is congested,
// so it runs apart.
func (l *link) send(data []byte) {
	if l.waiting.Add(1) > maxWaitingDatagrams {
		l.waiting.Add(-1)
		return
	}
	go func() {
		defer l.waiting.Add(-1)
		_ = l.conn.SendDatagram(data)
	}()
}

// newEcho returns a test of the connection and the channel that is closed once
// it is answered.
func (l *link) newEcho() (Packet, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.echoes == nil {
		l.echoes = make(map[uint32]chan struct{})
	}
	l.seq++
	answered := make(chan struct{})
	l.echoes[l.seq] = answered
	return Packet{Kind: packetEcho, Seq: l.seq}, answered
}

func (l *link) endEcho(seq uint32, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done, ok := l.echoes[seq]; ok && answered {
		close(done)
	}
	delete(l.echoes, seq)
}

// echoTimeout is how long a test before a call may take.
func (l *link) echoTimeout() time.Duration {
	const (
		least = 250 * time.Millisecond
		most  = time.Second
	)
	return min(max(4*l.conn.ConnectionStats().SmoothedRTT, least), most)
}

// alive tests the connection and reports whether the other end answered in time.
func (l *link) alive(ctx context.Context, send func(*link, Packet)) bool {
	packet, answered := l.newEcho()
	defer l.endEcho(packet.Seq, false)
	ctx, cancel := context.WithTimeout(ctx, l.echoTimeout())
	defer cancel()
	send(l, packet)
	select {
	case <-answered:
		return true
	case <-l.conn.Context().Done():
		return false
	case <-ctx.Done():
		return false
	}
}
