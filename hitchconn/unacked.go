package hitchconn

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Unacked returns how many bytes that were written to a TCP connection the other side hasn't acknowledged. It returns
// errors.ErrUnsupported for other connections, and an error if the connection is closed.
func Unacked(nc net.Conn) (n int64, err error) {
	raw, err := Raw(nc)
	if err != nil {
		return 0, err
	}
	var count int
	var ioctlErr error
	err = raw.Control(func(fd uintptr) { count, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return int64(count), errors.Join(err, ioctlErr)
}
