package hitchserver

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// conn is a caller's connection that knows its phase. Once it is stopping, it reads no
// further request: the read of a connection without a request fails, and the goroutine
// that reads closes it. A read that returned bytes before that isn't affected, so that
// no request is dropped that was read.
type conn struct {
	net.Conn
	server *Server

	// unframed is the response to a request of HTTP/1.0, if one is being written.
	unframed unframedResponse

	// head is the part of the next request's head that has been read. It is used by the goroutine that reads.
	head head
	// heldBytes is what the connection draws on the budget of heads, and lostHead is set once it was closed for want of
	// that. Both are under the budget's lock.
	heldBytes int64
	lostHead  bool
	// place is where the connection waits, and isForgotten is set once it was closed to make room. Both are under the
	// server's lock.
	place       place
	isForgotten bool

	mu           sync.Mutex
	phase        Phase
	phaseSince   time.Time
	isStopping   bool
	limits       Limits
	readDeadline time.Time
}

// longAgo is a deadline that has always passed.
var longAgo = time.Unix(1, 0)

// Read reads bytes. The first ones after a response begin the next request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.beginRequest() && !c.addToHead(b[:n]) {
		return 0, io.EOF // net/http sends no response then
	}
	return n, err
}

// addToHead adds bytes to the head that is being read, and reports whether the head is within its limits.
func (c *conn) addToHead(b []byte) bool {
	c.head.bytes += len(b)
	c.head.lines += bytes.Count(b, []byte("\n"))
	if c.currentLimits().exceeds(c.head.bytes) {
		c.refuseHead()
		return false
	}
	return c.server.Heads.hold(c, c.head.memoryBytes(), false)
}

// refuseHead responds to a head that is too large. A client that leaves earlier responses unread gets none.
func (c *conn) refuseHead() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = io.WriteString(c.Conn, headTooLarge)
}

func (c *conn) currentLimits() Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// weight returns what the connection draws on the budget of heads times the seconds since its request began. It is called
// with the budget's lock held.
func (c *conn) weight(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.heldBytes) * now.Sub(c.phaseSince).Seconds()
}

// evict closes the connection, whose request has not been handled, to make room for others.
func (c *conn) evict() {
	c.server.forget(c)
	_ = c.Conn.Close()
}

// Write writes bytes of a response.
func (c *conn) Write(b []byte) (n int, err error) {
	c.unframed.resetOnClose()
	n, err = c.Conn.Write(b)
	c.unframed.add(n)
	return n, err
}

// Close closes the connection. A caller of HTTP/1.0 sees that its response isn't whole.
func (c *conn) Close() error {
	c.unframed.awaitAck()
	return c.Conn.Close()
}

// beginRequest notes that a part of a request has been read, and reports whether it may
// be one of the head. The rest of it may be read even if the connection is stopping.
func (c *conn) beginRequest() bool {
	if p := c.currentPhase(); p != PhaseNew && p != PhaseIdle {
		return p == PhaseReading
	}
	c.head = head{}
	c.server.awaitRequest(c, false)
	c.setPhase(PhaseReading)
	return true
}

// hasRequest reports whether a request without a complete response has been read, in
// part or whole. It is called with mu held.
func (c *conn) hasRequest() bool { return c.phase != PhaseNew && c.phase != PhaseIdle }

// stop makes the connection read no further request.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopping = true
	_ = c.applyReadDeadline()
}

// setLimits replaces the limits. A connection without a request has the whole time of the new ones.
func (c *conn) setLimits(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
	if !c.hasRequest() {
		c.phaseSince = time.Now()
	}
	_ = c.applyReadDeadline()
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	return c.applyReadDeadline()
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// applyReadDeadline sets the connection's deadline, which has passed if no further
// request may be read. It is called with mu held.
func (c *conn) applyReadDeadline() error {
	if c.isStopping && !c.hasRequest() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return c.Conn.SetReadDeadline(earliest(c.readDeadline, c.limits.deadline(c.phase, c.phaseSince)))
}

// CloseWrite closes the sending half, as net/http does before it closes a connection
// whose request it hasn't read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setPhase sets the phase. A request that was read together with the one before it begins
// without a read: its connection is no longer without one.
func (c *conn) setPhase(p Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseSince = p, time.Now()
	if c.isStopping || c.limits != (Limits{}) {
		_ = c.applyReadDeadline()
	}
}

func (c *conn) currentPhase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}
