package hitchforward

import (
	"net"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleConnsAreBounded guards against idle connections that use up the descriptors: those to each endpoint are few, but there may
// be hundreds of endpoints. The one that has been idle for longest is closed.
func TestIdleConnsAreBounded(t *testing.T) {
	p := ConnPool{MaxIdle: 4}
	var conns []*conn
	put := func(n int) {
		nc, _ := net.Pipe()
		conns = append(conns, newConn(nc))
		p.putIdle(strconv.Itoa(n%3), conns[len(conns)-1], time.Now().Add(time.Minute))
	}
	for n := range 4 {
		put(n)
	}
	c, _ := p.popIdle("0", "id") // the newest one, number 3
	qt.Assert(t, c, qt.Equals, conns[3])
	put(4)
	put(5)
	qt.Assert(t, p.order.Len(), qt.Equals, 4)
	isClosed := func(c *conn) bool { return c.SetDeadline(time.Now()) != nil }
	for n, c := range conns {
		qt.Check(t, isClosed(c), qt.Equals, n == 0, qt.Commentf("%d", n))
	}
	p.CloseIdle("1")
	p.CloseExpired(time.Now().Add(time.Hour))
	qt.Assert(t, p.order.Len(), qt.Equals, 0)
	qt.Assert(t, p.idle, qt.HasLen, 0)
}
