package hitchserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// errEvicted is returned by the body of a request whose connection was closed to make room.
var errEvicted = errors.New("hitchserver: the connection was closed to make room for others")

// SetLimits replaces the limits of all connections.
func (s *Server) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Limits == l {
		return
	}
	s.Limits = l
	for c := range s.conns {
		c.setLimits(l)
	}
}

// Evicted returns the number of connections that were closed since the start as there were MaxConns.
func (s *Server) Evicted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// makeRoom makes room for a connection. It reports whether there is some, and returns the connection to close for that, if any.
func (s *Server) makeRoom() (victim *conn, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConns <= 0 || len(s.conns) < s.MaxConns {
		return nil, true
	}
	s.evicted++
	victim = s.waiting.first()
	if victim == nil {
		return nil, false
	}
	s.forgetLocked(victim)
	return victim, true
}

// forget forgets a connection, which no longer counts, and reports whether it was forgotten before.
func (s *Server) forget(c *conn) (wasForgotten bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasForgotten = c.isForgotten
	s.forgetLocked(c)
	return wasForgotten
}

func (s *Server) forgetLocked(c *conn) {
	c.isForgotten = true
	s.waiting.remove(c)
	delete(s.conns, c)
	s.closeIfDrained()
}

// awaitRequest notes that a connection waits for a whole request from now on.
func (s *Server) awaitRequest(c *conn, isServed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitRequestLocked(c, isServed)
}

func (s *Server) awaitRequestLocked(c *conn, isServed bool) {
	if s.MaxConns > 0 && !c.isForgotten {
		s.waiting.add(c, isServed, time.Now())
	}
}

// admit admits a request whose head is whole, or aborts it if its connection was closed or there is no memory for the head.
// A request that isn't admitted isn't run.
func (s *Server) admit(c *conn, r *http.Request) {
	isWhole := !s.ReadsWholeBodies || r.Body == nil || r.Body == http.NoBody
	if !s.Heads.hold(c, headOf(r).memoryBytes(), isWhole) {
		panic(http.ErrAbortHandler)
	}
	if !isWhole {
		s.awaitRequest(c, false)
		r.Body = &awaitedBody{ReadCloser: r.Body, conn: c}
		return
	}
	if !s.keep(c) {
		panic(http.ErrAbortHandler)
	}
}

// keep notes that the request of a connection is whole, so that it is no longer closed to make room. It returns false if it
// has been closed.
func (s *Server) keep(c *conn) bool {
	isKept := s.Heads.keep(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.remove(c)
	return isKept && !c.isForgotten
}

// awaitedBody is a body whose connection counts as one without a whole request until its end is read.
type awaitedBody struct {
	io.ReadCloser
	conn    *conn
	isWhole bool
}

// Read reads a part of the body.
func (b *awaitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || b.isWhole {
		return n, err
	}
	b.isWhole = true
	if !b.conn.server.keep(b.conn) {
		return n, errEvicted
	}
	return n, err
}
