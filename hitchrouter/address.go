package hitchrouter

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// AddressRequest is a request for the routers that a chat should use.
type AddressRequest struct {
	Organisation hitchconfig.Organisation
	Chat         string
	Zone         hitchfleet.AvailabilityZone
	// Route is a service route to mint a booking key for, or empty.
	Route hitchfleet.RouteID
}

// AddressResponse lists routers, the best one first, and when the list expires. It
// has a booking key if the request named a route.
type AddressResponse struct {
	Addresses       []string
	Deadline        time.Time
	BookingKey      string
	BookingDeadline time.Time
}

// Addresses returns the routers to use for a chat, and mints a booking key if the
// request names a service route.
func (rt *Router) Addresses(_ context.Context, request AddressRequest) (response AddressResponse, err error) {
	var buffer [4]hitchfleet.Instance
	chatKey := ChatKey(request.Organisation.ID, request.Chat)
	list := rt.placement().routers.Addresses(buffer[:0], chatKey, "", request.Zone, rt.now())
	response.Deadline = list.ExpiresAt
	for _, router := range list.Routers {
		response.Addresses = append(response.Addresses, router.Addr)
	}
	if request.Route == "" {
		return response, nil
	}
	response.BookingKey, response.BookingDeadline, err = rt.MintKey(request.Organisation, request.Route)
	return response, err
}

// Successors reports whether this router is draining, and if so returns the addresses
// of the live routers that callers should use instead.
func (rt *Router) Successors() (successors []string, isDraining bool) {
	if !rt.isDraining.Load() {
		return nil, false
	}
	for _, i := range rt.View().LiveRouters {
		if i.ID != rt.Self.ID && !i.Leaving {
			successors = append(successors, i.Addr)
		}
	}
	return successors, true
}
