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

// booking is a non-idempotent call with its booking key. The home router that the
// key names runs the call at most once, however often the booking is sent.
type booking struct {
	KeyText      string
	Key          hitchclaim.Key
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	Call         hitchforward.Call
	// Hops counts how often the booking was forwarded between routers.
	Hops int
	// journals are those of the lost homes that have handed the key over to a
	// successor.
	journals []hitchclaim.JournalSnapshot
}

// maxBookingHops is the maximum number of times a booking is forwarded: to its home,
// and to the successors of homes that handed their keys over.
const maxBookingHops = 4

// claimCall returns the booking in the form that the home's decisions use.
func (bk booking) claimCall() hitchclaim.Call {
	return hitchclaim.Call{
		Key:           bk.Key,
		Organisation:  bk.Organisation,
		Route:         bk.Route,
		RequestDigest: hitchclaim.DigestOf([]byte(bk.Call.Method), []byte(bk.Call.Path), bk.Call.Body),
		Deadline:      bk.Call.Deadline,
	}
}

// CallService serves a call to a plain service. A non-idempotent call runs at most once
// per booking key.
func (rt *Router) CallService(ctx context.Context, c ServiceCall) (_ *hitchforward.Response, err error) {
	req := c.proxyRequest()
	if c.Call.Idempotent {
		o := rt.newObservation(ctx, hitchburn.KindService, req)
		defer func() { o.finish(ctx, err) }()
		return rt.serveUnary(ctx, req, c.Call, o)
	}
	o := rt.newObservation(ctx, hitchburn.KindBooking, req)
	defer func() { o.finish(ctx, err) }()
	if rt.Bookings == nil {
		return nil, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonForbidden, time.Time{}, "this router takes no bookings")
	}
	bk, err := rt.newBooking(ctx, c)
	if err != nil {
		return nil, err
	}
	result := rt.runBooking(ctx, bk)
	if result.Refusal != nil {
		return nil, result.Refusal
	}
	response := responseFromResult(result)
	o.recordResponse(response)
	return response, nil
}

// newBooking returns the booking of a call. If the caller sent a key that it made up
// itself, the booking gets the minted key that this key is bound to.
func (rt *Router) newBooking(ctx context.Context, c ServiceCall) (bk booking, err error) {
	bk = booking{KeyText: c.Key, Organisation: c.Organisation.ID, Route: c.Route.ID, Call: c.Call}
	switch {
	case c.Key == "":
		return bk, hitchclaim.RefuseMissingKey(rt.now())
	case hitchclaim.IsMinted(c.Key):
		bk.Key, err = rt.Bookings.Secrets().Parse(c.Key)
	default:
		bk.KeyText, bk.Key, err = rt.bindCallerKey(ctx, c)
	}
	if err == nil {
		err = bk.Key.CheckScope(c.Organisation.ID, c.Route.ID)
	}
	return bk, keyRefusal(err)
}

// runBooking runs a booking in this process if it is the key's home; otherwise it
// forwards the booking to the home.
func (rt *Router) runBooking(ctx context.Context, bk booking) hitchclaim.Result {
	if h, ok := rt.Bookings.localHome(bk.Key.Home); ok {
		return rt.runBookingLocally(ctx, h, bk)
	}
	return rt.forwardBooking(ctx, bk.Key.Home, bk)
}

// runBookingLocally performs the actions that the home decides on, until one of them
// gives the result.
func (rt *Router) runBookingLocally(ctx context.Context, h *bookingHome, bk booking) hitchclaim.Result {
	d := rt.journalOutcome(h, h.home.BeginCall(rt.now(), bk.claimCall()))
	for {
		switch d.Action {
		case hitchclaim.ActionJournal:
			committed := rt.Bookings.commitRecord(ctx, h, d.Record, d.Deadline)
			d = rt.journalOutcome(h, h.home.AuthorizeDispatch(rt.now(), d.Run, committed))
		case hitchclaim.ActionDispatch:
			d = rt.dispatchBooking(ctx, h, bk, d)
		case hitchclaim.ActionWait:
			if !rt.awaitFirstRun(ctx, d) {
				return hitchclaim.Result{Refusal: d.Refusal}
			}
			d = h.home.BeginCall(rt.now(), bk.claimCall())
		case hitchclaim.ActionReplay:
			return d.Result
		case hitchclaim.ActionForward:
			return rt.forwardBooking(ctx, d.Home, bk)
		default:
			return hitchclaim.Result{Refusal: d.Refusal}
		}
	}
}

