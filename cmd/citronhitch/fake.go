package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"citronhitch.example/citronhitch/hitchfake"
	hitchstandin "citronhitch.example/citronhitch/platform/standin"
)

// fakeSettings holds the flags of the fake command.
type fakeSettings struct {
	address         string
	adminAddress    string
	lagMillis       int
	coldMillis      int
	tokensPerSecond float64
	ignoresFencing  bool
}

// fakeCommand returns the fake command, which runs a fake of a part of the platform as a
// separate process.
func (p *program) fakeCommand() command {
	var s fakeSettings
	clause := p.app.Command("fake", "Run a stand-in for a part of the platform, for tests and trials.")
	kind := clause.Arg("kind", "engine, service, store, list or weights.").Required().Enum("engine", "service", "store", "list", "weights")
	clause.Flag("address", "Listen address of the stand-in, as host:port.").Default("127.0.0.1:0").StringVar(&s.address)
	clause.Flag("admin-address", "Listen address of the admin API, which injects faults, as host:port.").Default("127.0.0.1:0").StringVar(&s.adminAddress)
	clause.Flag("lag-ms", "Age of load reports and of the instance list, in milliseconds.").Default("0").IntVar(&s.lagMillis)
	clause.Flag("cold-ms", "Duration of an engine's cold start after it has loaded a model, in milliseconds.").Default("0").IntVar(&s.coldMillis)
	clause.Flag("tokens-per-second", "Rate of an engine that runs a single stream, in tokens a second.").Default("500").Float64Var(&s.tokensPerSecond)
	clause.Flag("ignores-fencing", "Make the engine accept commands with an outdated fencing number.").BoolVar(&s.ignoresFencing)
	return command{clause, func(ctx context.Context) error {
		handler, admin := s.handlers(*kind)
		return p.serveFake(ctx, *kind, s, handler, admin)
	}}
}

// fakeEndpointCommand returns the fake-endpoint command, by which a soak runs an endpoint as a separate
// process.
func (p *program) fakeEndpointCommand() command {
	clause := p.app.Command("fake-endpoint", "Run an endpoint of a soak on the listener that the soak passes.").Hidden()
	settings := clause.Arg("settings", "Settings, as JSON.").Required().String()
	return command{clause, func(ctx context.Context) error { return hitchstandin.RunProcess(ctx, *settings) }}
}

// handlers returns the handlers for the fake's address and its admin address.
func (s fakeSettings) handlers(kind string) (handler, admin http.Handler) {
	switch kind {
	case "engine":
		engine := &hitchfake.Engine{TokensPerSecond: s.tokensPerSecond, LoadLagMillis: s.lagMillis, ColdMillis: s.coldMillis, IgnoresFencing: s.ignoresFencing}
		return engine.Handler(), engine.Admin()
	case "service":
		service := &hitchfake.Service{LoadLagMillis: s.lagMillis}
		return service.Handler(), service.Admin()
	case "store":
		store := &hitchfake.Store{}
		return store.Handler(), store.Admin()
	case "list":
		list := &hitchfake.List{}
		list.Configure(hitchfake.ListSettings{LagMillis: s.lagMillis})
		return list.Handler(), list.Admin()
	default:
		weights := &hitchfake.Weights{}
		return weights.Handler(), weights.Admin()
	}
}

func (p *program) serveFake(ctx context.Context, kind string, s fakeSettings, handler, admin http.Handler) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &SettingError{Flag: "address", Value: s.address, Allowed: "a free host:port: " + err.Error()}
	}
	adminListener, err := net.Listen("tcp", s.adminAddress)
	if err != nil {
		return &SettingError{Flag: "admin-address", Value: s.adminAddress, Allowed: "a free host:port: " + err.Error()}
	}
	_, _ = fmt.Fprintf(p.stdout, "Fake=%s Address=%s AdminAddress=%s\n", kind, listener.Addr(), adminListener.Addr())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveUntil(ctx, listener, handler) })
	group.Go(func() error { return serveUntil(ctx, adminListener, admin) })
	return group.Wait()
}

// serveUntil serves requests on a listener until ctx is done.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}
