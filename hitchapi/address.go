package hitchapi

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrouter"
)

// addressInput is the question which address to use.
type addressInput struct {
	Authorization string `header:"Authorization" doc:"Bearer and the API key"`
	Chat          string `query:"chat" maxLength:"200" doc:"the chat that returns"`
	Zone          string `query:"zone" maxLength:"200" doc:"the caller's availability zone"`
	Route         string `query:"route" maxLength:"200" doc:"a service route, to get a booking key for it"`
}

// addressOutput is the answer.
type addressOutput struct {
	Body AddressAnswer
}

// AddressAnswer tells a caller which routers to use, the best one first.
type AddressAnswer struct {
	Addresses []string `doc:"host:port of routers, the best one first"`
	// Deadline is when to ask again.
	Deadline time.Time `doc:"when to ask again"`
	// BookingKey is for one call that isn't idempotent.
	BookingKey string `json:",omitempty" doc:"the Idempotency-Key of one call that isn't idempotent"`
	// BookingDeadline is when the key ends.
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
	organisation, err := a.Router.Authenticate(bearer(in.Authorization))
	if err != nil {
		return nil, ProblemOf(err)
	}
	answer, err := a.Router.Addresses(ctx, hitchrouter.AddressRequest{
		Organisation: organisation,
		Chat:         in.Chat,
		Zone:         hitchfleet.AvailabilityZone(in.Zone),
		Route:        hitchfleet.RouteID(in.Route),
	})
	if err != nil {
		return nil, ProblemOf(err)
	}
	out := &addressOutput{Body: AddressAnswer{Addresses: answer.Addresses, Deadline: answer.Deadline.UTC(), BookingKey: answer.BookingKey}}
	if answer.BookingKey != "" {
		at := answer.BookingDeadline.UTC()
		out.Body.BookingDeadline = &at
	}
	return out, nil
}
