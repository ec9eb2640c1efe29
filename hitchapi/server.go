package hitchapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sys/unix"

	"citronhitch.example/citronhitch/hitchserver"
)

// Limits for callers' connections.
const (
	headMilliseconds      = 5_000
	idleMilliseconds      = 90_000
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxConnections = 10_000
)

// Server is the HTTP server for callers. The zero value listens without TLS on a
// port that the operating system assigns.
type Server struct {
	Addr    string
	Handler http.Handler
	// Certificate returns the server's certificate; nil disables TLS.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// MaxConnections is the maximum number of open connections; 0 means
	// DefaultMaxConnections. There are fewer if the memory or the descriptors don't allow
	// as many.
	MaxConnections int
	// Memory is that of the process, of which callers may take a part.
	Memory hitchserver.Memory

	mu       sync.Mutex
	listener net.Listener
	server   *hitchserver.Server
	heads    hitchserver.HeadBudget
}

// Listen opens the listening socket, so that an unusable address is reported
// before Serve is called.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	if s.Certificate != nil {
		s.listener = tls.NewListener(s.listener, &tls.Config{
			GetCertificate: s.Certificate,
			MinVersion:     tls.VersionTLS12,
			NextProtos:     []string{"http/1.1"},
		})
	}
	s.heads.Bytes = s.Memory.HeadBytes()
	s.server = &hitchserver.Server{
		HTTP:     http.Server{Handler: s.Handler},
		Limits:   hitchserver.Limits{HeadBytes: DefaultMaxHeaderBytes, HeadMilliseconds: headMilliseconds, IdleMilliseconds: idleMilliseconds},
		MaxConns: s.maxConns(),
		Heads:    &s.heads,
		// Only reads act before their body, if they have one, is read.
		ReadsWholeBodies: true,
	}
	return nil
}

// maxConns returns the number of connections that the settings, the memory and the descriptors allow. Half of the
// descriptors are kept for endpoints and other connections.
func (s *Server) maxConns() int {
	n := s.MaxConnections
	if n <= 0 {
		n = DefaultMaxConnections
	}
	if s.Memory > 0 {
		n = min(n, s.Memory.Conns())
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		n = int(min(uint64(n), limit.Cur/2))
	}
	return max(n, 1)
}

// ListenAddr returns the address of the listening socket.
func (s *Server) ListenAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Serve serves requests until Stop or Kill, and then returns nil.
func (s *Server) Serve() error { return s.server.Serve(s.listener) }

// Stop shuts the server down gracefully: it waits until each request that was read has
// its response or ctx is done.
func (s *Server) Stop(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Kill closes all connections immediately, as in a crash.
func (s *Server) Kill() error {
	return s.server.Close()
}
