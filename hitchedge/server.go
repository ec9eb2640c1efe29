package hitchedge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Limits of a server towards callers.
const (
	readHeaderLimit = 10 * time.Second
	idleLimit       = 90 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Times of a graceful shutdown.
const (
	// leaveFor is how long callers with an old answer of the directory are served.
	leaveFor = 3 * time.Second
	// exitMargin is left between the end of the shutdown and SIGKILL.
	exitMargin = 500 * time.Millisecond
)

func (e *Edge) frontServer() *http.Server {
	return &http.Server{
		Handler:           e.gateway,
		ReadHeaderTimeout: readHeaderLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          e.Log.StandardLogger(nil),
	}
}

// listen serves until the server is shut down.
func listen(server *http.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveUntil serves a small page of the instance's own until ctx ends.
func serveUntil(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderLimit}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return listen(server, addr)
}

// stop ends the instance: it leaves the directory, serves callers that come
// with an old answer for a while, and waits for the requests in flight.
func (e *Edge) stop(front *http.Server) {
	grace := time.Duration(e.Settings.Bounds.GraceSeconds * float64(time.Second))
	deadline := time.Now().Add(grace - exitMargin)
	e.Log.Info("stop", "InFlight", e.gateway.InFlight(), "Until", deadline)
	e.gateway.StartDraining()
	time.Sleep(min(leaveFor, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		e.Log.Warn("requests were cut off", "InFlight", e.gateway.InFlight(), "Error", err)
	}
	e.Log.Info("stopped", "InFlight", e.gateway.InFlight())
}
