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

// bookMessage brings a booking to its home.
type bookMessage struct {
	_            struct{} `cbor:",toarray"`
	Text         string
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	Method       string
	Path         string
	Header       http.Header
	Body         []byte
	Deadline     time.Time
	// At is the home to ask: the key's own, or a successor of it.
	At   hitchclaim.HomeID
	Hops int
}

// bookReply is the home's answer.
type bookReply struct {
	_       struct{} `cbor:",toarray"`
	Known   bool
	Status  int
	Header  []hitchclaim.HeaderField
	Body    []byte
	Refusal *hitchoutcome.Refusal
}

// bookAt forwards a booking to a home in another process.
func (rt *Router) bookAt(ctx context.Context, home hitchclaim.HomeID, k booking) hitchclaim.Result {
	k.Hops++
	if k.Hops > maxBookingHops {
		return rt.unknownBooking("the booking was forwarded too often")
	}
	body, err := cbor.Marshal(bookMessage{
		Text: k.Text, Organisation: k.Organisation, Route: k.Route, Method: k.Call.Method, Path: k.Call.Path,
		Header: k.Call.Header, Body: k.Call.Body, Deadline: k.Call.Deadline, At: home, Hops: k.Hops,
	})
	if err != nil {
		return rt.unknownBooking("the booking can't be forwarded")
	}
	isLive := rt.isLive(home.Instance)
	callCtx, cancel := context.WithDeadline(ctx, rt.bookDeadline(k, isLive))
	defer cancel()
	answer, err := rt.Peers.call(callCtx, home.Instance, 0, KindBook, body)
	var reply bookReply
	if err == nil {
		err = cbor.Unmarshal(answer, &reply)
	}
	if err != nil {
		rt.log().Warn("home not reached", "Home", home.String(), "Live", isLive, "Error", err)
	}
	if err != nil && isLive {
		return rt.unknownBooking("the key's home gave no answer; come back with the same key")
	}
	if err != nil || !reply.Known {
		return rt.bookLost(ctx, home, k)
	}
	return hitchclaim.Result{Status: reply.Status, Header: reply.Header, Body: reply.Body, Refusal: reply.Refusal}
}

// lostHomeLimit bounds the wait for a home that the members count as lost.
const lostHomeLimit = time.Second

// maxBookingWait bounds the wait for a home where the caller sets no deadline.
const maxBookingWait = time.Minute

func (rt *Router) bookDeadline(k booking, isLive bool) time.Time {
	now := rt.now()
	if !isLive {
		return now.Add(lostHomeLimit)
	}
	if k.Call.Deadline.IsZero() {
		return now.Add(maxBookingWait)
	}
	return k.Call.Deadline
}

func (rt *Router) isLive(id hitchfleet.InstanceID) bool {
	_, ok := rt.View().Instance(id)
	return ok
}

// handleBook answers another router's booking. A home that this process never
// was, or no longer knows, is not Known.
func (rt *Router) handleBook(ctx context.Context, from hitchfleet.Instance, body []byte) (_ []byte, err error) {
	var m bookMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	h, ok := rt.Bookings.homeOf(m.At)
	if !ok {
		return cbor.Marshal(bookReply{})
	}
	key, err := rt.Bookings.Secrets().Parse(m.Text)
	if err != nil {
		return cbor.Marshal(bookReply{Known: true, Refusal: refusalOf(keyRefusal(err))})
	}
	rt.log().Debug("booking forwarded", "From", string(from.ID), "Key", key.ID().String())
	result := rt.bookHere(ctx, h, booking{
		Text: m.Text, Key: key, Organisation: m.Organisation, Route: m.Route, Hops: m.Hops,
		Call: hitchforward.Call{Method: m.Method, Path: m.Path, Header: m.Header, Body: m.Body, Deadline: m.Deadline},
	})
	return cbor.Marshal(bookReply{
		Known: true, Status: result.Status, Header: result.Header, Body: result.Body, Refusal: result.Refusal,
	})
}

// bookLost answers for a home that is gone: it is ended by a mark in its journal,
// which then tells what became of the key.
func (rt *Router) bookLost(ctx context.Context, home hitchclaim.HomeID, k booking) hitchclaim.Result {
	step := rt.fence(ctx, &hitchclaim.Fencing{Home: home})
	if !step.Done {
		return rt.unknownBooking("the key's home is gone and its journal can't be read now")
	}
	verdict := hitchclaim.Judge(rt.now(), k.Key, append(k.ledgers, step.Ledger)...)
	if verdict.Ask != (hitchclaim.HomeID{}) {
		k.ledgers = append(k.ledgers, step.Ledger)
		return rt.bookSuccessor(ctx, verdict.Ask, k)
	}
	if result, ok := verdict.Replay(); ok {
		return result
	}
	return hitchclaim.Result{Refusal: verdict.Refusal(rt.now())}
}

func (rt *Router) bookSuccessor(ctx context.Context, home hitchclaim.HomeID, k booking) hitchclaim.Result {
	if h, ok := rt.Bookings.homeOf(home); ok {
		return rt.bookHere(ctx, h, k)
	}
	return rt.bookAt(ctx, home, k)
}

func (rt *Router) unknownBooking(detail string) hitchclaim.Result {
	return hitchclaim.Result{Refusal: &hitchoutcome.Refusal{
		Reason:  hitchoutcome.ReasonHomeLost,
		Outcome: hitchoutcome.Unknown,
		Detail:  detail,
		RetryAt: rt.now().Add(retryLater),
	}}
}

// bind finds the minted key that a caller's own key is bound to.
func (rt *Router) bind(ctx context.Context, c ServiceCall) (string, hitchclaim.Key, error) {
	home, ok := rt.pickHome(hitchfleet.KeyOf(c.Key))
	if !ok {
		return "", hitchclaim.Key{}, hitchoutcome.RefuseUnsent(hitchoutcome.ReasonOverloaded, rt.now().Add(retryLater), "no router can hold a booking")
	}
	binding := hitchclaim.Binding{
		Minter: rt.minter(c.Route), Budget: &rt.bindings, Home: home, CallerKey: c.Key,
		IsFirst: c.Call.Header.Get(FirstHeader) == "true",
	}
	step := binding.Start(rt.now(), c.Organisation.ID, c.Route.ID)
	for !step.Done && len(step.Commands) > 0 {
		step = binding.Stored(rt.now(), rt.Bookings.Store.Do(ctx, step.Commands[0]))
	}
	if step.Refusal != nil {
		return "", hitchclaim.Key{}, &KeyRefusal{Refusal: step.Refusal, BookingKey: step.Text}
	}
	return step.Text, step.Key, nil
}

// FirstHeader is set to true by a caller that never sent its own key before.
const FirstHeader = "X-First-Attempt"

// KeyRefusal is a refusal that hands the caller a minted key to use instead.
type KeyRefusal struct {
	Refusal    *hitchoutcome.Refusal
	BookingKey string
}

// Error returns the refusal's line.
func (r *KeyRefusal) Error() string { return r.Refusal.Error() }

// Unwrap returns the refusal.
func (r *KeyRefusal) Unwrap() error { return r.Refusal }
