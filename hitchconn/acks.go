package hitchconn

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Unacked returns how many bytes that were written to a TCP connection the other side hasn't acknowledged. It returns
// errors.ErrUnsupported for other connections, and an error if the connection is closed.
func Unacked(nc net.Conn) (n int64, err error) {
	count := 0
	err = control(nc, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return int64(count), err
}

// Acks returns how many bytes of a TCP connection the other side has acknowledged, and how many that were written it
// hasn't. Its errors are those of Unacked.
func Acks(nc net.Conn) (acked uint64, unacked int64, err error) {
	if unacked, err = Unacked(nc); err != nil {
		return 0, 0, err
	}
	info, err := tcpInfo(nc)
	if err != nil {
		return 0, 0, err
	}
	return info.Bytes_acked, unacked, nil
}

// tcpInfo returns what the kernel tells of a TCP connection.
func tcpInfo(nc net.Conn) (info *unix.TCPInfo, err error) {
	err = control(nc, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// control calls f with the file descriptor of a connection, and returns its error.
func control(nc net.Conn, f func(fd int) error) error {
	raw, err := Raw(nc)
	if err != nil {
		return err
	}
	var fErr error
	err = raw.Control(func(fd uintptr) { fErr = f(int(fd)) })
	return errors.Join(err, fErr)
}
