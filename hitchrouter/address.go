package hitchrouter

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// AddressQuestion asks which routers to use.
type AddressQuestion struct {
	Organisation hitchconfig.Organisation
	Chat         string
	Zone         hitchfleet.AvailabilityZone
	// Route asks for a booking key for a service route.
	Route hitchfleet.RouteID
}

// AddressAnswer names routers, the best one first.
type AddressAnswer struct {
	Addresses       []string
	Deadline        time.Time
	BookingKey      string
	BookingDeadline time.Time
}

// Address answers which routers to use for a chat, and mints a booking key where
// it is asked for.
func (rt *Router) Address(_ context.Context, q AddressQuestion) (answer AddressAnswer, err error) {
	var buffer [4]hitchfleet.Instance
	key := ChatKey(q.Organisation.ID, q.Chat)
	a := rt.placement().routers.Answer(buffer[:0], key, "", q.Zone, rt.now())
	answer.Deadline = a.Deadline
	for _, router := range a.Routers {
		answer.Addresses = append(answer.Addresses, router.Addr)
	}
	if q.Route == "" {
		return answer, nil
	}
	answer.BookingKey, answer.BookingDeadline, err = rt.MintKey(q.Organisation, q.Route)
	return answer, err
}

// Leaving returns the addresses of other routers once this one is leaving.
func (rt *Router) Leaving() (successors []string, leaving bool) {
	if !rt.leaving.Load() {
		return nil, false
	}
	for _, i := range rt.View().Live {
		if i.ID != rt.Self.ID && !i.Leaving {
			successors = append(successors, i.Addr)
		}
	}
	return successors, true
}
