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

// maxQueuedDatagrams is the maximum number of datagrams that wait to be sent on one
// connection. Further ones are dropped; their senders tolerate packet loss anyway.
const maxQueuedDatagrams = 16

// Error codes of closed QUIC connections.
const (
	closeStopped quic.ApplicationErrorCode = iota
	closeIdle
	closeUnresponsive
	closeRefused
)

// link is one open connection to another router.
type link struct {
	conn *quic.Conn
	// socket is the connection's own UDP socket, or nil if it uses the node's.
	socket net.PacketConn
	// peer is the other router's record, from its hello.
	peer Record
	// openedAt is hello.OpenedAt.
	openedAt int64

	queuedDatagrams atomic.Int32

	mu     sync.Mutex
	watch  linkWatch
	echoes map[uint32]chan struct{}
	seq    uint32
}

func (l *link) id() hitchfleet.InstanceID { return l.peer.ID }

func (l *link) recordReceived(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = l.watch.withReceived(now)
}

func (l *link) addCalls(now time.Time, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = l.watch.withCalls(now, change)
}

func (l *link) isTrusted(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.isTrusted(now)
}

func (l *link) lastUse() (at time.Time, busy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watch.lastUsedAt, l.watch.calls > 0
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

// send queues a datagram. SendDatagram blocks while the connection is congested, so
// it is called on a goroutine of its own.
func (l *link) send(data []byte) {
	if l.queuedDatagrams.Add(1) > maxQueuedDatagrams {
		l.queuedDatagrams.Add(-1)
		return
	}
	go func() {
		defer l.queuedDatagrams.Add(-1)
		_ = l.conn.SendDatagram(data)
	}()
}

// newEcho returns an echo request for this connection, and a channel that is closed
// when the reply arrives.
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

func (l *link) finishEcho(seq uint32, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done, ok := l.echoes[seq]; ok && answered {
		close(done)
	}
	delete(l.echoes, seq)
}

// echoTimeout returns how long testEcho waits for a reply: four round trips, within
// bounds.
func (l *link) echoTimeout() time.Duration {
	const (
		minTimeout = 250 * time.Millisecond
		maxTimeout = time.Second
	)
	return min(max(4*l.conn.ConnectionStats().SmoothedRTT, minTimeout), maxTimeout)
}

// testEcho sends an echo request and reports whether the reply arrived in time.
func (l *link) testEcho(ctx context.Context, send func(*link, Packet)) bool {
	packet, answered := l.newEcho()
	defer l.finishEcho(packet.Seq, false)
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
