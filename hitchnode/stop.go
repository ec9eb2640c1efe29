package hitchnode

import (
	"context"
	"errors"
	"time"
)

// Stop shuts the node down gracefully: it leaves the address answers, tells
// callers where to go, takes no new work after a grace, lets streams end whole,
// hands its bookings on and leaves the membership.
func (n *Node) Stop(ctx context.Context) (err error) {
	n.log().Info("router leaving", "Instance", string(n.self.ID))
	n.peers.MarkLeaving()
	n.router.StartDraining()
	n.pause(ctx, n.grace())
	err = n.server.Stop(ctx)
	err = errors.Join(err, n.router.Bookings.HandOver(ctx, n.router))
	err = errors.Join(err, n.peers.Leave(ctx))
	n.cancel()
	n.running.Wait()
	n.log().Info("router stopped", "Instance", string(n.self.ID))
	return err
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() {
	_ = n.server.Kill()
	n.cancel()
	n.running.Wait()
}

func (n *Node) grace() time.Duration {
	if n.Settings.GraceMillis > 0 {
		return time.Duration(n.Settings.GraceMillis) * time.Millisecond
	}
	return DefaultGraceMillis * time.Millisecond
}

func (n *Node) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
