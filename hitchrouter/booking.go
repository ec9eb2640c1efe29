package hitchrouter

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchburn"
	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// booking is one presentation of a key for a call that isn't idempotent.
type booking struct {
	Text         string
	Key          hitchclaim.Key
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	Call         hitchforward.Call
	// Hops counts the routers that forwarded the booking.
	Hops int
	// ledgers are the journals of lost homes that named a successor for the key.
	ledgers []hitchclaim.Ledger
}

// maxBookingHops bounds how often a booking is forwarded: to its home, and to the
// successors of homes that were handed over.
const maxBookingHops = 4

// present returns the booking as its home decides on it.
func (k booking) present() hitchclaim.Call {
	return hitchclaim.Call{
		Key:          k.Key,
		Organisation: k.Organisation,
		Route:        k.Route,
		Body:         hitchclaim.DigestOf([]byte(k.Call.Method), []byte(k.Call.Path), k.Call.Body),
		Deadline:     k.Call.Deadline,
	}
}

// Service serves a call of a plain service. A call that isn't idempotent runs at
// most once for its key.
func (rt *Router) Service(ctx context.Context, c ServiceCall) (_ *hitchforward.Answer, err error) {
	j := c.job()
	if c.Call.Idempotent {
		o := rt.observe(ctx, hitchburn.KindService, j)
		defer func() { o.end(ctx, err) }()
		return rt.whole(ctx, j, c.Call, o)
	}
	o := rt.observe(ctx, hitchburn.KindBooking, j)
	defer func() { o.end(ctx, err) }()
	if rt.Bookings == nil {
		return nil, hitchoutcome.RefuseUnsent(hitchoutcome.ReasonForbidden, time.Time{}, "this router takes no bookings")
	}
	k, err := rt.bookingOf(ctx, c)
	if err != nil {
		return nil, err
	}
	result := rt.book(ctx, k)
	if result.Refusal != nil {
		return nil, result.Refusal
	}
	answer := answerOf(result)
	o.answered(answer)
	return answer, nil
}

// bookingOf finds the minted key of a call.
func (rt *Router) bookingOf(ctx context.Context, c ServiceCall) (k booking, err error) {
	k = booking{Text: c.Key, Organisation: c.Organisation.ID, Route: c.Route.ID, Call: c.Call}
	switch {
	case c.Key == "":
		return k, hitchclaim.RefuseKeyless(rt.now())
	case hitchclaim.IsMinted(c.Key):
		k.Key, err = rt.Bookings.Secrets().Parse(c.Key)
	default:
		k.Text, k.Key, err = rt.bind(ctx, c)
	}
	if err == nil {
		err = k.Key.Check(c.Organisation.ID, c.Route.ID)
	}
	return k, keyRefusal(err)
}

// book decides on a booking: here if this process is the key's home, else there.
func (rt *Router) book(ctx context.Context, k booking) hitchclaim.Result {
	if h, ok := rt.Bookings.homeOf(k.Key.Home); ok {
		return rt.bookHere(ctx, h, k)
	}
	return rt.bookAt(ctx, k.Key.Home, k)
}

// bookHere carries out what the home decides until there is an answer.
func (rt *Router) bookHere(ctx context.Context, h *bookingHome, k booking) hitchclaim.Result {
	d := rt.note(h, h.home.Begin(rt.now(), k.present()))
	for {
		switch d.Action {
		case hitchclaim.ActionJournal:
			committed := rt.Bookings.commit(ctx, h, d.Record, d.Until)
			d = rt.note(h, h.home.Journaled(rt.now(), d.Run, committed))
		case hitchclaim.ActionDispatch:
			d = rt.dispatch(ctx, h, k, d)
		case hitchclaim.ActionWait:
			if !rt.awaitFirst(ctx, d) {
				return hitchclaim.Result{Refusal: d.Refusal}
			}
			d = h.home.Begin(rt.now(), k.present())
		case hitchclaim.ActionReplay:
			return d.Result
		case hitchclaim.ActionForward:
			return rt.bookAt(ctx, d.Home, k)
		default:
			return hitchclaim.Result{Refusal: d.Refusal}
		}
	}
}

