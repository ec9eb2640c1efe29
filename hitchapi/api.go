// Package hitchapi implements the HTTP API of a router. Callers request router
// addresses, chat with models and call plain services; operators plan and
// confirm configuration changes. Every error response is a Problem, which
// states whether the request was executed.
//
//	api := &hitchapi.API{Router: router}
//	server := hitchapi.Server{Addr: ":8080", Handler: api.Handler()}
package hitchapi

import (
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchrouter"
	"citronhitch.example/citronhitch/hitchserver"
)

// ServicePrefix is the path prefix of calls to plain services.
const ServicePrefix = "/services"

// LeavingHeader is set on every response of a router that is shutting down. It
// lists the addresses of the routers to use instead.
const LeavingHeader = "X-Router-Leaving"

// API serves the HTTP requests of callers and operators.
type API struct {
	Router *hitchrouter.Router
	// Operators handles operator requests; nil disables the operator API.
	Operators *OperatorAPI
	// Metrics serves GET /metrics; nil disables it.
	Metrics http.Handler
	// Bodies bounds the memory of long request bodies.
	Bodies hitchserver.BodyBudget
}

// Handler returns the HTTP handler for all operations.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	cfg := huma.DefaultConfig("citronhitch", "1")
	cfg.CreateHooks = nil
	api := humago.New(mux, cfg)
	a.registerAddress(api)
	a.registerChat(api)
	if a.Operators != nil {
		a.Operators.register(api)
	}
	mux.HandleFunc(ServicePrefix+"/", a.serveService)
	mux.HandleFunc("GET /healthz", a.serveHealth)
	if a.Metrics != nil {
		mux.Handle("GET /metrics", a.Metrics)
	}
	return a.withLeavingHeader(mux)
}

// withLeavingHeader adds LeavingHeader to responses while the router is shutting
// down, and closes the connection after each of them.
func (a *API) withLeavingHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if successors, leaving := a.Router.Successors(); leaving {
			w.Header().Set(LeavingHeader, strings.Join(successors, ", "))
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveHealth responds with 204 if the router accepts new requests, and with a
// Problem if it doesn't.
func (a *API) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := a.Router.Ready(); err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// authenticate returns the organisation that the request's API key belongs to.
func (a *API) authenticate(r *http.Request) (hitchconfig.Organisation, error) {
	return a.Router.Authenticate(apiKey(r))
}