// dispatchBooking sends a booking to an endpoint. It continues if the caller
// disconnects, so that the outcome is known when the caller retries with the key.
func (rt *Router) dispatchBooking(ctx context.Context, h *bookingHome, bk booking, d hitchclaim.Decision) hitchclaim.Decision {
	result := rt.sendBooking(context.WithoutCancel(ctx), bk)
	return rt.journalOutcome(h, h.home.FinishRun(rt.now(), d.Run, result))
}

// journalOutcome journals the record of a decision, if any, without waiting for the
// commit. Records of ActionJournal are left to the caller, which has to wait.
func (rt *Router) journalOutcome(h *bookingHome, d hitchclaim.Decision) hitchclaim.Decision {
	if !d.Record.IsZero() && d.Action != hitchclaim.ActionJournal {
		rt.Bookings.recordAsync(h, d.Record)
	}
	return d
}

// sendBooking sends a booking to an endpoint of its route. A failed attempt is retried
// only if it is known not to have run there.
func (rt *Router) sendBooking(ctx context.Context, bk booking) hitchclaim.Result {
	route, _ := rt.View().Index.Route(bk.Route)
	organisation, _ := rt.View().Index.Configuration().Organisation(bk.Organisation)
	call := bk.Call
	call.Header = call.Header.Clone()
	// The endpoint gets the key's ID instead of its text, as the text would allow it
	// to run the call itself.
	call.Header.Set("Idempotency-Key", bk.Key.ID().String())
	c := ServiceCall{Organisation: organisation, Route: route, Call: call}
	response, err := rt.serveUnary(ctx, c.proxyRequest(), call, nil)
	if err != nil {
		return hitchclaim.Result{Refusal: refusalOf(err)}
	}
	return resultFromResponse(response)
}

// awaitFirstRun waits until the first call with the key has ended. It returns false
// if the caller's deadline passes or the caller disconnects before that.
func (rt *Router) awaitFirstRun(ctx context.Context, d hitchclaim.Decision) bool {
	timer := time.NewTimer(d.Deadline.Sub(rt.now()))
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

// MintKey returns a new booking key for a service route.
func (rt *Router) MintKey(organisation hitchconfig.Organisation, id hitchfleet.RouteID) (text string, deadline time.Time, err error) {
	route, ok := rt.View().Index.Route(id)
	if !ok || route.Kind != hitchconfig.ServiceRoute || !organisation.MayCall(id) || rt.Bookings == nil {
		return "", time.Time{}, noRouteRefusal()
	}
	home, ok := rt.pickHome(hitchfleet.Key(rt.heldSlots.NewGrantID()))
	if !ok {
		return "", time.Time{}, hitchoutcome.RefuseNotRun(hitchoutcome.ReasonOverloaded, rt.now().Add(defaultRetryDelay), "no router can hold a booking")
	}
	text, key, err := rt.keyMinter(route).Mint(rt.now(), home, organisation.ID, id)
	return text, key.Deadline, err
}

func (rt *Router) keyMinter(route hitchconfig.Route) hitchclaim.Minter {
	m := hitchclaim.Minter{Secrets: rt.Bookings.Secrets()}
	if route.Service.Journal == hitchconfig.JournalBestEffort {
		m = m.WithPolicy(hitchclaim.JournalBestEffort)
	}
	return m
}

// pickHome returns the home that a seed selects among the live routers whose
// incarnation is known.
func (rt *Router) pickHome(seed hitchfleet.Key) (hitchclaim.HomeID, bool) {
	home, ok := hitchclaim.PickHome(rt.homes(), rt.Self.Region, seed)
	if !ok {
		return hitchclaim.HomeID{}, false
	}
	return rt.homeIDs.get(home.ID)
}

// homes returns the live routers that booking keys are minted for. A router whose
// incarnation isn't known yet is left out.
func (rt *Router) homes() []hitchfleet.Instance {
	return hitchclaim.Homes(lo.Filter(rt.View().LiveRouters, func(i hitchfleet.Instance, _ int) bool {
		_, ok := rt.homeIDs.get(i.ID)
		return ok
	}))
}

// resultFromResponse converts an endpoint's response to the result that the home
// stores for retries of the key.
func resultFromResponse(response *hitchforward.Response) hitchclaim.Result {
	result := hitchclaim.Result{Status: response.Status, Body: response.Body}
	for name, values := range response.Header {
		for _, value := range values {
			result.Header = append(result.Header, hitchclaim.HeaderField{Name: name, Value: value})
		}
	}
	return result
}

// responseFromResult restores the endpoint's response from a stored result.
func responseFromResult(result hitchclaim.Result) *hitchforward.Response {
	header := make(http.Header)
	for _, field := range result.Header {
		header.Add(field.Name, field.Value)
	}
	return &hitchforward.Response{Status: result.Status, Header: header, Body: result.Body}
}
