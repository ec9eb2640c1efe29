package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
	"golang.org/x/sys/unix"

	"citronhitch.example/citronhitch/hitchdev"
	"citronhitch.example/citronhitch/hitchfake"
)

// A crowd meets routers with these limits.
const (
	crowdMegabytes = 96
	crowdFds       = 600
	// crowdSpareFds are kept for endpoints, other routers and the store.
	crowdSpareFds = 100
)

// crowds returns the crowds of the own API by name.
func crowds(key string) map[string]hitchfake.Crowd {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n"
	service := strings.Replace(head, "/v1/chat/completions", "/services/boxoffice/slots", 1)
	return map[string]hitchfake.Crowd{
		"nothing":                     {Conns: 800},
		"one request, then nothing":   {Conns: 800, Start: "GET /v1/address HTTP/1.1\r\nHost: h\r\n\r\n"},
		"a body that never comes":     {Conns: 800, Start: head + "Content-Length: 9\r\n\r\n"},
		"lines":                       {Conns: 400, Start: service, LineBytes: 30000, End: "\r\n"},
		"lines without end of a head": {Conns: 400, Start: service, LineBytes: 30000},
		"a head without end":          {Conns: 100, Start: head, Unit: "a:\r\n"},
		"long bodies that stop":       {Conns: 250, Start: head + "Content-Length: 900000\r\n\r\n" + strings.Repeat("a", 800000)},
	}
}

// TestCrowd guards against clients outside all limits that make a router of the own API hold more memory or descriptors than its
// machine has, and whose ordinary callers get no answer. It runs apart from other tests.
func TestCrowd(t *testing.T) {
	program := buildProgram(t)
	through := func(_, addr string) string { return addr }
	var f *fleet
	var routers []*process // those that have met no crowd
	for name, c := range crowds(hitchdev.Kustakvariet().APIKey(0)) {
		if len(routers) == 0 {
			f = startFleetThrough(t, program, through, fmt.Sprintf("--memory-mb=%d", crowdMegabytes), "--connections=200")
			routers = f.routers
		}
		f.routers, routers = routers[:1], routers[1:]
		t.Run(name, func(t *testing.T) {
			limit := unix.Rlimit{Cur: crowdFds, Max: crowdFds}
			qt.Assert(t, unix.Prlimit(f.routers[0].cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil), qt.IsNil)
			leave := c.Join(f.routers[0].values["Address"])
			defer leave()
			f.checkLimits(t)
		})
	}
}

// checkLimits checks that the first router lives, that its memory and its descriptors are within their bounds, and that it serves.
func (f *fleet) checkLimits(t *testing.T) {
	megabytes, ok := peakMegabytes(t, f.routers[0])
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("the router has ended"))
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.routers[0].cmd.Process.Pid))
	qt.Assert(t, err, qt.IsNil)
	t.Logf("%d MB at the peak, %d descriptors", megabytes, len(fds))
	qt.Check(t, megabytes < crowdMegabytes, qt.IsTrue, qt.Commentf("%d MB", megabytes))
	qt.Check(t, len(fds) <= crowdFds-crowdSpareFds, qt.IsTrue, qt.Commentf("%d descriptors", len(fds)))
	qt.Check(t, f.callFor(t, 5*time.Second) > 0, qt.IsTrue)
}

// handshakeCrowd is how many handshakes are begun.
const handshakeCrowd = 2000

// deafConn is a socket that receives nothing.
type deafConn struct{ net.PacketConn }

// ReadFrom drops what arrives until the socket is closed.
func (c deafConn) ReadFrom(b []byte) (n int, from net.Addr, err error) {
	for err == nil {
		_, _, err = c.PacketConn.ReadFrom(b)
	}
	return 0, nil, err
}

// TestCrowdOfHandshakes guards against clients that begin very many QUIC handshakes at the port for other routers, and end none.
func TestCrowdOfHandshakes(t *testing.T) {
	f := startFleetThrough(t, buildProgram(t), func(_, addr string) string { return addr }, fmt.Sprintf("--memory-mb=%d", crowdMegabytes))
	addr, err := net.ResolveUDPAddr("udp", f.routers[0].values["PeerAddress"])
	qt.Assert(t, err, qt.IsNil)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	transport := quic.Transport{Conn: deafConn{socket}}
	defer func() { _ = transport.Close(); _ = socket.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	var clients sync.WaitGroup
	for range handshakeCrowd {
		clients.Go(func() {
			_, _ = transport.Dial(ctx, addr, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"citronhitch-peer/1"}}, &quic.Config{})
		})
	}
	clients.Wait()
	f.routers = f.routers[:1]
	f.checkLimits(t)
}
