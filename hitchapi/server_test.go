package hitchapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// TestServerTLS checks that a client that trusts the certificate's authority
// reaches the router, and that a client with another authority or without TLS
// doesn't.
func TestServerTLS(t *testing.T) {
	certificateSource := httptest.NewTLSServer(nil)
	defer certificateSource.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(certificateSource.Certificate())
	server := &Server{Addr: "127.0.0.1:0", Handler: newTestHandler(t), Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &certificateSource.TLS.Certificates[0], nil
	}}
	qt.Assert(t, server.Listen(), qt.IsNil)
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve() }()
	tests := map[string]struct {
		tls         *tls.Config
		isReachable bool
	}{
		"trusted authority": {&tls.Config{RootCAs: trusted}, true},
		"another authority": {&tls.Config{RootCAs: x509.NewCertPool()}, false},
		"without TLS":       {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client := hitchclient.Client{Routers: []string{server.ListenAddr()}, Key: "harbour's key", TLS: test.tls, MaxAttempts: 1}
			_, err := client.Lookup(context.Background(), "/boxoffice/slots")
			var problem *hitchclient.Problem
			isReachable := errors.As(err, &problem) && problem.Reason == hitchoutcome.ReasonNoEndpoint
			qt.Assert(t, isReachable, qt.Equals, test.isReachable, qt.Commentf("%v", err))
		})
	}
	qt.Assert(t, server.Stop(context.Background()), qt.IsNil)
	qt.Assert(t, <-serveResult, qt.IsNil)
}

// TestUnusedConnectionDoesNotDelayStop covers a caller that opened a connection and has
// sent nothing on it while the server stops.
func TestUnusedConnectionDoesNotDelayStop(t *testing.T) {
	server := &Server{Addr: "127.0.0.1:0", Handler: newTestHandler(t)}
	qt.Assert(t, server.Listen(), qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	c, err := net.Dial("tcp", server.ListenAddr())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	// A response on another connection shows that the first one was accepted, too.
	res, err := http.Get("http://" + server.ListenAddr() + "/")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, res.Body.Close(), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	qt.Assert(t, server.Stop(ctx), qt.IsNil)
	qt.Assert(t, <-served, qt.IsNil)
}
