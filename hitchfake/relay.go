package hitchfake

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const relayBufferBytes = 32 << 10

// acceptRetryDelay is the delay after a connection that couldn't be accepted.
const acceptRetryDelay = 20 * time.Millisecond

// Relay forwards TCP connections to a target. It can stall the open connections
// while new ones work, as a middlebox does that has lost its connection state.
//
//	relay := hitchfake.Relay{Target: "127.0.0.1:9001"}
//	addr, err := relay.Listen("127.0.0.1:0")
//	relay.StallConnections()
type Relay struct {
	Target string

	mu         sync.Mutex
	listener   net.Listener
	conns      map[*relayedConn]struct{}
	resumed    chan struct{} // nil unless the relay is paused
	isClosed   bool
	goroutines sync.WaitGroup
}

// relayedConn is a client's connection and the relay's connection to the target.
type relayedConn struct {
	client net.Conn
	target net.Conn
	// stalled is closed once the connection has stalled, which is permanent.
	stalled chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// Listen starts the relay and returns its listen address.
func (r *Relay) Listen(addr string) (listening string, err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", r.Target, err)
	}
	r.mu.Lock()
	r.listener = listener
	r.conns = make(map[*relayedConn]struct{})
	r.mu.Unlock()
	r.goroutines.Go(func() { r.accept(listener) })
	return listener.Addr().String(), nil
}

// StallConnections stalls the open connections permanently, in both directions,
// without closing them.
func (r *Relay) StallConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.once.Do(func() { close(conn.stalled) })
	}
}

// Pause stops forwarding on all connections, including new ones, until Resume.
func (r *Relay) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resumed == nil {
		r.resumed = make(chan struct{})
	}
}

// Resume restarts forwarding after a Pause.
func (r *Relay) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resumed != nil {
		close(r.resumed)
		r.resumed = nil
	}
}

// Admin returns the handler of POST /silence, /pause and /resume.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	for path, do := range map[string]func(){"/silence": r.StallConnections, "/pause": r.Pause, "/resume": r.Resume} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			do()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return mux
}

// Close closes the listener and all connections.
func (r *Relay) Close() error {
	r.Resume()
	r.mu.Lock()
	r.isClosed = true
	var err error
	if r.listener != nil {
		err = r.listener.Close()
	}
	for conn := range r.conns {
		conn.close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
	return err
}

func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as for want of file descriptors
			time.Sleep(acceptRetryDelay)
			continue
		}
		r.goroutines.Go(func() { r.connect(client) })
	}
}

func (r *Relay) connect(client net.Conn) {
	target, err := net.Dial("tcp", r.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &relayedConn{client: client, target: target, stalled: make(chan struct{}), ended: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
	if r.isClosed {
		conn.close()
	}
	r.goroutines.Go(func() { r.copyData(conn, client, target) })
	r.goroutines.Go(func() { r.copyData(conn, target, client) })
}

// copyData copies one direction until either end closes its connection, and then
// closes both, unless the connection is stalled.
func (r *Relay) copyData(conn *relayedConn, from, to net.Conn) {
	buffer := make([]byte, relayBufferBytes)
	var err error
	for err == nil {
		var n int
		n, err = from.Read(buffer)
		if !r.waitWhilePaused(conn) {
			return
		}
		_, writeErr := to.Write(buffer[:n])
		err = errors.Join(err, writeErr)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	conn.close()
	delete(r.conns, conn)
}

// waitWhilePaused returns true once the relay isn't paused, or false if the
// connection has been closed. On a stalled connection it blocks until the
// connection is closed, and returns false.
func (r *Relay) waitWhilePaused(conn *relayedConn) bool {
	select {
	case <-conn.stalled:
		<-conn.ended
		return false
	default:
	}
	r.mu.Lock()
	resumed := r.resumed
	r.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return r.waitWhilePaused(conn)
	case <-conn.stalled:
		<-conn.ended
		return false
	case <-conn.ended:
		return false
	}
}

// close closes both connections. The caller must hold the relay's mu.
func (c *relayedConn) close() {
	select {
	case <-c.ended:
		return
	default:
	}
	close(c.ended)
	_ = c.client.Close()
	_ = c.target.Close()
}
