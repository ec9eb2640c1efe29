package hitchforward

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// benchConn returns a connection whose other side acknowledges everything.
func benchConn(b *testing.B) *conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = l.Close() })
	nc, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = nc.Close() })
	return newConn(nc)
}

// BenchmarkWatchUnacked measures what the watch over unacknowledged bytes costs each exchange that ends
// before the first look.
func BenchmarkWatchUnacked(b *testing.B) {
	c := benchConn(b)
	b.ReportAllocs()
	for b.Loop() {
		watchUnacked(c)()
	}
}

// BenchmarkLookAtUnacked measures one look, of which an exchange has one each unackedInterval until its
// response begins.
func BenchmarkLookAtUnacked(b *testing.B) {
	w := &unackedWatch{conn: benchConn(b), timer: time.NewTimer(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		w.look()
	}
}
