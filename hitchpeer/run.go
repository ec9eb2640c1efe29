package hitchpeer

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Intervals of the main loop, and delays while leaving.
const (
	seedInterval           = 2 * time.Second
	liveInterval           = time.Second
	leavingPropagationTime = 5 * TickInterval
	leftPropagationTime    = 2 * TickInterval
)

// Run runs the node until the context ends or Leave completes. It returns a
// *SupersededError if another process with a higher incarnation uses this router's
// ID.
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

// loop passes ticks and the platform's list to Members and Gossip until the node
// stops.
func (n *Node) loop() {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var seedsAt, liveAt time.Time
	for {
		now := n.now()
		if n.Seeds != nil && !now.Before(seedsAt) {
			seedsAt = now.Add(seedInterval)
			n.updateMembers(ListReceived{Instances: n.Seeds()})
		}
		if !now.Before(liveAt) {
			// LiveRouters can change without a message: flap damping ends by time.
			liveAt = now.Add(liveInterval)
			n.publishLive()
		}
		n.updateMembers(Tick{})
		n.tickLinks(now)
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) shutdown() {
	n.tasksMu.Lock()
	n.stopped = true
	n.tasksMu.Unlock()
	for _, l := range n.links.all() {
		l.close(closeStopped, "stopped")
	}
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
	n.tasks.Wait()
	n.log().Info("peer stopped", "Instance", string(n.Self.ID))
}

// tickLinks sends due echo requests and closes connections that are unresponsive,
// idle or too many.
func (n *Node) tickLinks(now time.Time) {
	for _, l := range n.links.all() {
		switch l.tick(now) {
		case linkEcho:
			packet, _ := l.newEcho()
			n.sendOn(l, packet)
		case linkUnresponsive:
			n.log().Warn("connection silent", "Peer", string(l.id()))
			l.close(closeUnresponsive, "silent")
		case linkIdle:
			l.close(closeIdle, "idle")
		}
	}
	limit := n.MaxLinks
	if limit == 0 {
		limit = DefaultMaxLinks
	}
	for _, l := range n.links.evictable(limit, now) {
		l.close(closeIdle, "too many connections")
	}
}

// MarkLeaving announces to the fleet that this router is shutting down. The router
// continues to handle requests until Leave.
func (n *Node) MarkLeaving() {
	select {
	case <-n.boundChan():
	default:
		return
	}
	n.updateMembers(LeaveStarted{})
	n.publishLive()
}

// Leave announces that the router is leaving, waits for the update to spread,
// announces that it has left, and stops Run. It returns early if the context ends.
func (n *Node) Leave(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchpeer: leaving: %w", err)
		}
	}()
	select {
	case <-n.boundChan():
	default:
		return ErrStopped
	}
	if !n.self().Leaving {
		n.MarkLeaving()
	}
	if err := n.sleep(ctx, leavingPropagationTime); err != nil {
		return err
	}
	n.updateMembers(LeaveDone{})
	if err := n.sleep(ctx, leftPropagationTime); err != nil {
		return err
	}
	n.cancel(nil)
	return nil
}

func (n *Node) sleep(ctx context.Context, d time.Duration) error {
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
