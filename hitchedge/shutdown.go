package hitchedge

import (
	"context"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchserver"
)

// Durations of a graceful shutdown.
const (
	// directoryDelay is how long the directories of other instances may still name this
	// one after it has seen that its entry is gone.
	directoryDelay = time.Second
	// drainDelay is how long after that callers who cached an old directory response are
	// still accepted.
	drainDelay = directoryDelay + directoryTTLSeconds*time.Second
	// lateDelay is after how long only requests are accepted that surely end in time. Most
	// callers have left by then.
	lateDelay = directoryTTLSeconds*time.Second + 500*time.Millisecond
	// shutdownMargin is the time between the deadline of requests in flight and SIGKILL.
	shutdownMargin = 500 * time.Millisecond
	// endMargin is the part of shutdownMargin in which the responses of requests that the
	// deadline ended are written.
	endMargin = 200 * time.Millisecond
	// leaveCheckInterval is how often a shutdown checks whether the instance's entry is
	// gone.
	leaveCheckInterval = 100 * time.Millisecond
	// relayCheckInterval is how often it checks for requests that other instances relay.
	relayCheckInterval = 10 * time.Millisecond
)

// shutDown shuts the instance down gracefully: it removes itself from its directory
// responses, still accepts callers that cached an old response, and then waits for the
// requests in flight. Those that are left at the deadline are ended, each with a
// response.
func (e *Edge) shutDown(callerServer *hitchserver.Server) {
	gracePeriod := time.Duration(e.Settings.Bounds.GraceSeconds * float64(time.Second))
	start := time.Now()
	deadline := start.Add(gracePeriod - shutdownMargin)
	e.Log.Info("shutting down", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns(), "Until", deadline)
	e.gateway.StartDraining(hitchingress.Drain{LateFrom: start.Add(lateDelay), End: deadline})
	e.acceptLateCallers(start, deadline)
	e.Log.Info("accepting no more connections", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns())
	if err := shutDownUntil(callerServer, deadline); err != nil {
		e.Log.Warn("shutdown deadline exceeded", "InFlight", e.gateway.InFlight(), "Error", err)
		e.gateway.EndRequests()
		if err := shutDownUntil(callerServer, deadline.Add(endMargin)); err != nil {
			e.logCutRequests(err)
		}
	}
	e.awaitRelayed(deadline)
	if err := callerServer.Close(); err != nil {
		e.Log.Warn("failed to close connections", "Error", err)
	}
	e.Log.Info("stopped", "InFlight", e.gateway.InFlight())
}

// awaitRelayed waits for the requests in flight that other instances relay, which are on none of
// the callers' connections, and ends those that are left at the deadline.
func (e *Edge) awaitRelayed(deadline time.Time) {
	for e.gateway.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(relayCheckInterval)
	}
	if e.gateway.InFlight() > 0 {
		e.gateway.EndRequests()
		time.Sleep(endMargin)
	}
}

// acceptLateCallers waits until callers have left.
func (e *Edge) acceptLateCallers(start, deadline time.Time) {
	until := acceptUntil(start, start, deadline, true)
	for now := start; now.Before(until); now = time.Now() {
		time.Sleep(min(leaveCheckInterval, until.Sub(now)))
		until = acceptUntil(time.Now(), until, deadline, e.isListed())
	}
}

// isListed reports whether other instances' directories may name this one: its entry is
// in the store, the hubs haven't learned of its removal yet, or it is kept for a grace
// period, as it may only have expired in an outage of the store.
func (e *Edge) isListed() bool {
	isSelf := func(i hitchfleet.Instance) bool { return i.ID == e.Settings.Self.ID }
	return !e.registration.HasLeft() || slices.ContainsFunc(e.gateway.View().Instances(), isSelf)
}

// acceptUntil returns until when callers are accepted, given until when they were so far:
// while other instances' directories may name this one, and for drainDelay after that.
//
// Load pattern: planned stops during an outage of the store, which keeps the entry.
func acceptUntil(now, until, deadline time.Time, isListed bool) time.Time {
	if !isListed {
		return until
	}
	if next := now.Add(drainDelay); next.Before(deadline) {
		return next
	}
	return deadline
}

// shutDownUntil shuts a server down gracefully, or returns an error at the deadline.
func shutDownUntil(server *hitchserver.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return server.Shutdown(ctx)
}

// logCutRequests logs the requests whose caller doesn't read the end of the response.
func (e *Edge) logCutRequests(err error) {
	now := time.Now()
	e.Log.Warn("connections left at the end", "Error", err)
	for _, r := range e.gateway.RequestsInFlight() {
		e.Log.Warn("request cut off by the shutdown", "ID", r.ID, "Took", now.Sub(r.ReceivedAt))
	}
}
