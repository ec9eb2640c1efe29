package hitchpeer

import (
	"context"
	"fmt"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/quic-go/quic-go"
)

// Timeouts and limits of QUIC connections.
const (
	dialTimeout       = 2 * time.Second
	dialRetryInterval = 10 * time.Second
	quicIdleTimeout   = 5 * time.Minute
	streamWindow      = 64 << 10
	connectionWindow  = 128 << 10
	maxStreams        = 256
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 quicIdleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         MaxMessageBytes,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     2 * MaxMessageBytes,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		EnableDatagrams:                true,
		DisablePathMTUDiscovery:        true,
	}
}

// openLink returns an open connection to a router and dials the router if there is
// none, or always if fresh is set.
func (n *Node) openLink(ctx context.Context, to hitchfleet.Instance, fresh bool) (*link, error) {
	if l := n.links.get(to.ID); l != nil && !fresh {
		return l, nil
	}
	if to.PeerAddr == "" {
		return nil, ErrUnknownInstance
	}
	key := dialKey{to: to.ID, addr: to.PeerAddr, fresh: fresh}
	d := n.links.dial(key, n.spawn, func() (*link, error) { return n.dial(to, fresh) })
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a connection and exchanges hellos. A fresh connection uses a new UDP
// socket: a middlebox that drops the packets of an old connection tracks it by
// address and port.
func (n *Node) dial(to hitchfleet.Instance, fresh bool) (l *link, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchpeer: dialling %s at %s: %w", to.ID, to.PeerAddr, err)
		}
	}()
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	n.dials.Add(1)
	addr, err := net.ResolveUDPAddr("udp", to.PeerAddr)
	if err != nil {
		return nil, err
	}
	cfg, err := n.keyring.clientConfig(n.Keys, to.ID)
	if err != nil {
		return nil, err
	}
	l = &link{openedAt: n.links.nextOpenedAt(to.ID, n.now())}
	if fresh {
		l.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: n.local.IP})
		if err != nil {
			return nil, err
		}
		l.conn, err = quic.Dial(ctx, l.socket, addr, cfg, quicConfig())
	} else {
		l.conn, err = n.transport.Dial(ctx, addr, cfg, quicConfig())
	}
	if err != nil {
		if l.socket != nil {
			_ = l.socket.Close()
		}
		return nil, err
	}
	if err := n.exchangeHellos(ctx, l, to.ID); err != nil {
		l.close(closeRefused, err.Error())
		return nil, err
	}
	return l, nil
}

// exchangeHellos sends this router's hello on a connection that it dialled and
// handles the reply.
func (n *Node) exchangeHellos(ctx context.Context, l *link, to hitchfleet.InstanceID) error {
	resp, err := n.roundTrip(ctx, l, request{Kind: kindHello, Body: encode(n.newHello(to, l.openedAt))}, &requestProgress{})
	if err != nil {
		return err
	}
	h, err := decode[hello](resp.Body)
	if err != nil {
		return err
	}
	if h.Sender.ID != to {
		return fmt.Errorf("%s answered in place of %s", h.Sender.ID, to)
	}
	l.peer = h.Sender
	n.startLink(l)
	n.updateMembers(HandshakeCompleted{Sender: h.Sender, ReceiverRecord: h.ReceiverRecord})
	return nil
}

func (n *Node) newHello(id hitchfleet.InstanceID, openedAt int64) hello {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	receiver, _ := n.members.Record(id)
	return hello{Sender: n.members.Self, ReceiverRecord: receiver, OpenedAt: openedAt}
}

// startLink registers a connection and serves the datagrams and streams that arrive
// on it.
func (n *Node) startLink(l *link) {
	l.recordReceived(n.now())
	n.links.add(l)
	if !n.spawn(func() { n.receiveDatagrams(l) }) {
		n.closeLink(l)
		return
	}
	n.spawn(func() { n.acceptStreams(l) })
}
