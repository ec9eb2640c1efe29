package hitchnode

import (
	"context"
	"errors"
	"time"
)

// Stop shuts the node down gracefully. The router disappears from address responses
// and directs callers to other routers, accepts no new requests after a grace period,
// completes its streams, hands its bookings over, and leaves the membership.
func (n *Node) Stop(ctx context.Context) (err error) {
	n.log().Info("router shutting down", "Instance", string(n.self.ID))
	n.peers.MarkLeaving()
	n.router.StartDraining()
	n.sleep(ctx, n.gracePeriod())
	err = n.server.Stop(ctx)
	err = errors.Join(err, n.router.Bookings.HandOver(ctx, n.router))
	err = errors.Join(err, n.peers.Leave(ctx))
	n.cancel()
	n.background.Wait()
	n.log().Info("router stopped", "Instance", string(n.self.ID))
	return err
}

// Kill stops the node at once, like a crash.
func (n *Node) Kill() {
	_ = n.server.Kill()
	n.cancel()
	n.background.Wait()
}

func (n *Node) gracePeriod() time.Duration {
	if n.Settings.GracePeriodMillis > 0 {
		return time.Duration(n.Settings.GracePeriodMillis) * time.Millisecond
	}
	return DefaultGracePeriodMillis * time.Millisecond
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
