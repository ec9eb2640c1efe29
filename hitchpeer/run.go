package hitchpeer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Timing of the loop around the decisions.
const (
	seedSpacing  = 2 * time.Second
	liveSpacing  = time.Second
	spreadTime   = 5 * TickInterval
	farewellTime = 2 * TickInterval
)

// Run takes part in the membership until the context ends or Leave is done. It
// fails with a *SupersededError if another process took over this router's ID.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchpeer: running %s: %w", n.Self.ID, err)
		}
	}()
	if err := n.Bind(); err != nil {
		return err
	}
	listener, err := n.transport.Listen(n.keyring.serverConfig(n.Keys), quicConfig())
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { n.cancel(nil) })
	defer stop()
	n.spawn(func() { n.accept(listener) })
	n.log().Info("peer started", "Instance", string(n.Self.ID), "Addr", n.Addr(), "Incarnation", n.incarnation())
	n.loop()
	n.shutdown()
	var superseded *SupersededError
	if cause := context.Cause(n.ctx); errors.As(cause, &superseded) {
		return superseded
	}
	return nil
}

// loop hands the time to the decisions.
func (n *Node) loop() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var seedsAt, liveAt time.Time
	for {
		now := n.now()
		if n.Seeds != nil && !now.Before(seedsAt) {
			seedsAt = now.Add(seedSpacing)
			n.step(Listed{Instances: n.Seeds()})
		}
		if !now.Before(liveAt) {
			// Flap damping ends by time alone.
			liveAt = now.Add(liveSpacing)
			n.publishLive()
		}
		n.step(Tick{})
		n.tickLinks(now)
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) shutdown() {
	n.runningMu.Lock()
	n.stopped = true
	n.runningMu.Unlock()
	for _, l := range n.links.all() {
		l.close(closeStopped, "stopped")
	}
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
	n.running.Wait()
	n.log().Info("peer stopped", "Instance", string(n.Self.ID))
}

// tickLinks tests connections and closes those that went silent or idle.
func (n *Node) tickLinks(now time.Time) {
	for _, l := range n.links.all() {
		switch l.tick(now) {
		case linkEcho:
			packet, _ := l.newEcho()
			n.sendOn(l, packet)
		case linkSilent:
			n.log().Warn("connection silent", "Peer", string(l.id()))
			l.close(closeSilent, "silent")
		case linkIdle:
			l.close(closeIdle, "idle")
		}
	}
	most := n.MaxLinks
	if most == 0 {
		most = DefaultMaxLinks
	}
	for _, l := range n.links.leastUsed(most, now) {
		l.close(closeIdle, "too many connections")
	}
}

// MarkLeaving tells the fleet that this router is shutting down. It goes on to
// answer until Leave.
func (n *Node) MarkLeaving() {
	select {
	case <-n.bound():
	default:
		return
	}
	n.step(LeaveStarted{})
	n.publishLive()
}

// Leave marks the router as leaving, spreads that, says that it has left and
// stops Run. It returns early if the context ends.
func (n *Node) Leave(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchpeer: leaving: %w", err)
		}
	}()
	select {
	case <-n.bound():
	default:
		return ErrStopped
	}
	if !n.self().Leaving {
		n.MarkLeaving()
	}
	if err := n.pause(ctx, spreadTime); err != nil {
		return err
	}
	n.step(LeaveDone{})
	if err := n.pause(ctx, farewellTime); err != nil {
		return err
	}
	n.cancel(nil)
	return nil
}

func (n *Node) pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-n.ctx.Done():
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
