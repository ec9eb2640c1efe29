package hitchrouter

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// maxAttempts bounds the endpoints that one request is tried at.
const maxAttempts = 4

// firstBackoff is the mean wait before the second attempt.
const firstBackoff = 20 * time.Millisecond

// Stream serves a streamed turn of a chat.
func (rt *Router) Stream(ctx context.Context, c Chat, out *hitchforward.Stream) (err error) {
	var ev hitchoutcome.Evidence
	j := c.job()
	o := rt.observe(ctx, hitchburn.KindStream, j)
	defer func() { o.end(ctx, err) }()
	o.follow(out)
	deliver := out.Deliver
	return rt.serve(ctx, j, &ev, func(ctx context.Context, s *slot) error {
		out.Deliver = func(event hitchforward.Event) error {
			s.answered(rt.now())
			j.isVersionFixed = true
			if event.Done() {
				// Before the caller has the end, as it may return at once.
				rt.succeeded(j, s)
			}
			return deliver(event)
		}
		out.Call = j.withVersion(c.Call)
		err := rt.Forward.Stream(ctx, out, s.endpoint, &ev)
		o.attempted(s.endpoint, err)
		return err
	})
}

// Chat serves a turn of a chat whose answer comes whole.
func (rt *Router) Chat(ctx context.Context, c Chat) (_ *hitchforward.Answer, err error) {
	j := c.job()
	o := rt.observe(ctx, hitchburn.KindWhole, j)
	defer func() { o.end(ctx, err) }()
	return rt.whole(ctx, j, c.Call, o)
}

// whole serves a call whose answer comes whole.
func (rt *Router) whole(ctx context.Context, j *job, call hitchforward.Call, o *observation) (answer *hitchforward.Answer, err error) {
	var ev hitchoutcome.Evidence
	err = rt.serve(ctx, j, &ev, func(ctx context.Context, s *slot) error {
		answer, err = rt.Forward.Do(ctx, j.withVersion(call), s.endpoint, &ev)
		o.attempted(s.endpoint, err)
		return err
	})
	o.answered(answer)
	return answer, err
}

// serve finds a slot and sends the request, at another endpoint too if the
// attempt failed and the request may be repeated. An error is a
// *hitchoutcome.Refusal.
func (rt *Router) serve(ctx context.Context, j *job, ev *hitchoutcome.Evidence, send func(context.Context, *slot) error) error {
	budget := rt.budgets.of(j.route.ID)
	budget.RecordFirstAttempt(rt.now())
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	for attempt := 1; ; attempt++ {
		s, refusal := rt.acquire(ctx, j)
		if refusal != nil {
			return ev.Refuse(refusal.Reason, refusal.RetryAt, "%s", refusal.Detail)
		}
		err := send(ctx, s)
		rt.release(s)
		rt.recordAttempt(s.endpoint.ID, err)
		if err == nil {
			rt.succeeded(j, s)
			return nil
		}
		rt.log().Info("attempt failed", "Route", j.route.ID, "Chat", j.key, "Error", err)
		if !rt.mayRetry(j, ev, err) || attempt == maxAttempts || !budget.TryRetry(rt.now()) || !rt.pause(ctx, j, wait.NextBackOff()) {
			return rt.refuse(ev, err)
		}
		j.failed = append(j.failed, s.endpoint.ID)
	}
}

// recordAttempt counts an attempt for the failure ratio of its endpoint. What the
// caller or the request's deadline ended says nothing of the endpoint.
func (rt *Router) recordAttempt(endpoint hitchfleet.EndpointID, err error) {
	var failure *hitchforward.Failure
	if errors.As(err, &failure) && !failure.MayRetry() {
		return
	}
	rt.failures.Record(rt.now(), endpoint, err != nil)
}

// succeeded remembers which endpoint has the chat's prefix now.
func (rt *Router) succeeded(j *job, s *slot) {
	if j.kind == hitchfleet.KindEngine && !s.remembered {
		s.remembered = true
		rt.remember(j, s.endpoint.ID)
	}
}

// mayRetry tells whether a request may be tried again: it is idempotent, or
// nothing of it was sent.
func (rt *Router) mayRetry(j *job, ev *hitchoutcome.Evidence, err error) bool {
	var failure *hitchforward.Failure
	if !errors.As(err, &failure) || !failure.MayRetry() {
		return false
	}
	return j.idempotent || ev.Outcome() == hitchoutcome.NotRun
}

// pause waits between two attempts. It returns false if the wait would pass the
// request's deadline or the caller left: then the answer is final at once.
func (rt *Router) pause(ctx context.Context, j *job, wait time.Duration) bool {
	if !j.deadline.IsZero() && rt.now().Add(wait).After(j.deadline) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse turns a failed attempt into the final answer.
func (rt *Router) refuse(ev *hitchoutcome.Evidence, err error) *hitchoutcome.Refusal {
	retryAt := rt.now().Add(retryLater)
	var failure *hitchforward.Failure
	if errors.As(err, &failure) && failure.Kind == hitchforward.FailureTimeout {
		return ev.Refuse(hitchoutcome.ReasonTimeout, retryAt, "the request's deadline passed")
	}
	if errors.As(err, &failure) && failure.Kind == hitchforward.FailureTooLarge {
		return ev.Refuse(hitchoutcome.ReasonTooLarge, time.Time{}, "the endpoint's answer is too large")
	}
	return ev.Refuse(hitchoutcome.ReasonEndpointLost, retryAt, "no endpoint gave a whole answer")
}

// hasFailed tells whether an attempt failed at the endpoint.
func (j *job) hasFailed(id hitchfleet.EndpointID) bool {
	return slices.Contains(j.failed, id)
}
