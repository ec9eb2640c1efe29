package hitchingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchbalance"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchretry"
	"citronhitch.example/citronhitch/hitchroute"
)

// Times of a request.
const (
	// defaultTimeout bounds a request whose caller and route say nothing.
	defaultTimeout = 30 * time.Second
	// comeBack is the mean time after which a refused caller may come back.
	comeBack = 300 * time.Millisecond
	// longestHold bounds how long a request waits while its prompt is read for
	// another one, and holdShare the part of its time, as a divisor.
	longestHold = 2 * time.Second
	holdShare   = 3
	// slackShare is the part of the objective, as a divisor, that a prompt waits
	// longer for an engine that caches it than it would elsewhere.
	slackShare = 4
	// maxAnswerBytes bounds an answer that isn't streamed.
	maxAnswerBytes = 16 << 20
	// defaultBodyBytes bounds a body before a configuration is known.
	defaultBodyBytes = 4 << 20
)

// job is one request on its way.
type job struct {
	Request
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	route   *hitchroute.Route
	service hitchfleet.ServiceID
	learnt  *service
	// organisation is empty on public routes.
	organisation hitchfleet.OrganisationID
	received     time.Time
	// until is when the request must have its final answer.
	until    time.Time
	retry    hitchretry.Request
	evidence hitchoutcome.Evidence
	tried    []hitchfleet.EndpointID
	// lostZones are the zones that the request found no way to.
	lostZones []hitchfleet.AvailabilityZone
	stream    stream
	entry     logEntry
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	now := time.Now()
	j := &job{Request: g.Protocol.Decode(r, now), w: w, r: r, received: now}
	defer g.logDone(j)
	if refusal := g.admit(j); refusal != nil {
		g.refuse(j, refusal)
		return
	}
	g.serve(r.Context(), j)
	if j.stream.aborted {
		panic(http.ErrAbortHandler)
	}
}

// admit finds the request's route and organisation and reads its body.
func (g *Gateway) admit(j *job) *hitchoutcome.Refusal {
	v := g.View()
	if v.Table == nil {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonStale, spread(time.Now(), comeBack), "no configuration is known yet")
	}
	j.entry.table, j.entry.revision = v.Table.Version(), v.Revision
	route, ok := v.Table.Route(j.r.Host, path(j.r.RequestURI))
	if !ok {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonNoRoute, time.Time{}, "no route")
	}
	j.route = route
	if refusal := j.authenticate(v.Table); refusal != nil {
		return refusal
	}
	limit := int64(v.Table.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	if err != nil {
		return refuseBody(err)
	}
	j.body = body
	j.service, ok = route.Service(draw(j.Prompt))
	if !ok {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonNoEndpoint, spread(time.Now(), comeBack), "the route has no service")
	}
	j.schedule()
	return nil
}

// authenticate finds the organisation of the request's key.
func (j *job) authenticate(t *hitchroute.Table) *hitchoutcome.Refusal {
	if !t.NeedsKey(j.route) {
		return nil
	}
	o, ok := t.Organisation(j.Key)
	if !ok {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonUnauthenticated, time.Time{}, "the API key isn't known")
	}
	j.organisation = o.ID
	return nil
}

// schedule sets the request's deadlines.
func (j *job) schedule() {
	j.until = j.received.Add(defaultTimeout)
	if j.route.TimeoutMilliseconds > 0 {
		j.until = j.received.Add(time.Duration(j.route.TimeoutMilliseconds) * time.Millisecond)
	}
	if !j.Deadline.IsZero() && j.Deadline.Before(j.until) {
		j.until = j.Deadline
	}
	j.retry = hitchretry.Request{
		MayRepeat:   j.route.MayRepeat(),
		MaxAttempts: j.route.MaxAttempts,
		Deadline:    j.until,
	}
	j.stream.last = j.LastEvent
}

func refuseBody(err error) *hitchoutcome.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonTooLarge, time.Time{}, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return hitchoutcome.RefuseUnsent(hitchoutcome.ReasonBadRequest, time.Time{}, "the body can't be read")
}

