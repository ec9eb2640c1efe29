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

// udpProxy forwards UDP packets and can drop the existing flows, like a middlebox that
// loses its state: packets of client addresses seen so far are dropped, those of
// new ones are forwarded.
type udpProxy struct {
	socket  *net.UDPConn
	target  *net.UDPAddr
	mu      sync.Mutex
	flows   map[string]*net.UDPConn
	dropped map[string]bool
}

func (p *udpProxy) forward(running *sync.WaitGroup) {
	buf := make([]byte, 2048)
	for {
		size, from, err := p.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		flow, known := p.flows[from.String()]
		if !known {
			flow, _ = net.DialUDP("udp", nil, p.target)
			p.flows[from.String()] = flow
			running.Go(func() { p.forwardReplies(flow, from) })
		}
		if !p.dropped[from.String()] {
			_, _ = flow.Write(buf[:size])
		}
		p.mu.Unlock()
	}
}

func (p *udpProxy) forwardReplies(flow *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		size, err := flow.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		if !p.dropped[to.String()] {
			_, _ = p.socket.WriteToUDP(buf[:size], to)
		}
		p.mu.Unlock()
	}
}

func (p *udpProxy) dropFlows() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for from := range p.flows {
		p.dropped[from] = true
	}
}

func newUDPProxy(t *testing.T, target string) *udpProxy {
	addr, err := net.ResolveUDPAddr("udp", target)
	qt.Assert(t, err, qt.IsNil)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	p := &udpProxy{socket: socket, target: addr, flows: make(map[string]*net.UDPConn), dropped: make(map[string]bool)}
	var running sync.WaitGroup
	running.Go(func() { p.forward(&running) })
	t.Cleanup(func() {
		_ = socket.Close()
		p.mu.Lock()
		for _, flow := range p.flows {
			_ = flow.Close()
		}
		p.mu.Unlock()
		running.Wait()
	})
	return p
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
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
	proxy := newUDPProxy(t, b.Addr())
	b.membersMu.Lock()
	b.members.Self.PeerAddr = proxy.socket.LocalAddr().String()
	b.membersMu.Unlock()
	f.start(b)
	a := f.start(f.newNode("router-00"))
	f.waitForLive(2)
	_, err := a.dial(b.Instance(), true)
	qt.Assert(t, err, qt.IsNil)
	hangErr := make(chan error)
	go func() {
		_, err := a.Call(context.Background(), "router-01", "Hang", nil)
		hangErr <- err
	}()
	<-handled
	proxy.dropFlows()
	var failed *CallError
	qt.Assert(t, errors.As(<-hangErr, &failed), qt.IsTrue)
	qt.Assert(t, failed.Unsent, qt.IsFalse)
	qt.Assert(t, errors.Is(failed, ErrUnresponsive), qt.IsTrue, qt.Commentf("%v", failed))
	_, err = a.Call(t.Context(), "router-01", "Echo", []byte("again"))
	qt.Assert(t, err, qt.IsNil)
}
