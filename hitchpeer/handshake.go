package hitchpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// Limits of the handshakes that others have begun and that haven't ended with a hello.
const (
	// maxQuickHandshakes is the number above which a client first has to show that it receives packets at its address.
	maxQuickHandshakes = 64
	// maxHandshakes is the number above which further ones are refused.
	maxHandshakes = 256
)

// errTooManyHandshakes refuses a connection.
var errTooManyHandshakes = errors.New("too many handshakes")

// handshakes counts those that others have begun. The zero value has none.
//
// Load pattern: clients that aren't routers begin very many handshakes, each of which takes the memory of a connection until it
// times out.
type handshakes struct {
	open atomic.Int64
}

// handshakeKey is the key of the function in a connection's context that ends its handshake.
type handshakeKey struct{}

// verifiesAddress reports whether a client has to show that it receives packets.
func (h *handshakes) verifiesAddress(net.Addr) bool { return h.open.Load() >= maxQuickHandshakes }

// begin begins a handshake, which ends at the latest with the context. It returns an error if there are too many.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.open.Add(1) > maxHandshakes {
		h.open.Add(-1)
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() { h.open.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// endHandshake ends the handshake of an accepted connection, whose router is known.
func endHandshake(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}
