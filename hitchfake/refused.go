package hitchfake

import (
	"fmt"
	"net/netip"
	"syscall"
)

// ReserveAddr reserves a loopback address at which connections are refused, until it is
// released. A port that was closed could be assigned to another listener.
func ReserveAddr() (addr string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("reserve an address: %w", err)
	}
	release = func() { _ = syscall.Close(fd) }
	defer func() {
		if err != nil {
			release()
			err = fmt.Errorf("reserve an address: %w", err)
		}
	}()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", nil, err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", nil, err
	}
	port := bound.(*syscall.SockaddrInet4).Port
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String(), release, nil
}
