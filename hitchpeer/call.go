package hitchpeer

import (
	"context"
	"errors"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/quic-go/quic-go"
)

// exchange records how far a request got.
type exchange struct {
	// written is set before the first byte of the request is handed to QUIC.
	written bool
	refused bool
}

// Call sends a request to a router and returns its answer. It fails with a
// *CallError.
//
//	answer, err := n.Call(ctx, "router-2", "Slot", body)
func (n *Node) Call(ctx context.Context, to hitchfleet.InstanceID, kind Kind, body []byte) ([]byte, error) {
	return n.CallIncarnation(ctx, to, 0, kind, body)
}

// CallIncarnation is Call for one incarnation of a router. Any other incarnation
// refuses the request with an *IncarnationError before a handler sees it.
func (n *Node) CallIncarnation(
	ctx context.Context, to hitchfleet.InstanceID, incarnation uint64, kind Kind, body []byte,
) (answer []byte, err error) {
	var ex exchange
	defer func() {
		if err != nil {
			err = &CallError{
				To: to, Kind: kind, Unsent: !ex.written,
				NotHandled: !ex.written || ex.refused, Err: err,
			}
		}
	}()
	req := request{Kind: kind, Incarnation: incarnation, Body: body}
	if len(body) > MaxMessageBytes-1024 {
		return nil, ErrTooLarge
	}
	if to == n.Self.ID {
		ex.written = true
		return n.result(n.handle(ctx, n.self().Instance(), req), req, &ex)
	}
	l, err := n.callLink(ctx, to)
	if err != nil {
		return nil, err
	}
	if incarnation != 0 && incarnation != l.peer.Incarnation {
		return nil, &IncarnationError{Wanted: incarnation, Running: l.peer.Incarnation}
	}
	res, err := n.roundTrip(ctx, l, req, &ex)
	if err != nil {
		return nil, err
	}
	return n.result(res, req, &ex)
}

// callLink returns a connection that a call can trust. One that was quiet for
// long is tested first, and replaced while the request is still unsent.
func (n *Node) callLink(ctx context.Context, to hitchfleet.InstanceID) (*link, error) {
	select {
	case <-n.bound():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if n.ctx.Err() != nil {
		return nil, ErrStopped
	}
	instance := n.lookup(to)
	l, err := n.link(ctx, instance, false)
	if err != nil || l.trusted(n.now()) || l.alive(ctx, n.sendOn) {
		return l, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return n.link(ctx, instance, true)
}

// roundTrip writes a request on a stream of its own and reads the answer.
func (n *Node) roundTrip(ctx context.Context, l *link, req request, ex *exchange) (res response, err error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return response{}, err
	}
	l.countCalls(n.now(), 1)
	defer func() {
		l.countCalls(n.now(), -1)
		if err != nil {
			stream.CancelWrite(0)
			stream.CancelRead(0)
		}
	}()
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(0)
		stream.CancelRead(0)
	})
	defer stop()
	data := encode(req)
	ex.written = true
	n.sent.add(trafficOf(req.Kind), len(data))
	if _, err := stream.Write(data); err != nil {
		return response{}, explain(ctx, err)
	}
	if err := stream.Close(); err != nil {
		return response{}, explain(ctx, err)
	}
	answer, err := readMessage(stream)
	if err != nil {
		return response{}, explain(ctx, err)
	}
	l.heard(n.now())
	n.received.add(trafficOf(req.Kind), len(answer))
	return decode[response](answer)
}

// explain names the cause of a failed stream.
func explain(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && !closed.Remote && closed.ErrorCode == closeSilent {
		return ErrSilent
	}
	return err
}

func (n *Node) result(res response, req request, ex *exchange) ([]byte, error) {
	switch res.Code {
	case responseOK:
		return res.Body, nil
	case responseOtherIncarnation:
		ex.refused = true
		return nil, &IncarnationError{Wanted: req.Incarnation, Running: res.Incarnation}
	case responseNoHandler:
		ex.refused = true
		return nil, ErrNoHandler
	default:
		return res.Body, &RemoteError{Text: res.Text}
	}
}
