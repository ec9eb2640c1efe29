package hitchingress

import (
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchretry"
)

// logEntry collects what the line of a finished request says.
type logEntry struct {
	table    int64 // version of the configuration
	revision int64 // of the view
	picks    int
	last     hitchbalance.Pick
	first    time.Time // of the first event
	// heldFrom and heldUntil are when the request waited while its prompt was read
	// for another one.
	heldFrom, heldUntil time.Time
	end                 string
	status              int
	err                 error
}

// pick notes an endpoint that the request is sent to.
func (e *logEntry) pick(p hitchbalance.Pick) {
	e.picks++
	e.last = p
}

// firstEvent notes when the caller got the first event.
func (e *logEntry) firstEvent(now time.Time) { e.first = now }

// finish notes the final answer.
func (e *logEntry) finish(end string, status int, err error) {
	e.end, e.status, e.err = end, status, err
}

// logAttempt writes the line of a decision after a failed attempt.
func (g *Gateway) logAttempt(j *job, p hitchbalance.Pick, end attemptEnd, d hitchretry.Decision) {
	g.Metrics.failed(end)
	g.Log.Info("attempt failed", "ID", j.ID, "Route", j.route.Name, "Attempt", j.entry.picks,
		"Endpoint", p.Endpoint.ID, "Addr", p.Endpoint.Addr, "Why", p.Why, "Tier", p.Tier, "Load", p.Load, "Mean", p.Mean,
		"Unread", p.Unread, "Usual", j.learnt.patience.Usual(), "Result", end.result, "Outcome", end.outcome, "Events", j.stream.events, "Error", end.err, "Decision", d)
}

// logBeliefs writes a line for each endpoint or zone that rests or is back.
func (g *Gateway) logBeliefs() {
	for _, b := range g.Balancer.Beliefs() {
		what := "endpoint"
		if b.Endpoint == "" {
			what = "zone"
		}
		now := time.Now()
		if b.RestsUntil.IsZero() {
			g.Log.Info(what+" is back", "Endpoint", b.Endpoint, "Zone", b.Zone)
			continue
		}
		g.Log.Warn(what+" rests", "Endpoint", b.Endpoint, "Zone", b.Zone, "Failures", b.Failures,
			"For", b.RestsUntil.Sub(now), "LastAnswer", age(now, b.AnsweredAt))
	}
}

// logDone writes the line of a finished request.
func (g *Gateway) logDone(j *job) {
	now := time.Now()
	g.Metrics.done(j, now)
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	firstAfter := time.Duration(0)
	if !j.entry.first.IsZero() {
		firstAfter = j.entry.first.Sub(j.received)
	}
	g.Log.Info("request", "ID", j.ID, "Route", name, "Organisation", j.organisation,
		"Table", j.entry.table, "Revision", j.entry.revision, "Attempts", j.entry.picks, "Endpoint", j.entry.last.Endpoint.ID,
		"Why", j.entry.last.Why, "Tier", j.entry.last.Tier, "Source", j.entry.last.Source.ID, "Load", j.entry.last.Load, "Mean", j.entry.last.Mean,
		"LoadAge", j.entry.loadAge(j.received), "Held", j.entry.heldUntil.Sub(j.entry.heldFrom),
		"End", j.entry.end, "Status", j.entry.status, "Events", j.stream.events,
		"First", firstAfter, "Took", now.Sub(j.received), "Error", j.entry.err)
}

// loadAge returns how old the load was that decided the last pick, or 0 if there
// was none.
func (e *logEntry) loadAge(received time.Time) time.Duration {
	return age(received, e.last.LoadAt)
}

// age returns how long ago something was, or 0 if it never was.
func age(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return max(now.Sub(then), 0)
}