// dispatch sends a booking to an endpoint. It goes on if the caller leaves, so
// that the outcome is known when the key comes again.
func (rt *Router) dispatch(ctx context.Context, h *bookingHome, k booking, d hitchclaim.Decision) hitchclaim.Decision {
	result := rt.send(context.WithoutCancel(ctx), k)
	return rt.note(h, h.home.Finish(rt.now(), d.Run, result))
}

// note journals what a decision says of its run, without waiting.
func (rt *Router) note(h *bookingHome, d hitchclaim.Decision) hitchclaim.Decision {
	if !d.Record.IsZero() && d.Action != hitchclaim.ActionJournal {
		rt.Bookings.record(h, d.Record)
	}
	return d
}

// send makes the one attempt of a booking that may reach an endpoint.
func (rt *Router) send(ctx context.Context, k booking) hitchclaim.Result {
	route, _ := rt.View().Index.Route(k.Route)
	organisation, _ := rt.View().Index.Configuration().Organisation(k.Organisation)
	call := k.Call
	call.Header = call.Header.Clone()
	// The key's ID, not its text: an endpoint needs no right to run the call.
	call.Header.Set("Idempotency-Key", k.Key.ID().String())
	c := ServiceCall{Organisation: organisation, Route: route, Call: call}
	answer, err := rt.whole(ctx, c.job(), call, nil)
	if err != nil {
		return hitchclaim.Result{Refusal: refusalOf(err)}
	}
	return resultOf(answer)
}

// awaitFirst waits for the first call with the key. It returns false once the
// caller's time is over.
func (rt *Router) awaitFirst(ctx context.Context, d hitchclaim.Decision) bool {
	timer := time.NewTimer(d.Until.Sub(rt.now()))
	defer timer.Stop()
	select {
	case <-d.Done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// MintKey returns a new key for a service route.
func (rt *Router) MintKey(organisation hitchconfig.Organisation, id hitchfleet.RouteID) (text string, deadline time.Time, err error) {
	route, ok := rt.View().Index.Route(id)
	if !ok || route.Kind != hitchconfig.ServiceRoute || !organisation.MayCall(id) || rt.Bookings == nil {
		return "", time.Time{}, noRoute()
	}
	home, ok := rt.pickHome(hitchfleet.Key(rt.holder.NewGrantID()))
	if !ok {
		return "", time.Time{}, hitchoutcome.RefuseUnsent(hitchoutcome.ReasonOverloaded, rt.now().Add(retryLater), "no router can hold a booking")
	}
	text, key, err := rt.minter(route).Mint(rt.now(), home, organisation.ID, id)
	return text, key.Deadline, err
}

func (rt *Router) minter(route hitchconfig.Route) hitchclaim.Minter {
	m := hitchclaim.Minter{Secrets: rt.Bookings.Secrets()}
	if route.Service.Journal == hitchconfig.JournalBestEffort {
		m = m.WithPolicy(hitchclaim.JournalBestEffort)
	}
	return m
}

// pickHome returns a home among the live routers whose incarnation is known.
func (rt *Router) pickHome(seed hitchfleet.Key) (hitchclaim.HomeID, bool) {
	home, ok := hitchclaim.PickHome(rt.homes(), rt.Self.Region, seed)
	if !ok {
		return hitchclaim.HomeID{}, false
	}
	return rt.homeIDs.of(home.ID)
}

// homes returns the routers that keys are minted for.
func (rt *Router) homes() []hitchfleet.Instance {
	return hitchclaim.Homes(lo.Filter(rt.View().Live, func(i hitchfleet.Instance, _ int) bool {
		_, ok := rt.homeIDs.of(i.ID)
		return ok
	}))
}

// resultOf keeps an endpoint's answer for repeats.
func resultOf(answer *hitchforward.Answer) hitchclaim.Result {
	result := hitchclaim.Result{Status: answer.Status, Body: answer.Body}
	for name, values := range answer.Header {
		for _, value := range values {
			result.Header = append(result.Header, hitchclaim.HeaderField{Name: name, Value: value})
		}
	}
	return result
}

// answerOf returns a kept answer as it first came.
func answerOf(result hitchclaim.Result) *hitchforward.Answer {
	header := make(http.Header)
	for _, field := range result.Header {
		header.Add(field.Name, field.Value)
	}
	return &hitchforward.Answer{Status: result.Status, Header: header, Body: result.Body}
}