// serve makes attempts until the request has its final answer.
func (g *Gateway) serve(ctx context.Context, j *job) {
	ctx, cancel := context.WithDeadline(ctx, j.until)
	defer cancel()
	j.learnt = g.service(j.service)
	j.learnt.budget.RecordFirstAttempt(j.received)
	for {
		pick, refusal := g.Balancer.Pick(time.Now(), hitchbalance.Request{
			Service: j.service, Prompt: j.Prompt, Zone: g.Self.Zone, Tried: j.tried,
			SlackTokens: j.slackTokens(),
			MayRepeat:   j.retry.MayRepeat, LostZones: j.lostZones,
		})
		if refusal != hitchbalance.NotRefused {
			g.noEndpoint(j, refusal)
			return
		}
		if pick.Awaits != 0 && j.entry.heldFrom.IsZero() {
			g.hold(ctx, j, pick)
			continue
		}
		j.tried = append(j.tried, pick.Endpoint.ID)
		done := g.attempt(ctx, j, pick)
		if done.isFinal {
			return
		}
		var decision hitchretry.Decision
		j.retry, decision = j.retry.After(time.Now(), done.outcome)
		if decision == hitchretry.Retry && (ctx.Err() != nil || !j.learnt.budget.TryRetry(time.Now())) {
			decision = j.retry.WithoutRetry(done.outcome)
		}
		g.logAttempt(j, pick, done, decision)
		if decision != hitchretry.Retry {
			g.finish(ctx, j, done, decision)
			return
		}
	}
}

// slackTokens returns what an engine reads in the part of the objective that a
// prompt waits for its own engine.
func (j *job) slackTokens() int {
	return j.learnt.patience.Tokens(time.Duration(j.route.ObjectiveMilliseconds) * time.Millisecond / slackShare)
}

// hold keeps a request while the engine reads its prompt for another one, so that
// the prompt isn't read twice. It goes on as soon as that is done, or fails.
func (g *Gateway) hold(ctx context.Context, j *job, pick hitchbalance.Pick) {
	now := time.Now()
	j.entry.heldFrom = now
	ctx, cancel := context.WithDeadline(ctx, now.Add(min(longestHold, j.until.Sub(now)/holdShare)))
	defer cancel()
	for ctx.Err() == nil {
		changed, isReading := g.Balancer.Await(time.Now(), pick)
		if !isReading {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	j.entry.heldUntil = time.Now()
	g.Balancer.Settle(j.entry.heldUntil, pick, hitchbalance.ResultAbandoned)
}

// noEndpoint gives the final answer where no endpoint is left to try.
func (g *Gateway) noEndpoint(j *job, refusal hitchbalance.Refusal) {
	if j.stream.begun {
		j.abort("no endpoint to go on: " + refusal.String())
		return
	}
	g.refuse(j, j.evidence.Refuse(hitchoutcome.ReasonNoEndpoint, spread(time.Now(), comeBack), "%s", refusal))
}

// finish gives the final answer after the last attempt.
func (g *Gateway) finish(ctx context.Context, j *job, done attemptEnd, decision hitchretry.Decision) {
	switch {
	case j.stream.begun:
		j.abort("the stream broke off")
	case decision == hitchretry.PassOn:
		g.deliver(j, done.answer)
	case ctx.Err() != nil || !time.Now().Before(j.until):
		g.refuse(j, j.evidence.Refuse(hitchoutcome.ReasonTimeout, spread(time.Now(), comeBack), "the request's time is over"))
	default:
		g.refuse(j, j.evidence.Refuse(hitchoutcome.ReasonEndpointLost, spread(time.Now(), comeBack), "no endpoint gave a whole answer"))
	}
}

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// deliver writes an endpoint's whole answer to the caller.
func (g *Gateway) deliver(j *job, a *answer) {
	copyHeader(j.w.Header(), a.header)
	j.w.WriteHeader(a.status)
	_, err := j.w.Write(a.body)
	j.entry.finish("Answered", a.status, err)
}

// copyHeader adds the fields of an answer that aren't of one connection.
func copyHeader(dst, src http.Header) {
	for name, values := range hitchforward.EndToEnd(src) {
		dst[name] = slices.Clone(values)
	}
}

// path returns the path of a request target, without its query.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// remaining returns what is left of the caller's time, or 0 if it doesn't say.
func (j *job) remaining(now time.Time) time.Duration {
	if j.Deadline.IsZero() {
		return 0
	}
	return max(j.Deadline.Sub(now), time.Millisecond)
}

// spread returns a time to come back about the mean wait from now, drawn anew for
// each caller so that those that were refused together don't return together.
func spread(now time.Time, mean time.Duration) time.Time {
	return now.Add(mean/2 + rand.N(mean))
}
