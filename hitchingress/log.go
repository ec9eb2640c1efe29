package hitchingress

import (
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchretry"
)

// logEntry collects the values that are logged when a request has finished.
type logEntry struct {
	tableVersion int64 // configuration version
	viewRevision hitchfleet.Revision
	attempts     int
	lastPick     hitchbalance.Pick
	firstEventAt time.Time
	// prefillWaitFrom and prefillWaitUntil bound the time in which the request waited
	// for an engine that prefilled its prompt for another request.
	prefillWaitFrom, prefillWaitUntil time.Time
	// end is how the request ended, such as Answered or Aborted.
	end    string
	status int
	err    error
}

// setFirstEventTime records when the first event was sent to the caller.
func (e *logEntry) setFirstEventTime(now time.Time) { e.firstEventAt = now }

// setEnd records how the request ended.
func (e *logEntry) setEnd(end string, status int, err error) {
	e.end, e.status, e.err = end, status, err
}

// logFailedAttempt logs and counts a failed attempt, with the decision that follows.
func (g *Gateway) logFailedAttempt(req *proxyRequest, a *attempt, result attemptResult, decision hitchretry.Decision) {
	g.Metrics.countFailedAttempt(result)
	pick := a.pick
	g.Log.Info("attempt failed", "ID", req.ID, "Route", req.route.Name, "Attempt", req.logEntry.attempts,
		"Endpoint", pick.Endpoint.ID, "Relay", pick.Relay, "Addr", pick.Endpoint.Addr, "Why", pick.Reason, "Tier", pick.Tier, "Load", pick.Load, "Mean", pick.MeanLoad,
		"Unread", pick.UncachedTokens, "Usual", req.serviceState.firstByteLatency.Mean(), "Result", result.balancerResult, "Outcome", result.outcome, "Events", req.stream.eventCount, "Answered", a.hasAnswered,
		"Parts", partList(req.Prompt.Shared()), "Digest", req.identityText(), "Origin", req.origin.source, "Version", req.origin.Version, "LastVersion", pick.Endpoint.Version, "ResponseID", a.head.RequestID, "NotRun", a.head.DidNotRun, "Kept", a.isKept, "Error", result.err, "Decision", decision)
}

// partList returns the IDs of parts as they are logged.
func partList(parts []hitchfleet.PartID) string {
	texts := make([]string, len(parts))
	for i, id := range parts {
		texts[i] = id.String()
	}
	return strings.Join(texts, ",")
}

// logHealthChanges logs each endpoint or zone that was ejected after failures or is
// used again.
func (g *Gateway) logHealthChanges() {
	for _, change := range g.Balancer.TakeHealthChanges() {
		subject := "endpoint"
		if change.Endpoint == "" {
			subject = "zone"
		}
		now := time.Now()
		if change.EjectedUntil.IsZero() {
			g.Log.Info(subject+" is used again", "Endpoint", change.Endpoint, "Zone", change.Zone)
			continue
		}
		if change.BadShare > 0 {
			g.Log.Warn("endpoint passed over, as its responses fail more often than others'", "Endpoint", change.Endpoint, "Zone", change.Zone, "BadShare", change.BadShare, "Failures", change.Failures, "For", change.EjectedUntil.Sub(now))
			continue
		}
		g.Log.Warn(subject+" ejected after failures", "Endpoint", change.Endpoint, "Zone", change.Zone, "Failures", change.Failures,
			"For", change.EjectedUntil.Sub(now), "LastAnswer", age(now, change.LastResponseAt))
	}
}

// logFinished logs and counts a finished request.
func (g *Gateway) logFinished(req *proxyRequest) {
	now := time.Now()
	g.Metrics.countRequest(req, now)
	name := ""
	if req.route != nil {
		name = req.route.Name
	}
	timeToFirstEvent := time.Duration(0)
	if !req.logEntry.firstEventAt.IsZero() {
		timeToFirstEvent = req.logEntry.firstEventAt.Sub(req.receivedAt)
	}
	g.Log.Info("request", "ID", req.ID, "Route", name, "Organisation", req.organisation,
		"Table", req.logEntry.tableVersion, "Revision", req.logEntry.viewRevision, "Attempts", req.logEntry.attempts, "Endpoint", req.logEntry.lastPick.Endpoint.ID,
		"Why", req.logEntry.lastPick.Reason, "Tier", req.logEntry.lastPick.Tier, "Source", req.logEntry.lastPick.CacheSource.ID, "Unread", req.logEntry.lastPick.UncachedTokens, "Load", req.logEntry.lastPick.Load, "Mean", req.logEntry.lastPick.MeanLoad,
		"LoadAge", req.logEntry.loadAge(req.receivedAt), "Held", req.logEntry.prefillWaitUntil.Sub(req.logEntry.prefillWaitFrom),
		"Origin", req.origin.source, "Version", req.origin.Version, "LastVersion", req.logEntry.lastPick.Endpoint.Version,
		"End", req.logEntry.end, "Status", req.logEntry.status, "Events", req.stream.eventCount,
		"First", timeToFirstEvent, "Took", now.Sub(req.receivedAt), "Error", req.logEntry.err)
}

// loadAge returns the age of the load estimate behind the last pick, or 0 if there
// was no estimate.
func (e *logEntry) loadAge(received time.Time) time.Duration {
	return age(received, e.lastPick.LoadUpdatedAt)
}

// age returns the time from then to now, or 0 if then is the zero time.
func age(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return max(now.Sub(then), 0)
}
