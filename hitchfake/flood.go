package hitchfake

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// floodBlockBytes is how much a flood without pauses writes at a time.
	floodBlockBytes = 64 << 10
	// floodInterval is the pause of a slow flood.
	floodInterval = 20 * time.Millisecond
)

// Flood is a peer that answers each request with bytes without end.
//
//	flood := hitchfake.Flood{Start: "HTTP/1.1 200 OK\r\n", Unit: "A: a\r\n"}
//	addr, stop, err := hitchfake.ServeEach(func(c net.Conn) { flood.Serve(c, &hits) })
type Flood struct {
	// Start is written first, and Unit again and again after it.
	Start, Unit string
	// IDHeader names a header of the request, whose value replaces {id} in Start.
	IDHeader string
	// IsSlow is set if there is a pause of 20 ms before each unit.
	IsSlow bool
}

// Serve answers the first request of a connection until the connection is closed.
func (f Flood) Serve(c net.Conn, hits *FloodHits) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	hits.add(r.URL.Path)
	go func() { _, _ = io.Copy(io.Discard, r.Body) }()
	f.Start = strings.ReplaceAll(f.Start, "{id}", r.Header.Get(f.IDHeader))
	f.Send(c)
}

// Send writes Start and then units until the connection is closed.
func (f Flood) Send(c net.Conn) {
	block := []byte(f.Unit)
	if !f.IsSlow {
		block = []byte(strings.Repeat(f.Unit, 1+floodBlockBytes/len(f.Unit)))
	}
	_, err := io.WriteString(c, f.Start)
	for err == nil {
		if f.IsSlow {
			time.Sleep(floodInterval)
		}
		_, err = c.Write(block)
	}
}

// FloodHits counts the requests that floods answered, by path. The zero value has none.
type FloodHits struct {
	mu     sync.Mutex
	counts map[string]int
}

func (h *FloodHits) add(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = make(map[string]int)
	}
	h.counts[path]++
}

// Take returns the counts and begins anew.
func (h *FloodHits) Take() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer func() { h.counts = nil }()
	return h.counts
}

// FloodablePath forwards TCP connections to a target, unless a flood takes its place. The zero value with Target
// set forwards.
type FloodablePath struct {
	Target string
	Hits   *FloodHits

	mu    sync.Mutex
	flood *Flood
	conns map[net.Conn]struct{}
}

// SetFlood replaces the target with a flood, or restores it if flood is nil. Open connections are closed.
func (p *FloodablePath) SetFlood(flood *Flood) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flood = flood
	for c := range p.conns {
		_ = c.Close()
	}
}

// Serve forwards or floods a connection until it is closed.
func (p *FloodablePath) Serve(c net.Conn) {
	flood := p.add(c)
	defer p.remove(c)
	if flood != nil {
		flood.Serve(c, p.Hits)
		return
	}
	target, err := net.Dial("tcp", p.Target)
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(target, c); _ = target.Close() }()
	_, _ = io.Copy(c, target)
}

func (p *FloodablePath) add(c net.Conn) *Flood {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[net.Conn]struct{})
	}
	p.conns[c] = struct{}{}
	return p.flood
}

func (p *FloodablePath) remove(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// ServeEach calls serve for each connection to a free loopback port, whose address it returns, until stop is called.
func ServeEach(serve func(net.Conn)) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go serve(c)
			}
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }, nil
}
