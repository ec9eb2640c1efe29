// Package hitchconn has connections and transports of clients that take no broken response for a whole one.
//
// The kernel reports an error of a connection to one call only. If that is the write of a long request, the read of
// the response returns io.EOF, as after a clean end, and a response without a length seems whole.
//
//	nc, err := dialer.DialContext(ctx, "tcp", addr)
//	nc = hitchconn.CheckEnd(nc) // a read returns the error that a write got
//	client := http.Client{Transport: hitchconn.NewTransport(&http.Transport{DialContext: dialer.DialContext})}
package hitchconn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a TCP connection whose reads return io.EOF only if the other side has ended it.
type Conn struct {
	net.Conn

	// mu is held while bytes are written, and guards writeErr, the first error of a write.
	mu       sync.Mutex
	writeErr error
}

// CheckEnd returns a connection that checks its end. One that does so already, or is nil, is returned as it is.
func CheckEnd(nc net.Conn) net.Conn {
	if _, ok := nc.(*Conn); ok || nc == nil {
		return nc
	}
	return &Conn{Conn: nc}
}

// Dial returns a function that opens connections that check their end. It dials by another one, whose errors it
// returns; nil dials as net.Dialer does.
func Dial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		return CheckEnd(nc), err
	}
}

// Raw returns the file descriptor of a connection, also of one that checks its end. It returns
// errors.ErrUnsupported if there is none.
func Raw(nc net.Conn) (syscall.RawConn, error) {
	if c, ok := nc.(*Conn); ok {
		nc = c.Conn
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Write writes bytes. Its errors are those of the connection.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads bytes. It returns io.EOF if the other side has ended the connection, and the error that broke it
// if a write got that.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if broken := c.brokenBy(); broken != nil {
		err = broken
	}
	return n, err
}

// brokenBy returns the error that broke the connection, or nil if the other side has ended it.
func (c *Conn) brokenBy() error {
	if !c.awaitWrite() {
		return nil
	}
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil // the other side had ended the connection before it was reset
	}
	return c.writeErr
}

// awaitWrite locks mu once no write is under way. It returns false if one goes on, as the other side has only
// ended its own.
func (c *Conn) awaitWrite() bool {
	if isClosed(c.Conn) {
		c.mu.Lock() // a write on a closed connection returns at once
		return true
	}
	return c.mu.TryLock()
}

// tcpClose is the state of a TCP connection that has ended on both sides, or was reset.
const tcpClose = 7

// isClosed reports whether the kernel has closed a TCP connection on both sides.
func isClosed(nc net.Conn) bool {
	info, err := tcpInfo(nc)
	return err == nil && info.State == tcpClose
}
