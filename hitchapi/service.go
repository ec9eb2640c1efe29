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

// serveService passes a call on to a plain service.
func (a *API) serveService(w http.ResponseWriter, r *http.Request) {
	call, err := a.readService(w, r)
	if err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	answer, err := a.Router.CallService(r.Context(), call)
	if err != nil {
		WriteProblem(w, time.Now(), a.withKey(call, err))
		return
	}
	writeAnswer(w, answer)
}

// readService checks who asks and what for.
func (a *API) readService(w http.ResponseWriter, r *http.Request) (_ hitchrouter.ServiceCall, err error) {
	organisation, err := a.authenticate(r)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), ServicePrefix)
	route, err := a.Router.ServiceRoute(organisation, path)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	key, err := nameOf(r, KeyHeader)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	body, err := readBody(w, r, a.Router.BodyLimit())
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	deadline, err := deadlineOf(r, time.Now(), route.TimeoutMilliseconds)
	if err != nil {
		return hitchrouter.ServiceCall{}, err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return hitchrouter.ServiceCall{
		Organisation: organisation,
		Route:        route,
		Zone:         zoneOf(r),
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

// withKey hands the caller a key where the refusal is about the lack of one.
func (a *API) withKey(call hitchrouter.ServiceCall, err error) error {
	var refusal *hitchoutcome.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	problem := ProblemOf(err)
	var handed *hitchrouter.KeyRefusal
	if errors.As(err, &handed) {
		return problem.WithBookingKey(handed.BookingKey)
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
