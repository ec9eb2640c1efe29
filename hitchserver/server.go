// Package hitchserver serves HTTP to callers and shuts down without dropping a request
// that it has read. The Shutdown of net/http drops those that it reads after it was
// called, and waits for connections on which nothing was sent.
//
//	server := hitchserver.Server{HTTP: http.Server{Handler: handler}}
//	go server.Serve(listener)
//	// ...
//	err := server.Shutdown(ctx)
package hitchserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server. The fields are set before Serve.
type Server struct {
	// HTTP holds the handler, limits and timeouts. Its hooks ConnState and ConnContext
	// are set by Serve.
	HTTP http.Server
	// ClosedEarly, if set, is called for each connection that was closed in PhaseReading or
	// PhaseHandling: a request was read, in part or whole, and has no response.
	ClosedEarly func(addr net.Addr, phase Phase)
	// SendBufferBytes is the size of each connection's send buffer, which bounds what a
	// caller may leave unread; 0 means the system's default.
	SendBufferBytes int
	// Limits bounds what each client may send until SetLimits is called.
	Limits Limits
	// MaxConns bounds the open connections. If there are as many, the one that has waited longest without a whole request is
	// closed for a new one; if there is none, the new one is. 0 means no bound.
	MaxConns int
	// Heads bounds the memory of large heads, of this server and others; nil means no bound.
	Heads *HeadBudget
	// ReadsWholeBodies is set if the handler acts on a request only once it has read its body to the end. Until then its
	// connection counts as one without a whole request.
	ReadsWholeBodies bool

	mu         sync.Mutex
	listener   net.Listener
	conns      map[*conn]struct{}
	waiting    waitingConns
	evicted    int64
	isStopping bool
	// drained is closed once the server is stopping and has no connections.
	drained chan struct{}
}

// ShutdownError is returned if a shutdown ends before all requests have responses.
type ShutdownError struct {
	// Conns are the connections that are still open.
	Conns ConnCounts
	Err   error
}

// Error returns the connections and the cause.
func (e *ShutdownError) Error() string {
	return fmt.Sprintf("shutdown: connections %s: %v", e.Conns, e.Err)
}

// Unwrap returns the cause.
func (e *ShutdownError) Unwrap() error { return e.Err }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnOf returns the connection on which a request has arrived at a Server, and false for a request of another
// server.
func ConnOf(r *http.Request) (net.Conn, bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil, false
	}
	return c.Conn, true
}

// Serve serves the connections of a listener until Shutdown or Close, and then returns
// nil.
func (s *Server) Serve(l net.Listener) error {
	handler := s.HTTP.Handler
	if handler == nil {
		handler = http.DefaultServeMux
	}
	s.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveRequest(handler, w, r) })
	s.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.HTTP.ConnState = s.observeState
	if s.setListener(l) {
		return l.Close()
	}
	err := s.HTTP.Serve(&listener{Listener: l, server: s})
	if errors.Is(err, http.ErrServerClosed) || s.isShuttingDown() {
		return nil
	}
	return err
}

// setListener stores the listener, and reports whether the server is already stopping.
func (s *Server) setListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	return s.isStopping
}

// isShuttingDown reports whether Shutdown was called.
func (s *Server) isShuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStopping
}

// serveRequest runs the handler of a request and records the phases of its connection.
func (s *Server) serveRequest(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if s.isShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	c.setPhase(PhaseHandling)
	defer c.setPhase(PhaseWriting)
	s.admit(c, r)
	if !r.ProtoAtLeast(1, 1) {
		c.unframed.begin(c.Conn)
		handler.ServeHTTP(w, r)
		c.unframed.end()
		return
	}
	handler.ServeHTTP(w, r)
}

// listener wraps each accepted connection.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := nc.(*net.TCPConn); ok && l.server.SendBufferBytes > 0 {
			_ = tcp.SetWriteBuffer(l.server.SendBufferBytes) // the default also works, with more memory
		}
		c := &conn{Conn: nc, server: l.server, phaseSince: time.Now()}
		if l.server.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

// add adds a connection, or returns false if there is no room for it.
func (s *Server) add(c *conn) bool {
	victim, ok := s.makeRoom()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.awaitRequestLocked(c, false)
	c.setLimits(s.Limits)
	if s.isStopping {
		c.stop()
	}
	return true
}

// observeState follows the states of a connection that net/http reports.
func (s *Server) observeState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		s.Heads.release(c)
		c.setPhase(PhaseIdle)
		s.awaitRequest(c, true)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
	}
}

// remove forgets a closed connection.
func (s *Server) remove(c *conn) {
	s.Heads.release(c)
	wasForgotten := s.forget(c)
	phase := c.currentPhase()
	if s.ClosedEarly != nil && !wasForgotten && (phase == PhaseReading || phase == PhaseHandling) {
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

// Shutdown stops accepting connections, closes those without a request, and waits until
// each request of which a part has been read has its response. Responses close their
// connections. If ctx ends first, it returns a *ShutdownError, and the connections stay
// open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	drained, err := s.stop()
	if err != nil {
		return err
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return &ShutdownError{Conns: s.Conns(), Err: ctx.Err()}
	}
}

// stop closes the listener and makes all connections read no further request. It returns
// a channel that is closed once all connections are closed.
func (s *Server) stop() (drained <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained == nil {
		s.drained = make(chan struct{})
	}
	if !s.isStopping && s.listener != nil {
		err = s.listener.Close()
	}
	s.isStopping = true
	for c := range s.conns {
		c.stop()
	}
	s.closeIfDrained()
	return s.drained, err
}

// closeIfDrained closes drained if the server is stopping and has no connections. It is
// called with mu held.
func (s *Server) closeIfDrained() {
	if !s.isStopping || len(s.conns) > 0 || s.drained == nil {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.HTTP.Close() }
