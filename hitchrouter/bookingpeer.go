package hitchrouter

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// bookRequest forwards a booking to a home in another process.
type bookRequest struct {
	_            struct{} `cbor:",toarray"`
	KeyText      string
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	Method       string
	Path         string
	Header       http.Header
	Body         []byte
	Deadline     time.Time
	// Home is the receiving home: the one that the key names, or a successor of it.
	Home hitchclaim.HomeID
	Hops int
}

// bookResponse is the response to a bookRequest.
type bookResponse struct {
	_ struct{} `cbor:",toarray"`
	// IsHomeKnown is false if the receiver doesn't hold the home; the other fields are
	// then empty.
	IsHomeKnown bool
	Status      int
	Header      []hitchclaim.HeaderField
	Body        []byte
	Refusal     *hitchoutcome.Refusal
}

// forwardBooking forwards a booking to a home in another process. If that home is
// lost, the outcome is determined from its journal.
func (rt *Router) forwardBooking(ctx context.Context, home hitchclaim.HomeID, bk booking) hitchclaim.Result {
	bk.Hops++
	if bk.Hops > maxBookingHops {
		return rt.unknownOutcome("the booking was forwarded too often")
	}
	body, err := cbor.Marshal(bookRequest{
		KeyText: bk.KeyText, Organisation: bk.Organisation, Route: bk.Route, Method: bk.Call.Method, Path: bk.Call.Path,
		Header: bk.Call.Header, Body: bk.Call.Body, Deadline: bk.Call.Deadline, Home: home, Hops: bk.Hops,
	})
	if err != nil {
		return rt.unknownOutcome("the booking can't be forwarded")
	}
	isLive := rt.isLive(home.Instance)
	callCtx, cancel := context.WithDeadline(ctx, rt.forwardDeadline(bk, isLive))
	defer cancel()
	responseBody, err := rt.Peers.call(callCtx, home.Instance, 0, KindBook, body)
	var response bookResponse
	if err == nil {
		err = cbor.Unmarshal(responseBody, &response)
	}
	if err != nil {
		rt.log().Warn("request to the home of a booking failed", "Home", home.String(), "Live", isLive, "Error", err)
	}
	if err != nil && isLive {
		return rt.unknownOutcome("the key's home gave no answer; come back with the same key")
	}
	if err != nil || !response.IsHomeKnown {
		return rt.recoverBooking(ctx, home, bk)
	}
	return hitchclaim.Result{Status: response.Status, Header: response.Header, Body: response.Body, Refusal: response.Refusal}
}

// lostHomeTimeout limits the wait for a home whose router isn't live in the view.
const lostHomeTimeout = time.Second

// maxBookingWait limits the wait for a home if the caller sets no deadline.
const maxBookingWait = time.Minute

func (rt *Router) forwardDeadline(bk booking, isLive bool) time.Time {
	now := rt.now()
	if !isLive {
		return now.Add(lostHomeTimeout)
	}
	if bk.Call.Deadline.IsZero() {
		return now.Add(maxBookingWait)
	}
	return bk.Call.Deadline
}

func (rt *Router) isLive(id hitchfleet.InstanceID) bool {
	_, ok := rt.View().Instance(id)
	return ok
}

// handleBook serves a booking that another router forwarded. The response has
// IsHomeKnown unset if this process never was the home, or no longer keeps it.
func (rt *Router) handleBook(ctx context.Context, from hitchfleet.Instance, body []byte) (_ []byte, err error) {
	var request bookRequest
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	h, ok := rt.Bookings.localHome(request.Home)
	if !ok {
		return cbor.Marshal(bookResponse{})
	}
	key, err := rt.Bookings.Secrets().Parse(request.KeyText)
	if err != nil {
		return cbor.Marshal(bookResponse{IsHomeKnown: true, Refusal: refusalOf(keyRefusal(err))})
	}
	rt.log().Debug("received a forwarded booking", "From", string(from.ID), "Key", key.ID().String())
	result := rt.runBookingLocally(ctx, h, booking{
		KeyText: request.KeyText, Key: key, Organisation: request.Organisation, Route: request.Route, Hops: request.Hops,
		Call: hitchforward.Call{Method: request.Method, Path: request.Path, Header: request.Header, Body: request.Body, Deadline: request.Deadline},
	})
	return cbor.Marshal(bookResponse{
		IsHomeKnown: true, Status: result.Status, Header: result.Header, Body: result.Body, Refusal: result.Refusal,
	})
}

