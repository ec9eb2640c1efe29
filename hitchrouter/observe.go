package hitchrouter

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// Observer is told what became of requests. As with net/http/httptrace, the context
// of a request carries it.
//
//	observer := &hitchrouter.Observer{Observe: recorder.Record}
//	err := router.Stream(hitchrouter.WithObserver(ctx, observer), chat, stream)
type Observer struct {
	// Observe is called once for each request, at its end. It must not block.
	Observe func(now time.Time, e hitchburn.Event)
}

// observerKey is the key of an Observer in a context.
type observerKey struct{}

// WithObserver returns a context whose requests are observed.
func WithObserver(ctx context.Context, o *Observer) context.Context {
	return context.WithValue(ctx, observerKey{}, o)
}

// observation follows one request up to its Event. A nil one follows nothing.
type observation struct {
	observer *Observer
	now      func() time.Time
	event    hitchburn.Event
	// failed is set once an attempt failed.
	failed bool
}

// observe begins an observation, if anybody observes.
func (rt *Router) observe(ctx context.Context, kind hitchburn.RequestKind, j *job) *observation {
	observer, ok := ctx.Value(observerKey{}).(*Observer)
	if !ok || observer.Observe == nil {
		return nil
	}
	return &observation{observer: observer, now: rt.now, event: hitchburn.Event{
		Kind: kind, Route: j.route.ID, Organisation: j.organisation, Zone: rt.Self.Zone,
		Request: ulid.Make().String(), Chat: j.key, Batch: j.batch, Start: rt.now(),
	}}
}

// follow makes a stream tell the observation of its events.
func (o *observation) follow(out *hitchforward.Stream) {
	if o == nil {
		return
	}
	head, deliver, other := out.Head, out.Deliver, out.Other
	out.Head = func(header http.Header) {
		o.event.Attempt = header.Get(hitchforward.AttemptHeader)
		if head != nil {
			head(header)
		}
	}
	out.Deliver = func(event hitchforward.Event) error {
		err := deliver(event)
		if err == nil {
			o.token(event, o.now())
		}
		return err
	}
	if other != nil {
		out.Other = func(answer *hitchforward.Answer) {
			o.answered(answer)
			other(answer)
		}
	}
}

// token notes an event that the caller was handed.
func (o *observation) token(event hitchforward.Event, now time.Time) {
	o.event.Status = http.StatusOK
	if event.Done() {
		return
	}
	if o.event.FirstToken.IsZero() {
		o.event.FirstToken = now
	}
	o.event.LastToken = now
	o.event.Tokens++
}

// answered notes an answer that came whole.
func (o *observation) answered(answer *hitchforward.Answer) {
	if o == nil || answer == nil {
		return
	}
	o.event.Status = answer.Status
	o.event.Attempt = answer.Attempt
}

// attempted notes where an attempt went and how it failed, if it did. A stream
// that goes on at another endpoint has its header already, so that the name of the
// attempt that succeeds isn't known.
func (o *observation) attempted(to hitchfleet.Endpoint, err error) {
	if o == nil {
		return
	}
	o.event.Endpoint, o.event.Zone = to.ID, to.Zone
	o.event.CallerGone = false
	if err == nil && o.failed {
		o.event.Attempt = ""
	}
	var failure *hitchforward.Failure
	if errors.As(err, &failure) {
		o.failed = true
		o.event.Attempt = failure.Attempt
		o.event.CallerGone = failure.Kind == hitchforward.FailureCallerGone
	}
}

// end passes the event on.
func (o *observation) end(ctx context.Context, err error) {
	if o == nil {
		return
	}
	now := o.now()
	o.event.End = now
	o.event.Outcome = hitchoutcome.Ran
	if err != nil {
		refusal := refusalOf(err)
		o.event.Reason, o.event.Outcome, o.event.Status = refusal.Reason, refusal.Outcome, 0
		o.event.CallerGone = o.event.CallerGone || errors.Is(ctx.Err(), context.Canceled)
	}
	o.observer.Observe(now, o.event)
}
