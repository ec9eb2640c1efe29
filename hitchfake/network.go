package hitchfake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is an in-memory network of servers for tests under testing/synctest,
// where real sockets stop the clock. The zero value works. Close ends all of its
// servers and connections.
//
//	var network hitchfake.Network
//	defer network.Close()
//	network.Serve("engine-1:80", engine.Handler())
//	response, err := network.Client().Get("http://engine-1/v1/load")
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]struct{}
	refused   map[string]bool
	client    *http.Client
	servers   []*http.Server
}

// Serve starts an HTTP server at an address of the form host:port.
func (n *Network) Serve(addr string, handler http.Handler) {
	listener := &memoryListener{
		addr:   memoryAddr(addr),
		dialed: make(chan net.Conn),
		closed: make(chan struct{}),
	}
	server := &http.Server{Handler: handler}
	n.mu.Lock()
	if n.listeners == nil {
		n.listeners = make(map[string]*memoryListener)
	}
	n.listeners[addr] = listener
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// DialContext connects to an address of the network.
func (n *Network) DialContext(ctx context.Context, _, addr string) (conn net.Conn, err error) {
	n.mu.Lock()
	listener := n.listeners[addr]
	if n.refused[addr] {
		listener = nil
	}
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: memoryAddr(addr), Err: syscall.ECONNREFUSED}
	if listener == nil {
		return nil, refused
	}
	near, far := n.pipe(addr)
	select {
	case listener.dialed <- far:
		return near, nil
	case <-listener.closed:
		err = refused
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, errors.Join(err, near.Close(), far.Close())
}

// Client returns an HTTP client of the network.
func (n *Network) Client() *http.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.client == nil {
		n.client = &http.Client{Transport: &http.Transport{DialContext: n.DialContext}}
	}
	return n.client
}

// Silence makes the open connections to an address silent for good, in both
// directions; their ends learn nothing of it. New connections work.
func (n *Network) Silence(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.addr == addr {
			conn.silence()
		}
	}
}

// Refuse makes new connections to an address fail, or work again.
func (n *Network) Refuse(addr string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[string]bool)
	}
	n.refused[addr] = refuse
}

// Close ends all servers and connections.
func (n *Network) Close() error {
	n.mu.Lock()
	servers, client := n.servers, n.client
	n.servers = nil
	n.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	if client != nil {
		client.CloseIdleConnections()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		err = errors.Join(err, conn.Conn.Close())
	}
	n.conns = nil
	if err != nil {
		return fmt.Errorf("close network: %w", err)
	}
	return nil
}

func (n *Network) pipe(addr string) (near, far *memoryConn) {
	a, b := net.Pipe()
	near, far = &memoryConn{Conn: a, addr: addr}, &memoryConn{Conn: b, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*memoryConn]struct{})
	}
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	near.forget = func() { n.forget(near) }
	far.forget = func() { n.forget(far) }
	return near, far
}

func (n *Network) forget(conn *memoryConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	addr   memoryAddr
	dialed chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialed:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.addr }

// memoryConn is one end of a connection that can go silent.
type memoryConn struct {
	net.Conn
	addr   string
	forget func()

	mu     sync.Mutex
	silent bool
	closed bool
}

func (c *memoryConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *memoryConn) state() (silent, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent, c.closed
}

// Write drops what is written to a silent connection.
func (c *memoryConn) Write(p []byte) (n int, err error) {
	silent, closed := c.state()
	if closed {
		return 0, net.ErrClosed
	}
	if silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read reads from the other end; at a silent connection nothing comes.
func (c *memoryConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if _, closed := c.state(); closed && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes this end. The other end of a silent connection learns nothing.
func (c *memoryConn) Close() error {
	c.mu.Lock()
	silent := c.silent
	c.closed = true
	c.mu.Unlock()
	if silent {
		return c.Conn.SetDeadline(time.Unix(0, 1))
	}
	c.forget()
	return c.Conn.Close()
}

// SetReadDeadline leaves a closed end as it is.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	if _, closed := c.state(); closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}
