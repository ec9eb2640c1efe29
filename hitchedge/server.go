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
	// directoryDelay is how long the directories of other instances may still name this
	// one after it has removed its entry.
	directoryDelay = time.Second
	// drainDelay is how long callers that cached an old directory response are still
	// accepted.
	drainDelay = directoryDelay + directoryTTLSeconds*time.Second
	// shutdownMargin is the time between the deadline of requests in flight and SIGKILL.
	shutdownMargin = 500 * time.Millisecond
	// endMargin is the part of shutdownMargin in which the responses of requests that the
	// deadline ended are written.
	endMargin = 200 * time.Millisecond
	// internalShutdownTime is how long the internal servers wait for their requests.
	internalShutdownTime = 100 * time.Millisecond
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

// serveUntil serves an internal HTTP handler, such as readiness or the directory, until
// ctx ends and the requests in flight have their responses.
func serveUntil(ctx context.Context, addr string, handler http.Handler) error {
	server := &hitchserver.Server{HTTP: http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
	stopped := make(chan struct{})
	cancelStop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		if shutDownUntil(server, time.Now().Add(internalShutdownTime)) != nil {
			_ = server.Close()
		}
	})
	err := listenAndServe(server, addr)
	if !cancelStop() {
		<-stopped
	}
	return err
}

// shutDown shuts the instance down gracefully: it removes itself from its directory
// responses, still accepts callers that cached an old response for drainDelay, and
// then waits for the requests in flight. Those that are left at the deadline are
// ended, each with a response.
func (e *Edge) shutDown(callerServer *hitchserver.Server) {
	gracePeriod := time.Duration(e.Settings.Bounds.GraceSeconds * float64(time.Second))
	deadline := time.Now().Add(gracePeriod - shutdownMargin)
	e.Log.Info("shutting down", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns(), "Until", deadline)
	e.gateway.StartDraining()
	time.Sleep(min(drainDelay, time.Until(deadline)))
	e.Log.Info("accepting no more connections", "InFlight", e.gateway.InFlight(), "Conns", callerServer.Conns())
	if err := shutDownUntil(callerServer, deadline); err != nil {
		e.Log.Warn("shutdown deadline exceeded", "InFlight", e.gateway.InFlight(), "Error", err)
		e.gateway.EndRequests()
		if err := shutDownUntil(callerServer, deadline.Add(endMargin)); err != nil {
			e.logCutRequests(err)
		}
	}
	if err := callerServer.Close(); err != nil {
		e.Log.Warn("failed to close connections", "Error", err)
	}
	e.Log.Info("stopped", "InFlight", e.gateway.InFlight())
}

// shutDownUntil shuts a server down gracefully, or returns an error at the deadline.
func shutDownUntil(server *hitchserver.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return server.Shutdown(ctx)
}

// logCutRequests logs the requests whose caller doesn't read the end of the response.
func (e *Edge) logCutRequests(err error) {
	now := time.Now()
	e.Log.Warn("connections left at the end", "Error", err)
	for _, r := range e.gateway.RequestsInFlight() {
		e.Log.Warn("request cut off by the shutdown", "ID", r.ID, "Took", now.Sub(r.ReceivedAt))
	}
}
