package hitchingress

import (
	"context"
	"errors"
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
)

// Times of the watch over the instance that relays a stream.
const (
	// senderAckTimeout is how long that instance may acknowledge nothing of the stream. Callers wait as long for the
	// next event before they take a stream up elsewhere, and a caller that reads slowly pauses for less.
	senderAckTimeout = 2 * time.Second
	// senderAckInterval is the time between two looks.
	senderAckInterval = 100 * time.Millisecond
)

// errSenderLost is the cause of the end of a relayed request whose sender isn't reached any more.
var errSenderLost = errors.New("the instance that relays the request acknowledges nothing")

// senderWatch says whether the other side of a connection has acknowledged anything lately. The zero value has seen
// nothing.
type senderWatch struct {
	acked uint64
	// lostAt is when the other side counts as lost unless it acknowledges more; the zero time while nothing is awaited.
	lostAt time.Time
}

// after returns the watch after a look, and whether the other side counts as lost.
func (w senderWatch) after(now time.Time, acked uint64, unacked int64) (_ senderWatch, isLost bool) {
	switch {
	case unacked == 0:
		w.lostAt = time.Time{}
	case w.lostAt.IsZero() || acked != w.acked:
		w.lostAt = now.Add(senderAckTimeout)
	}
	w.acked = acked
	return w, !w.lostAt.IsZero() && !now.Before(w.lostAt)
}

// watchSender cancels a request that may run again if the instance that relays it acknowledges nothing more, so that no
// endpoint works on a stream that goes on elsewhere. It returns once ctx ends.
//
// Load pattern: the path between two instances is cut while one relays streams through the other.
func (g *Gateway) watchSender(ctx context.Context, req *proxyRequest, conn net.Conn, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(senderAckInterval)
	defer ticker.Stop()
	var watch senderWatch
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			acked, unacked, err := hitchconn.Acks(conn)
			if err != nil {
				return // no TCP connection, or closed
			}
			isLost := false
			if watch, isLost = watch.after(now, acked, unacked); isLost {
				g.Log.Info("relaying instance is lost", "ID", req.ID, "Route", req.route.Name, "From", req.relayedBy, "Unacked", unacked)
				cancel(errSenderLost)
				return
			}
		}
	}
}
