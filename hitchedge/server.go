package hitchedge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
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

func (e *Edge) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           e.gateway,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.Log.StandardLogger(nil),
	}
}

// listenAndServe serves on a TCP address until the server is shut down.
func listenAndServe(server *http.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveUntil serves an internal HTTP handler, such as readiness or the directory,
// until ctx ends.
func serveUntil(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return listenAndServe(server, addr)
}

// shutDown shuts the instance down gracefully: it removes itself from its directory
// responses, still accepts callers that cached an old response for drainDelay, and
// then waits for the requests in flight until the deadline.
func (e *Edge) shutDown(callerServer *http.Server) {
	gracePeriod := time.Duration(e.Settings.Bounds.GraceSeconds * float64(time.Second))
	deadline := time.Now().Add(gracePeriod - shutdownMargin)
	e.Log.Info("shutting down", "InFlight", e.gateway.InFlight(), "Until", deadline)
	e.gateway.StartDraining()
	time.Sleep(min(drainDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		e.Log.Warn("shutdown deadline exceeded with requests in flight", "InFlight", e.gateway.InFlight(), "Error", err)
	}
	e.Log.Info("stopped", "InFlight", e.gateway.InFlight())
}
