package hitchapi

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/net/netutil"
)

// Limits of connections.
const (
	headerLimit        = 5 * time.Second
	idleLimit          = 90 * time.Second
	DefaultHeaderBytes = 32 << 10
	DefaultConnections = 10_000
)

// Server listens for callers. The zero value listens in the clear on a port
// that the system picks.
type Server struct {
	Addr    string
	Handler http.Handler
	// Certificate returns the certificate to show; nil means no TLS.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// Connections bounds the open connections.
	Connections int

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
}

// Listen opens the address, so that Serve can't fail for it.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	n := s.Connections
	if n <= 0 {
		n = DefaultConnections
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = netutil.LimitListener(l, n)
	if s.Certificate != nil {
		s.listener = tls.NewListener(s.listener, &tls.Config{
			GetCertificate: s.Certificate,
			MinVersion:     tls.VersionTLS12,
			NextProtos:     []string{"http/1.1"},
		})
	}
	s.server = &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: headerLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    DefaultHeaderBytes,
	}
	return nil
}

// ListenAddr returns the address that Listen opened.
func (s *Server) ListenAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Serve answers until Stop. It returns nil after a graceful shutdown.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop lets the requests in flight end, until ctx is done.
func (s *Server) Stop(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Kill closes every connection at once, as a crash would.
func (s *Server) Kill() error {
	return s.server.Close()
}
