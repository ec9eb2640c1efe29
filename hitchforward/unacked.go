package hitchforward

import (
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
)

// Times of the watch over written bytes.
const (
	// unackedTimeout is how long the endpoint may acknowledge nothing of what was written before the
	// connection is reset, as its network path is then assumed to be unreachable. A sound
	// endpoint may be silent for two seconds.
	unackedTimeout = 3 * time.Second
	// unackedInterval is the time between two looks at what isn't acknowledged.
	unackedInterval = 500 * time.Millisecond
	// kernelUnackedTimeoutMilliseconds is after how long the kernel ends such a connection by itself,
	// whose request was answered or isn't watched.
	kernelUnackedTimeoutMilliseconds = 4_500
)

// errUnacked is the error of a connection whose endpoint acknowledges nothing.
var errUnacked error = unackedError{}

// unackedError is a net.Error, as a path that is unreachable shows by timeouts.
type unackedError struct{}

func (unackedError) Error() string   { return "the endpoint acknowledges nothing" }
func (unackedError) Timeout() bool   { return true }
func (unackedError) Temporary() bool { return false }

// resetOnClose makes the end of a connection, also that of the process, discard what the endpoint hasn't
// acknowledged. Otherwise a request that was given up may reach the endpoint seconds later, when a
// path that was cut works again. A connection is closed after its response, or is given up.
func resetOnClose(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// unackedWatch resets the connection of an exchange if the endpoint acknowledges nothing of the request for
// unackedTimeout. The kernel would only time out: what it has sent may then still arrive.
type unackedWatch struct {
	conn *conn

	mu        sync.Mutex
	timer     *time.Timer
	isStopped bool
	// seen is what was seen last, and resetAt when the connection is reset unless it changes.
	seen    sentBytes
	resetAt time.Time
}

// sentBytes are the bytes that were written to a connection, and those that the endpoint hasn't acknowledged.
type sentBytes struct{ written, unacked int64 }

// watchUnacked watches a connection until stop is called.
func watchUnacked(c *conn) (stop func()) {
	w := &unackedWatch{conn: c, seen: sentBytes{written: -1}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(unackedInterval, w.look)
	return w.stop
}

// stop ends the watch.
func (w *unackedWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
}

// look resets the connection if nothing has changed for too long.
func (w *unackedWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, sent := time.Now(), sentBytes{written: w.conn.written.Load()}
	var err error
	if sent.unacked, err = hitchconn.Unacked(w.conn.Conn); err != nil || w.isStopped {
		return // closed, not a TCP connection, or not watched any more
	}
	if sent != w.seen || sent.unacked == 0 {
		w.seen, w.resetAt = sent, now.Add(unackedTimeout-unackedInterval)
	}
	if !now.Before(w.resetAt) {
		w.conn.isUnacked.Store(true)
		_ = w.conn.Close()
		return
	}
	w.timer.Reset(unackedInterval)
}
