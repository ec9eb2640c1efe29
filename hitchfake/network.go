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

// Network is an in-memory network of servers for tests with testing/synctest,
// whose clock doesn't advance while a goroutine waits for a real socket. The zero
// value works. Close closes all servers and connections.
//
//	var network hitchfake.Network
//	defer network.Close()
//	network.Serve("engine-1:80", engine.Handler())
//	response, err := network.Client().Get("http://engine-1/v1/load")
type Network struct {
	mu           sync.Mutex
	listeners    map[string]*memoryListener
	conns        map[*memoryConn]struct{}
	refusedAddrs map[string]bool
	client       *http.Client
	servers      []*http.Server
}

// Serve starts an HTTP server at an address of the form host:port.
func (n *Network) Serve(addr string, handler http.Handler) {
	listener := &memoryListener{
		addr:     memoryAddr(addr),
		incoming: make(chan net.Conn),
		closed:   make(chan struct{}),
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

// DialContext connects to the server at an address.
func (n *Network) DialContext(ctx context.Context, _, addr string) (conn net.Conn, err error) {
	n.mu.Lock()
	listener := n.listeners[addr]
	if n.refusedAddrs[addr] {
		listener = nil
	}
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: memoryAddr(addr), Err: syscall.ECONNREFUSED}
	if listener == nil {
		return nil, refused
	}
	clientConn, serverConn := n.newConnPair(addr)
	select {
	case listener.incoming <- serverConn:
		return clientConn, nil
	case <-listener.closed:
		err = refused
	case <-ctx.Done():
		err = ctx.Err()
	}
	return nil, errors.Join(err, clientConn.Close(), serverConn.Close())
}

// Client returns an HTTP client that connects through the network.
func (n *Network) Client() *http.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.client == nil {
		n.client = &http.Client{Transport: &http.Transport{DialContext: n.DialContext}}
	}
	return n.client
}

// StallConnections stalls the open connections to an address permanently: data in
// both directions is dropped, and neither end gets an error. New connections work.
func (n *Network) StallConnections(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.addr == addr {
			conn.stall()
		}
	}
}

// RefuseConnections sets whether new connections to an address are refused.
func (n *Network) RefuseConnections(addr string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusedAddrs == nil {
		n.refusedAddrs = make(map[string]bool)
	}
	n.refusedAddrs[addr] = refuse
}

// Close closes all servers and connections.
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

func (n *Network) newConnPair(addr string) (clientConn, serverConn *memoryConn) {
	a, b := net.Pipe()
	clientConn, serverConn = &memoryConn{Conn: a, addr: addr}, &memoryConn{Conn: b, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*memoryConn]struct{})
	}
	n.conns[clientConn], n.conns[serverConn] = struct{}{}, struct{}{}
	clientConn.unregister = func() { n.unregister(clientConn) }
	serverConn.unregister = func() { n.unregister(serverConn) }
	return clientConn, serverConn
}

func (n *Network) unregister(conn *memoryConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	addr     memoryAddr
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return l.addr }

// memoryConn is one end of a connection that can stall.
type memoryConn struct {
	net.Conn
	addr       string
	unregister func()

	mu        sync.Mutex
	isStalled bool
	isClosed  bool
}

func (c *memoryConn) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStalled = true
}

func (c *memoryConn) state() (isStalled, isClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isStalled, c.isClosed
}

// Write drops the data if the connection is stalled.
func (c *memoryConn) Write(p []byte) (n int, err error) {
	isStalled, isClosed := c.state()
	if isClosed {
		return 0, net.ErrClosed
	}
	if isStalled {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read reads from the other end. It blocks on a stalled connection.
func (c *memoryConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if _, isClosed := c.state(); isClosed && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes this end. On a stalled connection the other end isn't notified.
func (c *memoryConn) Close() error {
	c.mu.Lock()
	isStalled := c.isStalled
	c.isClosed = true
	c.mu.Unlock()
	if isStalled {
		return c.Conn.SetDeadline(time.Unix(0, 1))
	}
	c.unregister()
	return c.Conn.Close()
}

// SetReadDeadline fails on a closed end, so that the deadline by which Close
// interrupts Read remains.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	if _, isClosed := c.state(); isClosed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}
