package main

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"citronhitch.example/citronhitch/hitchfake"
)

// fakeSettings are the flags of the stand-ins.
type fakeSettings struct {
	address string
	admin   string
	lag     int
	cold    int
	rate    float64
	ignores bool
}

// fakeCommand runs a stand-in for a part of the platform as its own process.
func (p *program) fakeCommand() command {
	var s fakeSettings
	clause := p.app.Command("fake", "Run a stand-in for a part of the platform, for tests and trials.")
	kind := clause.Arg("kind", "engine, service, store, list or weights.").Required().Enum("engine", "service", "store", "list", "weights")
	clause.Flag("address", "Where the stand-in listens, as host:port.").Default("127.0.0.1:0").StringVar(&s.address)
	clause.Flag("admin-address", "Where faults are switched on, as host:port.").Default("127.0.0.1:0").StringVar(&s.admin)
	clause.Flag("lag-ms", "Age of load reports and of the instance list, in milliseconds.").Default("0").IntVar(&s.lag)
	clause.Flag("cold-ms", "How long an engine is cold after it loaded a model, in milliseconds.").Default("0").IntVar(&s.cold)
	clause.Flag("tokens-per-second", "Rate of an engine's stream that runs alone, in tokens a second.").Default("500").Float64Var(&s.rate)
	clause.Flag("ignores-fencing", "Make the engine carry out orders with an old fencing number.").BoolVar(&s.ignores)
	return command{clause, func(ctx context.Context) error {
		handler, admin := s.handlers(*kind)
		return p.serveFake(ctx, *kind, s, handler, admin)
	}}
}

// handlers returns the stand-in's own handler and that of its admin address.
func (s fakeSettings) handlers(kind string) (handler, admin http.Handler) {
	switch kind {
	case "engine":
		f := &hitchfake.Engine{TokensPerSecond: s.rate, LoadLagMillis: s.lag, ColdMillis: s.cold, IgnoresFencing: s.ignores}
		return f.Handler(), f.Admin()
	case "service":
		f := &hitchfake.Service{LoadLagMillis: s.lag}
		return f.Handler(), f.Admin()
	case "store":
		f := &hitchfake.Store{}
		return f.Handler(), f.Admin()
	case "list":
		f := &hitchfake.List{}
		f.Configure(hitchfake.ListSettings{LagMillis: s.lag})
		return f.Handler(), f.Admin()
	default:
		f := &hitchfake.Weights{}
		return f.Handler(), f.Admin()
	}
}

func (p *program) serveFake(ctx context.Context, kind string, s fakeSettings, handler, admin http.Handler) error {
	main, err := net.Listen("tcp", s.address)
	if err != nil {
		return &SettingError{Flag: "address", Value: s.address, Allowed: "a free host:port: " + err.Error()}
	}
	side, err := net.Listen("tcp", s.admin)
	if err != nil {
		return &SettingError{Flag: "admin-address", Value: s.admin, Allowed: "a free host:port: " + err.Error()}
	}
	_, _ = fmt.Fprintf(p.stdout, "Fake=%s Address=%s AdminAddress=%s\n", kind, main.Addr(), side.Addr())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveUntil(ctx, main, handler) })
	group.Go(func() error { return serveUntil(ctx, side, admin) })
	return group.Wait()
}

// serveUntil serves a listener until ctx is done.
func serveUntil(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
