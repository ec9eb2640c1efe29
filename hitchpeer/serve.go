package hitchpeer

import (
	"context"
	"errors"
	"io"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/quic-go/quic-go"
)

// MaxMessageBytes is the largest request or answer.
const MaxMessageBytes = 2 << 20

// Handler answers a request of another router. Its context ends when the caller
// gives up or its connection is lost.
type Handler func(ctx context.Context, from hitchfleet.Instance, body []byte) ([]byte, error)

// errNoHello says that a connection didn't start with a hello.
var errNoHello = errors.New("no hello at the start")

// accept serves connections that other routers dial.
func (n *Node) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(n.ctx)
		if err != nil {
			return
		}
		n.spawn(func() { n.welcome(conn) })
	}
}

// welcome answers the hello of a router that dialled.
func (n *Node) welcome(conn *quic.Conn) {
	l := &link{conn: conn}
	if err := n.receiveHello(l); err != nil {
		n.log().Warn("peer refused", "Addr", conn.RemoteAddr().String(), "Err", err)
		l.close(closeRefused, err.Error())
	}
}

func (n *Node) receiveHello(l *link) error {
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
	l.peer, l.born = h.Sender, h.Born
	n.step(Greeted{Sender: h.Sender, Opinion: h.Opinion})
	// The answer carries what this router made of the opinion about it.
	n.adopt(l)
	return n.writeResponse(stream, kindHello, response{Body: encode(n.helloFor(h.Sender.ID, l.born))})
}

func (n *Node) receiveDatagrams(l *link) {
	defer n.forget(l)
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
		l.heard(n.now())
		switch packet.Kind {
		case packetEcho:
			n.sendOn(l, Packet{Kind: packetEchoReply, Seq: packet.Seq})
		case packetEchoReply:
			l.endEcho(packet.Seq, true)
		default:
			n.step(Received{From: l.id(), Packet: packet})
		}
	}
}

func (n *Node) forget(l *link) {
	n.retire(l)
	l.close(closeStopped, "")
}

func (n *Node) acceptStreams(l *link) {
	for {
		stream, err := l.conn.AcceptStream(n.ctx)
		if err != nil {
			return
		}
		l.heard(n.now())
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
	answer := n.handle(stream.Context(), l.peer.Instance(), req)
	if err := n.writeResponse(stream, req.Kind, answer); err != nil {
		stream.CancelWrite(0)
	}
}

// handle runs the handler of a request that is meant for this incarnation.
func (n *Node) handle(ctx context.Context, from hitchfleet.Instance, req request) response {
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
	n.received.add(trafficOf(req.Kind), len(data))
	return req, err
}

func (n *Node) writeResponse(stream *quic.Stream, kind Kind, answer response) error {
	data := encode(answer)
	if len(data) > MaxMessageBytes {
		data = encode(response{Code: responseFailed, Text: ErrTooLarge.Error()})
	}
	n.sent.add(trafficOf(kind), len(data))
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
