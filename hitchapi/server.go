package hitchapi

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"citronhitch.example/citronhitch/hitchserver"
)

// Limits for callers' connections.
const (
	headerReadTimeout     = 5 * time.Second
	idleTimeout           = 90 * time.Second
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
	// DefaultMaxConnections.
	MaxConnections int

	mu       sync.Mutex
	listener net.Listener
	server   *hitchserver.Server
}

// Listen opens the listening socket, so that an unusable address is reported
// before Serve is called.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	maxConnections := s.MaxConnections
	if maxConnections <= 0 {
		maxConnections = DefaultMaxConnections
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = netutil.LimitListener(listener, maxConnections)
	if s.Certificate != nil {
		s.listener = tls.NewListener(s.listener, &tls.Config{
			GetCertificate: s.Certificate,
			MinVersion:     tls.VersionTLS12,
			NextProtos:     []string{"http/1.1"},
		})
	}
	s.server = &hitchserver.Server{HTTP: http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
	}}
	return nil
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
