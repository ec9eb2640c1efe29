package hitchapi

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrouter"
)

// addressInput holds the parameters of GET /v1/address.
type addressInput struct {
	Authorization string `header:"Authorization" doc:"Bearer and the API key"`
	Chat          string `query:"chat" maxLength:"200" doc:"the chat that returns"`
	Zone          string `query:"zone" maxLength:"200" doc:"the caller's availability zone"`
	Route         string `query:"route" maxLength:"200" doc:"a service route, to get a booking key for it"`
}

// addressOutput is the response of GET /v1/address.
type addressOutput struct {
	Body AddressAnswer
}

// AddressAnswer lists the routers that a caller should use, in order of
// preference, and optionally a booking key.
type AddressAnswer struct {
	Addresses []string `doc:"host:port of routers, the best one first"`
	// Deadline is when the list expires and the caller should request a new one.
	Deadline time.Time `doc:"when to ask again"`
	// BookingKey is the idempotency key for one call that isn't idempotent. It is
	// set only if the request named a service route.
	BookingKey string `json:",omitempty" doc:"the Idempotency-Key of one call that isn't idempotent"`
	// BookingDeadline is when BookingKey expires.
	BookingDeadline *time.Time `json:",omitempty" doc:"when the booking key ends"`
}

func (a *API) registerAddress(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "address",
		Method:      http.MethodGet,
		Path:        "/v1/address",
		Summary:     "Which address to use for a chat, and a key for a booking",
	}, a.address)
}

func (a *API) address(ctx context.Context, in *addressInput) (*addressOutput, error) {
	organisation, err := a.Router.Authenticate(bearerToken(in.Authorization))
	if err != nil {
		return nil, ProblemOf(err)
	}
	addresses, err := a.Router.Addresses(ctx, hitchrouter.AddressRequest{
		Organisation: organisation,
		Chat:         in.Chat,
		Zone:         hitchfleet.AvailabilityZone(in.Zone),
		Route:        hitchfleet.RouteID(in.Route),
	})
	if err != nil {
		return nil, ProblemOf(err)
	}
	out := &addressOutput{Body: AddressAnswer{Addresses: addresses.Addresses, Deadline: addresses.Deadline.UTC(), BookingKey: addresses.BookingKey}}
	if addresses.BookingKey != "" {
		expiresAt := addresses.BookingDeadline.UTC()
		out.Body.BookingDeadline = &expiresAt
	}
	return out, nil
}
