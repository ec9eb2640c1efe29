package hitchconn

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// uploadBytes is more than the kernel takes without a reader.
const uploadBytes = 32 << 20

// TestResetThatAWriteGotIsNoEnd guards against parts of responses that pass for whole ones: the kernel reports a
// reset to the write of the request only, and the read sees a clean end (rule MIXED).
func TestResetThatAWriteGotIsNoEnd(t *testing.T) {
	tests := map[string]struct {
		// end ends the other side's connection once it has sent its response.
		end  func(c *net.TCPConn)
		want error
	}{
		"reset":                    {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, syscall.ECONNRESET},
		"closed with unread bytes": {func(c *net.TCPConn) { _ = c.Close() }, syscall.ECONNRESET},
		"ended, and read on": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.Copy(io.Discard, c)
		}, io.EOF},
		"ended, and closed later":    {func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond); _ = c.Close() }, io.EOF},
		"ended, and never read from": {func(c *net.TCPConn) { _ = c.CloseWrite() }, io.EOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				nc, written := dialWriting(t, test.end)
				got, err := readPart(nc, written)
				qt.Check(t, got, qt.Equals, "part")
				qt.Assert(t, err, qt.ErrorIs, test.want)
				_ = nc.Close()
			}
		})
	}
}

// dialWriting returns a connection that is written to, whose other side sends a part and then ends it. The channel
// is closed once the write has returned.
func dialWriting(t *testing.T, end func(c *net.TCPConn)) (net.Conn, <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		defer func() { _ = l.Close() }()
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, "part")
		end(c.(*net.TCPConn))
	}()
	nc, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	checked, written := CheckEnd(nc), make(chan struct{})
	go func() {
		defer close(written)
		_, _ = checked.Write(make([]byte, uploadBytes))
	}()
	return checked, written
}

// readPart reads until the end. If the connection breaks, it lets the write get the error first.
func readPart(nc net.Conn, written <-chan struct{}) (part string, err error) {
	b := make([]byte, 16)
	n, err := nc.Read(b)
	if err != nil {
		return "", err
	}
	select {
	case <-written:
	case <-time.After(100 * time.Millisecond):
	}
	_, err = nc.Read(b[n:])
	return string(b[:n]), err
}
