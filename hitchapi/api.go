// Package hitchapi is the HTTP face of a router: callers ask for addresses,
// chat with models and call plain services; operators plan and confirm changes.
// Every error is a Problem that says whether the work ran.
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
)

// ServicePrefix starts the paths of plain services.
const ServicePrefix = "/services"

// LeavingHeader tells callers that the router is leaving, and names the
// addresses to use from now on.
const LeavingHeader = "X-Router-Leaving"

// API answers callers and operators.
type API struct {
	Router *hitchrouter.Router
	// Operators answers operators; nil leaves their part out.
	Operators *Operators
	// Metrics serves the metrics to operators; nil leaves them out.
	Metrics http.Handler
}

// Handler returns the handler of all operations.
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
	return a.withLeaving(mux)
}

// withLeaving tells callers of a router that leaves where to go.
func (a *API) withLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if successors, leaving := a.Router.Successors(); leaving {
			w.Header().Set(LeavingHeader, strings.Join(successors, ", "))
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveHealth tells whether the router takes new work.
func (a *API) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if err := a.Router.Ready(); err != nil {
		WriteProblem(w, time.Now(), err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// authenticate returns the organisation of a caller's API key.
func (a *API) authenticate(r *http.Request) (hitchconfig.Organisation, error) {
	return a.Router.Authenticate(apiKey(r))
}
