package hitchpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"

	"citronhitch.example/citronhitch/hitchfleet"
	qt "github.com/frankban/quicktest"
)

// blackhole is a UDP relay that can lose track of a flow, as a middlebox does:
// what comes from the ports that were seen before is dropped, new ones pass.
type blackhole struct {
	socket *net.UDPConn
	to     *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*net.UDPConn
	lost   map[string]bool
}

func (b *blackhole) run(running *sync.WaitGroup) {
	buf := make([]byte, 2048)
	for {
		size, from, err := b.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		b.mu.Lock()
		flow, known := b.flows[from.String()]
		if !known {
			flow, _ = net.DialUDP("udp", nil, b.to)
			b.flows[from.String()] = flow
			running.Go(func() { b.back(flow, from) })
		}
		if !b.lost[from.String()] {
			_, _ = flow.Write(buf[:size])
		}
		b.mu.Unlock()
	}
}

func (b *blackhole) back(flow *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		size, err := flow.Read(buf)
		if err != nil {
			return
		}
		b.mu.Lock()
		if !b.lost[to.String()] {
			_, _ = b.socket.WriteToUDP(buf[:size], to)
		}
		b.mu.Unlock()
	}
}

func (b *blackhole) loseFlows() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for from := range b.flows {
		b.lost[from] = true
	}
}

func newBlackhole(t *testing.T, to string) *blackhole {
	addr, err := net.ResolveUDPAddr("udp", to)
	qt.Assert(t, err, qt.IsNil)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	b := &blackhole{socket: socket, to: addr, flows: make(map[string]*net.UDPConn), lost: make(map[string]bool)}
	var running sync.WaitGroup
	running.Go(func() { b.run(&running) })
	t.Cleanup(func() {
		_ = socket.Close()
		b.mu.Lock()
		for _, flow := range b.flows {
			_ = flow.Close()
		}
		b.mu.Unlock()
		running.Wait()
	})
	return b
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t)
	b := f.newNode("router-01")
	b.Listen = "127.0.0.1:0"
	b.Handle("Echo", echoHandler)
	handled := make(chan struct{})
	b.Handle("Hang", func(ctx context.Context, _ hitchfleet.Instance, _ []byte) ([]byte, error) {
		close(handled)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	qt.Assert(t, b.Bind(), qt.IsNil)
	hole := newBlackhole(t, b.Addr())
	b.membersMu.Lock()
	b.members.Self.PeerAddr = hole.socket.LocalAddr().String()
	b.membersMu.Unlock()
	f.start(b)
	a := f.start(f.newNode("router-00"))
	f.converge(2)
	_, err := a.dial(b.Instance(), true)
	qt.Assert(t, err, qt.IsNil)
	hung := make(chan error)
	go func() {
		_, err := a.Call(context.Background(), "router-01", "Hang", nil)
		hung <- err
	}()
	<-handled
	hole.loseFlows()
	var failed *CallError
	qt.Assert(t, errors.As(<-hung, &failed), qt.IsTrue)
	qt.Assert(t, failed.Unsent, qt.IsFalse)
	qt.Assert(t, errors.Is(failed, ErrSilent), qt.IsTrue, qt.Commentf("%v", failed))
	_, err = a.Call(t.Context(), "router-01", "Echo", []byte("again"))
	qt.Assert(t, err, qt.IsNil)
}