// recoverBooking determines the result of a booking whose home is lost. It fences
// the home by a mark in the home's journal, so that the home can't commit anything
// more, and then takes the outcome of the key from that journal. If the home has handed
// its keys over, the booking goes to the successor.
func (rt *Router) recoverBooking(ctx context.Context, home hitchclaim.HomeID, bk booking) hitchclaim.Result {
	step := rt.fenceHome(ctx, &hitchclaim.Fencing{Home: home})
	if !step.Done {
		return rt.unknownOutcome("the key's home is gone and its journal can't be read now")
	}
	verdict := hitchclaim.DetermineOutcome(rt.now(), bk.Key, append(bk.journals, step.Journal)...)
	if verdict.Successor != (hitchclaim.HomeID{}) {
		bk.journals = append(bk.journals, step.Journal)
		return rt.runBookingAtSuccessor(ctx, verdict.Successor, bk)
	}
	if result, ok := verdict.Replay(); ok {
		return result
	}
	return hitchclaim.Result{Refusal: verdict.Refusal(rt.now())}
}

func (rt *Router) runBookingAtSuccessor(ctx context.Context, home hitchclaim.HomeID, bk booking) hitchclaim.Result {
	if h, ok := rt.Bookings.localHome(home); ok {
		return rt.runBookingLocally(ctx, h, bk)
	}
	return rt.forwardBooking(ctx, home, bk)
}

func (rt *Router) unknownOutcome(detail string) hitchclaim.Result {
	return hitchclaim.Result{Refusal: &hitchoutcome.Refusal{
		Reason:  hitchoutcome.ReasonHomeLost,
		Outcome: hitchoutcome.Unknown,
		Detail:  detail,
		RetryAt: rt.now().Add(defaultRetryDelay),
	}}
}

// bindCallerKey returns the text of the minted key that the caller's own key is bound
// to, and the parsed key. The first use of a caller's key binds it to a new one.
func (rt *Router) bindCallerKey(ctx context.Context, c ServiceCall) (string, hitchclaim.Key, error) {
	home, ok := rt.pickHome(hitchfleet.KeyOf(c.Key))
	if !ok {
		return "", hitchclaim.Key{}, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, rt.now().Add(defaultRetryDelay), "no router can hold a booking")
	}
	binding := hitchclaim.Binding{
		Minter: rt.keyMinter(c.Route), Limiter: &rt.bindingLimiter, Home: home, CallerKey: c.Key,
		IsFirstAttempt: c.Call.Header.Get(FirstAttemptHeader) == "true",
	}
	step := binding.Start(rt.now(), c.Organisation.ID, c.Route.ID)
	for !step.Done && len(step.Commands) > 0 {
		step = binding.HandleStoreResponse(rt.now(), rt.Bookings.Store.Do(ctx, step.Commands[0]))
	}
	if step.Refusal != nil {
		return "", hitchclaim.Key{}, &KeyRefusal{Refusal: step.Refusal, BookingKey: step.Text}
	}
	return step.Text, step.Key, nil
}

// FirstAttemptHeader is the request header that a caller sets to true if it sends
// its own key for the first time.
const FirstAttemptHeader = "X-First-Attempt"

// KeyRefusal is a refusal of the caller's own key, with a minted key that the caller
// may use instead.
type KeyRefusal struct {
	Refusal    *hitchoutcome.Refusal
	BookingKey string
}

// Error returns the message of the refusal.
func (r *KeyRefusal) Error() string { return r.Refusal.Error() }

// Unwrap returns the refusal.
func (r *KeyRefusal) Unwrap() error { return r.Refusal }
