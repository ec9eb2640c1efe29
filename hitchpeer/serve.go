package hitchpeer

import (
	"context"
	"errors"
	"io"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/quic-go/quic-go"
)

// MaxMessageBytes is the maximum size of an encoded request or response.
const MaxMessageBytes = 2 << 20

// Handler handles a request of another router and returns the response body. Its
// context ends when the caller cancels the request or the connection is lost.
type Handler func(ctx context.Context, from hitchfleet.Instance, body []byte) ([]byte, error)

// errNoHello is returned if the first message on a connection isn't a hello.
var errNoHello = errors.New("no hello at the start")

// accept accepts connections from other routers.
func (n *Node) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.spawn(func() { n.handshake(conn) })
	}
}

// handshake handles the hello on an accepted connection and closes the connection if
// the router is rejected.
func (n *Node) handshake(conn *quic.Conn) {
	l := &link{conn: conn}
	if err := n.acceptHello(l); err != nil {
		n.log().Warn("peer refused", "Addr", conn.RemoteAddr().String(), "Err", err)
		l.close(closeRefused, err.Error())
	}
}

func (n *Node) acceptHello(l *link) error {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	stream, err := l.conn.AcceptStream(ctx)
	if err != nil {
		return err
	}
	_ = stream.SetDeadline(time.Now().Add(dialTimeout))
	req, err := n.readRequest(stream)
	if err != nil {
		return err
	}
	h, err := decode[hello](req.Body)
	if err != nil || req.Kind != kindHello {
		return errNoHello
	}
	if err := verifyPeer(l.conn.ConnectionState().TLS, h.Sender.ID); err != nil {
		return err
	}
	endHandshake(l.conn)
	l.peer, l.openedAt = h.Sender, h.OpenedAt
	n.updateMembers(HandshakeCompleted{Sender: h.Sender, ReceiverRecord: h.ReceiverRecord})
	// The reply is built after the update, so that it refutes a wrong ReceiverRecord.
	n.startLink(l)
	return n.writeResponse(stream, kindHello, response{Body: encode(n.newHello(h.Sender.ID, l.openedAt))})
}

func (n *Node) receiveDatagrams(l *link) {
	defer n.closeLink(l)
	for {
		data, err := l.conn.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		packet, err := decode[Packet](data)
		if err != nil {
			n.log().Warn("packet dropped", "From", string(l.id()), "Err", err)
			continue
		}
		n.received.addPacket(packet, len(data))
		l.recordReceived(n.now())
		switch packet.Kind {
		case packetEcho:
			n.sendOn(l, Packet{Kind: packetEchoReply, Seq: packet.Seq})
		case packetEchoReply:
			l.finishEcho(packet.Seq, true)
		default:
			n.updateMembers(PacketReceived{From: l.id(), Packet: packet})
		}
	}
}

func (n *Node) closeLink(l *link) {
	n.removeLink(l)
	l.close(closeStopped, "")
}

func (n *Node) acceptStreams(l *link) {
	for {
		stream, err := l.conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		l.recordReceived(n.now())
		n.spawn(func() { n.serveStream(l, stream) })
	}
}

func (n *Node) serveStream(l *link, stream *quic.Stream) {
	req, err := n.readRequest(stream)
	if err != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	resp := n.runHandler(stream.Context(), l.peer.Instance(), req)
	if err := n.writeResponse(stream, req.Kind, resp); err != nil {
		stream.CancelWrite(0)
	}
}

// runHandler runs the handler for a request, unless the request is for another
// incarnation or has no handler.
func (n *Node) runHandler(ctx context.Context, from hitchfleet.Instance, req request) response {
	if req.Incarnation != 0 && req.Incarnation != n.incarnation() {
		return response{Code: responseOtherIncarnation, Incarnation: n.incarnation()}
	}
	n.handlersMu.RLock()
	handler := n.handlers[req.Kind]
	n.handlersMu.RUnlock()
	if handler == nil {
		return response{Code: responseNoHandler}
	}
	body, err := handler(ctx, from, req.Body)
	if err != nil {
		return response{Code: responseFailed, Text: err.Error(), Body: body}
	}
	return response{Body: body}
}

func (n *Node) readRequest(stream *quic.Stream) (request, error) {
	data, err := readMessage(stream)
	if err != nil {
		return request{}, err
	}
	req, err := decode[request](data)
	n.received.add(trafficKindOf(req.Kind), len(data))
	return req, err
}

func (n *Node) writeResponse(stream *quic.Stream, kind Kind, resp response) error {
	data := encode(resp)
	if len(data) > MaxMessageBytes {
		data = encode(response{Code: responseFailed, Text: ErrTooLarge.Error()})
	}
	n.sent.add(trafficKindOf(kind), len(data))
	if _, err := stream.Write(data); err != nil {
		return err
	}
	return stream.Close()
}

func readMessage(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}
