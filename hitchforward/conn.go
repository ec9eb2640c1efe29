package hitchforward

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
)

// Timeouts and limits of connections to endpoints.
const (
	// connectTimeout is how long establishing a connection may take.
	connectTimeout = 400 * time.Millisecond
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
	// defaultIdleTimeout is how long an idle connection is kept if its endpoint
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdleTimeout is how long an idle connection is kept at most.
	maxIdleTimeout = time.Minute
	// idleMargin is how long before the endpoint's Keep-Alive timeout an idle
	// connection is discarded.
	idleMargin = 300 * time.Millisecond
	// maxIdlePerEndpoint is the maximum number of idle connections per endpoint.
	maxIdlePerEndpoint = 64
)

// errStale is returned for an idle connection that can't be reused: the endpoint
// closed it, or sent bytes that belong to no request.
var errStale = errors.New("the idle connection can't be reused")

// conn is a connection to an endpoint that carries one exchange at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// limit is what br reads from.
	limit limitedReader
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleDeadline is until when the idle connection may be reused, and place where it is in the pool's order of them.
	idleDeadline time.Time
	place        *list.Element
	// wasUsed is set once a request is sent on the connection.
	wasUsed bool
	// carried are the IDs of the requests that were sent on the connection.
	carried carriedIDs
	// written is the number of bytes written, and isUnacked is set once the connection was closed as
	// the endpoint acknowledges nothing.
	written   atomic.Int64
	isUnacked atomic.Bool
}

// Write writes bytes of a request.
func (c *conn) Write(b []byte) (n int, err error) {
	n, err = c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// dial opens a connection.
func (p *ConnPool) dial(ctx context.Context, addr string) (*conn, error) {
	connect := p.Dial
	if connect == nil {
		connect = dialWatched
	}
	nc, err := connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// dialWatched opens a connection that detects an unreachable network path by itself.
func dialWatched(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) (err error) {
			ctlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, kernelUnackedTimeoutMilliseconds)
			})
			return errors.Join(ctlErr, err)
		},
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	resetOnClose(nc)
	return nc, err
}

func newConn(nc net.Conn) *conn {
	nc = hitchconn.CheckEnd(nc)
	c := &conn{Conn: nc, limit: limitedReader{Reader: nc}, openedAt: time.Now()}
	c.br = bufio.NewReaderSize(&c.limit, readBufferBytes)
	return c
}

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 2048

// checkIdle returns errStale if the connection was closed or holds bytes that
// belong to no request. It doesn't block.
func (c *conn) checkIdle() error {
	if c.br.Buffered() > 0 {
		return errStale
	}
	raw, err := hitchconn.Raw(c.Conn)
	if errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	if err != nil {
		return err
	}
	result := errStale
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if n < 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)) {
			result = nil
		}
		return true
	})
	return errors.Join(err, result)
}

// ConnPool is a pool of idle connections to endpoints. The zero value is ready to
// use. Its methods are safe for concurrent use.
type ConnPool struct {
	// Dial opens a TCP connection; nil means one that detects an unreachable network path by
	// itself. It is set before the first connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxIdle bounds the idle connections to all endpoints together; 0 means no bound.
	MaxIdle int

	mu   sync.Mutex
	idle map[string][]*conn
	// order holds the idle connections, the one that has been idle for longest first.
	order list.List

	bodyMemory bodyMemory

	// Dialed counts the connections that were opened.
	Dialed counter
}

// getIdle returns the most recently used idle connection that can be reused for a request with an ID,
// or nil. isRepeat is set if another one has carried the ID.
func (p *ConnPool) getIdle(now time.Time, addr, id string) (_ *conn, isRepeat bool) {
	for {
		c, hasCarried := p.popIdle(addr, id)
		isRepeat = isRepeat || hasCarried
		if c == nil {
			return nil, isRepeat
		}
		if now.Before(c.idleDeadline) && c.checkIdle() == nil {
			return c, isRepeat
		}
		_ = c.Close()
	}
}

// popIdle takes the most recently used idle connection that hasn't carried an ID, if there is one.
// hasCarried is set if one that was used later has.
func (p *ConnPool) popIdle(addr, id string) (_ *conn, hasCarried bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	for i, c := range slices.Backward(conns) {
		if !c.carried.contains(id) {
			p.idle[addr] = slices.Delete(conns, i, i+1)
			p.order.Remove(c.place)
			return c, hasCarried
		}
		hasCarried = true
	}
	return nil, hasCarried
}

// putIdle adds a connection to the pool until idleDeadline. If there are too many, the one that has been idle for longest is
// closed.
func (p *ConnPool) putIdle(addr string, c *conn, idleDeadline time.Time) {
	c.idleDeadline = idleDeadline
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[addr]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
	c.place = p.order.PushBack(idleConn{addr: addr, conn: c})
	if p.MaxIdle > 0 && p.order.Len() > p.MaxIdle {
		p.closeOldest()
	}
}

// closeOldest closes the connection that has been idle for longest. It is called with mu held.
func (p *ConnPool) closeOldest() {
	oldest := p.order.Remove(p.order.Front()).(idleConn)
	p.idle[oldest.addr] = slices.DeleteFunc(p.idle[oldest.addr], func(c *conn) bool { return c == oldest.conn })
	if len(p.idle[oldest.addr]) == 0 {
		delete(p.idle, oldest.addr)
	}
	_ = oldest.conn.Close()
}

// idleConn is an idle connection to an address.
type idleConn struct {
	addr string
	conn *conn
}

// CloseIdle closes the idle connections to an address that no endpoint uses any
// more, or whose network path is unreachable.
func (p *ConnPool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	for _, c := range conns {
		p.order.Remove(c.place)
	}
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections whose deadline has passed.
func (p *ConnPool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
				p.order.Remove(c.place)
			}
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// isTimeout reports whether an error is due to a passed deadline rather than a
// broken connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
