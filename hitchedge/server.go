package hitchedge

import (
	"context"
	"net"
	"net/http"
	"time"

	"citronhitch.example/citronhitch/hitchserver"
)

// Limits of the server for callers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Durations of a graceful shutdown.
const (
	// drainDelay is how long callers that cached an old directory response are still
	// accepted.
	drainDelay = 3 * time.Second
	// shutdownMargin is the time between the end of the shutdown and SIGKILL.
	shutdownMargin = 500 * time.Millisecond
)

func (e *Edge) newCallerServer() *hitchserver.Server {
	return &hitchserver.Server{
		HTTP: http.Server{
			Handler:           e.gateway,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          e.Log.StandardLogger(nil),
		},
		ClosedEarly: e.logClosedEarly,
	}
}

// logClosedEarly logs a connection that was closed while a request on it had no
// response.
func (e *Edge) logClosedEarly(addr net.Addr, phase hitchserver.Phase) {
	e.Log.Info("connection closed without a response", "Caller", addr, "Phase", phase, "Draining", e.gateway.IsDraining())
}

// listenAndServe serves on a TCP address until the server is shut down.
func listenAndServe(server *hitchserver.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	return server.Serve(l)
}

// serveUntil serves an internal HTTP handler, such as readiness or the directory,
// until ctx ends.
func serveUntil(ctx context.Context, addr string, handler http.Handler) error {
	server := &hitchserver.Server{HTTP: http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return listenAndServe(server, addr)
}

// shutDown shuts the instance down gracefully: it removes itself from its directory
// responses, still accepts callers that cached an old response for drainDelay, and
// then waits for the requests in flight until the deadline.
func (e *Edge) shutDown(callerServer *hitchserver.Server) {
	gracePeriod := time.Duration(e.Settings.Bounds.GraceSeconds * float64(time.Second))
	deadline := time.Now().Add(gracePeriod - shutdownMargin)
	e.Log.Info("shutting down", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns(), "Until", deadline)
	e.gateway.StartDraining()
	time.Sleep(min(drainDelay, time.Until(deadline)))
	e.Log.Info("accepting no more connections", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		e.Log.Warn("shutdown deadline exceeded", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns(), "Error", err)
		e.logRequestsInFlight()
	}
	e.Log.Info("stopped", "InFlight", e.gateway.InFlight())
}

// logRequestsInFlight logs the requests that the end of the process cuts off.
func (e *Edge) logRequestsInFlight() {
	now := time.Now()
	for _, r := range e.gateway.RequestsInFlight() {
		e.Log.Warn("request cut off by the shutdown", "ID", r.ID, "Took", now.Sub(r.ReceivedAt))
	}
}
