// Package hitchserver serves HTTP to callers and knows the phase of each of their
// connections.
//
//	server := hitchserver.Server{HTTP: http.Server{Handler: handler}}
//	go server.Serve(listener)
//	// ...
//	err := server.Shutdown(ctx)
package hitchserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// Server is an HTTP server. The fields are set before Serve.
type Server struct {
	// HTTP holds the handler, limits and timeouts. Its hooks ConnState and ConnContext
	// are set by Serve.
	HTTP http.Server
	// ClosedEarly, if set, is called for each connection that was closed in PhaseReading or
	// PhaseHandling: a request was read, in part or whole, and has no response.
	ClosedEarly func(addr net.Addr, phase Phase)

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Serve serves the connections of a listener until Shutdown or Close, and then returns
// nil.
func (s *Server) Serve(l net.Listener) error {
	handler := s.HTTP.Handler
	s.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveRequest(handler, w, r) })
	s.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.HTTP.ConnState = s.observeState
	if err := s.HTTP.Serve(&listener{Listener: l, accepted: s.add}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serveRequest runs the handler of a request and records the phases of its connection.
func serveRequest(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	c.setPhase(PhaseHandling)
	defer c.setPhase(PhaseWriting)
	handler.ServeHTTP(w, r)
}

// listener wraps each accepted connection.
type listener struct {
	net.Listener
	accepted func(*conn)
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	l.accepted(c)
	return c, nil
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
}

// observeState follows the states of a connection that net/http reports.
func (s *Server) observeState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.setPhase(PhaseIdle)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

// remove forgets a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	phase := c.currentPhase()
	if s.ClosedEarly != nil && (phase == PhaseReading || phase == PhaseHandling) {
		s.ClosedEarly(c.RemoteAddr(), phase)
	}
}

// Conns returns the numbers of open connections by phase.
func (s *Server) Conns() (counts ConnCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		counts = counts.add(c.currentPhase())
	}
	return counts
}

// Shutdown stops accepting connections and waits until the requests in flight have
// their responses or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.HTTP.Shutdown(ctx) }

// Close closes all connections at once.
func (s *Server) Close() error { return s.HTTP.Close() }
