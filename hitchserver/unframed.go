package hitchserver

import (
	"net"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchconn"
)

// Times of the end of a response that isn't whole.
const (
	// maxAckWait is how long the caller's acknowledgement of the first bytes is awaited.
	maxAckWait      = 200 * time.Millisecond
	ackPollInterval = 5 * time.Millisecond
)

// unframedResponse is a response whose end may be that of its connection, as HTTP/1.0 has no chunks. Until it is whole,
// the end of the connection, also that of the process, is a reset. Before the caller has a part of the response
// it isn't: a reset without a response says that the request wasn't read. The zero value is none.
type unframedResponse struct {
	mu sync.Mutex
	// tcp is the connection while the response isn't whole, and written is how many bytes of it were written.
	tcp     *net.TCPConn
	written int64
	isReset bool
}

// begin begins a response.
func (u *unframedResponse) begin(nc net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tcp, _ = nc.(*net.TCPConn)
	u.written, u.isReset = 0, false
}

// end notes that all of the response was written.
func (u *unframedResponse) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tcp != nil && u.isReset {
		_ = u.tcp.SetLinger(-1) // the default: what was written is still sent
	}
	u.tcp = nil
}

// add counts written bytes.
func (u *unframedResponse) add(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.written += int64(n)
}

// resetOnClose makes the end of the connection a reset once the caller has a part of the response. It returns
// false while that isn't acknowledged.
func (u *unframedResponse) resetOnClose() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tcp == nil || u.isReset || u.written == 0 {
		return true
	}
	unacked, err := hitchconn.Unacked(u.tcp)
	if err != nil || unacked < u.written {
		u.isReset = u.tcp.SetLinger(0) == nil
		return true
	}
	return false
}

// awaitAck waits until the caller has a part of the response.
func (u *unframedResponse) awaitAck() {
	for until := time.Now().Add(maxAckWait); !u.resetOnClose() && time.Now().Before(until); {
		time.Sleep(ackPollInterval)
	}
}
