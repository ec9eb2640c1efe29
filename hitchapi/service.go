package hitchapi

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchoutcome"
	"citronhitch.example/citronhitch/hitchrouter"
)

// serveService forwards a call to a plain service.
func (a *API) serveService(w http.ResponseWriter, r *http.Request) {
	call, err := a.parseServiceCall(w, r)
	if err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	response, err := a.Router.CallService(r.Context(), call)
	if err != nil {
		WriteProblem(w, time.Now(), a.withBookingKey(call, err))
		return
	}
	writeResponse(w, response)
}

// parseServiceCall authenticates the caller and validates its service call.
func (a *API) parseServiceCall(w http.ResponseWriter, r *http.Request) (_ hitchrouter.ServiceCall, err error) {
	organisation, err := a.authenticate(r)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), ServicePrefix)
	route, err := a.Router.ServiceRoute(organisation, path)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	key, err := shortHeader(r, IdempotencyKeyHeader)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	deadline, err := requestDeadline(r, time.Now(), route.TimeoutMilliseconds)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return hitchrouter.ServiceCall{
		Organisation: organisation,
		Route:        route,
		Zone:         requestZone(r),
		Key:          key,
		Call: hitchforward.Call{
			Method:     r.Method,
			Path:       path,
			Header:     hitchforward.EndToEndHeader(r.Header),
			Body:       body,
			Idempotent: route.IsIdempotent(r.Method),
			Deadline:   deadline,
		},
	}, nil
}

// withBookingKey converts an error to a Problem, and adds a new booking key if the
// call was refused because its key was missing or unusable.
func (a *API) withBookingKey(call hitchrouter.ServiceCall, err error) error {
	var refusal *hitchoutcome.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	problem := ProblemOf(err)
	var keyRefusal *hitchrouter.KeyRefusal
	if errors.As(err, &keyRefusal) {
		return problem.WithBookingKey(keyRefusal.BookingKey)
	}
	if refusal.Reason != hitchoutcome.ReasonKeyMissing {
		return problem
	}
	key, _, mintErr := a.Router.MintKey(call.Organisation, call.Route.ID)
	if mintErr != nil {
		return problem
	}
	return problem.WithBookingKey(key)
}
