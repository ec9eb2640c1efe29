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

// Observer receives the outcome of each request. As with net/http/httptrace, the
// context of a request carries it.
//
//	observer := &hitchrouter.Observer{Observe: recorder.Record}
//	err := router.StreamChat(hitchrouter.WithObserver(ctx, observer), chat, stream)
type Observer struct {
	// Observe is called once per request, when the request ends. It must not block.
	Observe func(now time.Time, e hitchburn.Event)
}

// observerKey is the context key of an Observer.
type observerKey struct{}

// WithObserver returns a context whose requests are reported to the observer.
func WithObserver(ctx context.Context, o *Observer) context.Context {
	return context.WithValue(ctx, observerKey{}, o)
}

// observation collects the Event of one request. The methods do nothing on a nil
// observation.
type observation struct {
	observer *Observer
	now      func() time.Time
	event    hitchburn.Event
	// hasFailedAttempt is set once an attempt has failed.
	hasFailedAttempt bool
}

// newObservation starts the observation of a request. It returns nil if the context
// has no observer.
func (rt *Router) newObservation(ctx context.Context, kind hitchburn.RequestKind, req *proxyRequest) *observation {
	observer, ok := ctx.Value(observerKey{}).(*Observer)
	if !ok || observer.Observe == nil {
		return nil
	}
	return &observation{observer: observer, now: rt.now, event: hitchburn.Event{
		Kind: kind, Route: req.route.ID, Organisation: req.organisation, Zone: rt.Self.Zone,
		Request: ulid.Make().String(), Chat: req.key, Batch: req.isBatch, Start: rt.now(),
	}}
}

// wrapStream wraps the callbacks of a stream so that they also update the
// observation.
func (o *observation) wrapStream(stream *hitchforward.Stream) {
	if o == nil {
		return
	}
	onHeader, deliver, onResponse := stream.OnHeader, stream.Deliver, stream.OnResponse
	stream.OnHeader = func(header http.Header) {
		o.event.Attempt = header.Get(hitchforward.AttemptHeader)
		if onHeader != nil {
			onHeader(header)
		}
	}
	stream.Deliver = func(event hitchforward.Event) error {
		err := deliver(event)
		if err == nil {
			o.recordEvent(event, o.now())
		}
		return err
	}
	if onResponse != nil {
		stream.OnResponse = func(response *hitchforward.Response) {
			o.recordResponse(response)
			onResponse(response)
		}
	}
}

// recordEvent records a stream event that was delivered to the caller.
func (o *observation) recordEvent(event hitchforward.Event, now time.Time) {
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

// recordResponse records a complete, non-streamed response.
func (o *observation) recordResponse(response *hitchforward.Response) {
	if o == nil || response == nil {
		return
	}
	o.event.Status = response.Status
	o.event.Attempt = response.Attempt
}

// recordAttempt records the endpoint of an attempt and its failure, if any. A stream
// that is resumed at another endpoint has already received its header, so the ID of
// the attempt that succeeds isn't known.
func (o *observation) recordAttempt(to hitchfleet.Endpoint, err error) {
	if o == nil {
		return
	}
	o.event.Endpoint, o.event.Zone = to.ID, to.Zone
	o.event.CallerDisconnected = false
	if err == nil && o.hasFailedAttempt {
		o.event.Attempt = ""
	}
	var failure *hitchforward.Failure
	if errors.As(err, &failure) {
		o.hasFailedAttempt = true
		o.event.Attempt = failure.Attempt
		o.event.CallerDisconnected = failure.Kind == hitchforward.FailureCallerGone
	}
}

// finish completes the event and reports it to the observer.
func (o *observation) finish(ctx context.Context, err error) {
	if o == nil {
		return
	}
	now := o.now()
	o.event.End = now
	o.event.Outcome = hitchoutcome.Ran
	if err != nil {
		refusal := refusalOf(err)
		o.event.Reason, o.event.Outcome, o.event.Status = refusal.Reason, refusal.Outcome, 0
		o.event.CallerDisconnected = o.event.CallerDisconnected || errors.Is(ctx.Err(), context.Canceled)
	}
	o.observer.Observe(now, o.event)
}
