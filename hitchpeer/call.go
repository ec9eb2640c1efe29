package hitchpeer

import (
	"context"
	"errors"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/quic-go/quic-go"
)

// requestProgress records how far a request got.
type requestProgress struct {
	// written is set before the first byte of the request is handed to QUIC.
	written bool
	// rejected is set if the other router rejected the request before it ran a
	// handler.
	rejected bool
}

// Call sends a request to a router and returns the body of the response. Errors
// are of type *CallError.
//
//	resp, err := n.Call(ctx, "router-2", "Slot", body)
func (n *Node) Call(ctx context.Context, to hitchfleet.InstanceID, kind Kind, body []byte) ([]byte, error) {
	return n.CallIncarnation(ctx, to, 0, kind, body)
}

// CallIncarnation is like Call, but only the given incarnation of the router
// handles the request; zero means any. Another incarnation rejects it with an
// *IncarnationError before it runs a handler.
func (n *Node) CallIncarnation(
	ctx context.Context, to hitchfleet.InstanceID, incarnation uint64, kind Kind, body []byte,
) (respBody []byte, err error) {
	var progress requestProgress
	defer func() {
		if err != nil {
			err = &CallError{
				To: to, Kind: kind, Unsent: !progress.written,
				NotHandled: !progress.written || progress.rejected, Err: err,
			}
		}
	}()
	req := request{Kind: kind, Incarnation: incarnation, Body: body}
	if len(body) > MaxMessageBytes-1024 {
		return nil, ErrTooLarge
	}
	if to == n.Self.ID {
		progress.written = true
		return n.unpackResponse(n.runHandler(ctx, n.self().Instance(), req), req, &progress)
	}
	l, err := n.verifiedLink(ctx, to)
	if err != nil {
		return nil, err
	}
	if incarnation != 0 && incarnation != l.peer.Incarnation {
		return nil, &IncarnationError{Wanted: incarnation, Running: l.peer.Incarnation}
	}
	res, err := n.roundTrip(ctx, l, req, &progress)
	if err != nil {
		return nil, err
	}
	return n.unpackResponse(res, req, &progress)
}

// verifiedLink returns a connection for a call. A connection on which nothing was
// received recently is tested with an echo first, and replaced if that fails: at this
// point the request is unsent, so that using another connection is safe.
func (n *Node) verifiedLink(ctx context.Context, to hitchfleet.InstanceID) (*link, error) {
	select {
	case <-n.boundChan():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if n.ctx.Err() != nil {
		return nil, ErrStopped
	}
	instance := n.lookup(to)
	l, err := n.openLink(ctx, instance, false)
	if err != nil || l.isTrusted(n.now()) || l.testEcho(ctx, n.sendOn) {
		return l, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return n.openLink(ctx, instance, true)
}

// roundTrip writes a request on a new stream and reads the response.
func (n *Node) roundTrip(ctx context.Context, l *link, req request, progress *requestProgress) (res response, err error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return response{}, err
	}
	l.addCalls(n.now(), 1)
	defer func() {
		l.addCalls(n.now(), -1)
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
	progress.written = true
	n.sent.add(trafficKindOf(req.Kind), len(data))
	if _, err := stream.Write(data); err != nil {
		return response{}, streamError(ctx, err)
	}
	if err := stream.Close(); err != nil {
		return response{}, streamError(ctx, err)
	}
	respData, err := readMessage(stream)
	if err != nil {
		return response{}, streamError(ctx, err)
	}
	l.recordReceived(n.now())
	n.received.add(trafficKindOf(req.Kind), len(respData))
	return decode[response](respData)
}

// streamError returns the cause of a failed stream: the end of the context or an
// unresponsive connection, where one of these made it fail.
func streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var closed *quic.ApplicationError
	if errors.As(err, &closed) && !closed.Remote && closed.ErrorCode == closeUnresponsive {
		return ErrUnresponsive
	}
	return err
}

func (n *Node) unpackResponse(res response, req request, progress *requestProgress) ([]byte, error) {
	switch res.Code {
	case responseOK:
		return res.Body, nil
	case responseOtherIncarnation:
		progress.rejected = true
		return nil, &IncarnationError{Wanted: req.Incarnation, Running: res.Incarnation}
	case responseNoHandler:
		progress.rejected = true
		return nil, ErrNoHandler
	default:
		return res.Body, &RemoteError{Text: res.Text}
	}
}
