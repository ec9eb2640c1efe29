package hitchserver

import (
	"net"
	"sync"
)

// conn is a caller's connection that knows its phase.
type conn struct {
	net.Conn

	mu    sync.Mutex
	phase Phase
}

// Read reads bytes. The first ones after a response begin the next request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.beginRequest()
	}
	return n, err
}

// CloseWrite closes the sending half, as net/http does before it closes a connection
// whose request it hasn't read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// beginRequest notes that a part of a request has been read.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == PhaseNew || c.phase == PhaseIdle {
		c.phase = PhaseReading
	}
}

func (c *conn) setPhase(p Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
}

func (c *conn) currentPhase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}
