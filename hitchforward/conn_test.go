package hitchforward

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchconn"
)

// TestConnectionOutlastsSilentEndpoint guards against connections that the kernel cuts
// while the machine of a sound endpoint acknowledges nothing for two seconds. The option
// is read back, as a test can't hold back acknowledgements.
func TestConnectionOutlastsSilentEndpoint(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	c, err := new(ConnPool).dial(t.Context(), l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	raw, err := hitchconn.Raw(c.Conn)
	qt.Assert(t, err, qt.IsNil)
	var ms int
	var optErr error
	err = raw.Control(func(fd uintptr) {
		ms, optErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, optErr, qt.IsNil)
	timeout := time.Duration(ms) * time.Millisecond
	qt.Assert(t, timeout > 2*time.Second && timeout < 5*time.Second, qt.IsTrue, qt.Commentf("%s", timeout))
}
