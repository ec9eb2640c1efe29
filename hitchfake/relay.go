package hitchfake

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
)

const relayBufferBytes = 32 << 10

// Relay passes TCP connections on to a target. Open connections can be made
// silent while new ones work, as if something between the two ends had lost track
// of them.
//
//	relay := hitchfake.Relay{Target: "127.0.0.1:9001"}
//	addr, err := relay.Listen("127.0.0.1:0")
//	relay.Silence()
type Relay struct {
	Target string

	mu       sync.Mutex
	listener net.Listener
	links    map[*relayLink]struct{}
	resumed  chan struct{} // nil unless the relay is paused
	closed   bool
	running  sync.WaitGroup
}

// relayLink is a connection with its continuation to the target.
type relayLink struct {
	near net.Conn
	far  net.Conn
	// silent is closed once the link is silent for good.
	silent chan struct{}
	ended  chan struct{}
	once   sync.Once
}

// Listen starts the relay and returns its address.
func (r *Relay) Listen(addr string) (listening string, err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("relay to %s: %w", r.Target, err)
	}
	r.mu.Lock()
	r.listener = listener
	r.links = make(map[*relayLink]struct{})
	r.mu.Unlock()
	r.running.Go(func() { r.accept(listener) })
	return listener.Addr().String(), nil
}

// Silence stops the open connections for good, in both directions, without
// closing them.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.links {
		link.once.Do(func() { close(link.silent) })
	}
}

// Pause holds back everything, of new connections too, until Resume.
func (r *Relay) Pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resumed == nil {
		r.resumed = make(chan struct{})
	}
}

// Resume ends a Pause.
func (r *Relay) Resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resumed != nil {
		close(r.resumed)
		r.resumed = nil
	}
}

// Admin serves POST /silence, /pause and /resume.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	for path, do := range map[string]func(){"/silence": r.Silence, "/pause": r.Pause, "/resume": r.Resume} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			do()
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return mux
}

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	r.Resume()
	r.mu.Lock()
	r.closed = true
	var err error
	if r.listener != nil {
		err = r.listener.Close()
	}
	for link := range r.links {
		link.end()
	}
	r.mu.Unlock()
	r.running.Wait()
	return err
}

func (r *Relay) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.connect(near) })
	}
}

func (r *Relay) connect(near net.Conn) {
	far, err := net.Dial("tcp", r.Target)
	if err != nil {
		_ = near.Close()
		return
	}
	link := &relayLink{near: near, far: far, silent: make(chan struct{}), ended: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[link] = struct{}{}
	if r.closed {
		link.end()
	}
	r.running.Go(func() { r.pass(link, near, far) })
	r.running.Go(func() { r.pass(link, far, near) })
}

// pass copies one direction until an end closes, and then ends both unless the
// link is silent.
func (r *Relay) pass(link *relayLink, from, to net.Conn) {
	buffer := make([]byte, relayBufferBytes)
	var err error
	for err == nil {
		var n int
		n, err = from.Read(buffer)
		if !r.gate(link) {
			return
		}
		_, writeErr := to.Write(buffer[:n])
		err = errors.Join(err, writeErr)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	link.end()
	delete(r.links, link)
}

// gate waits out a pause. It fails once the link has ended, and for a silent
// link only then.
func (r *Relay) gate(link *relayLink) bool {
	select {
	case <-link.silent:
		<-link.ended
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
		return r.gate(link)
	case <-link.silent:
		<-link.ended
		return false
	case <-link.ended:
		return false
	}
}

// end closes both connections. The relay's lock guards it.
func (l *relayLink) end() {
	select {
	case <-l.ended:
		return
	default:
	}
	close(l.ended)
	_ = l.near.Close()
	_ = l.far.Close()
}
