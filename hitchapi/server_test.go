package hitchapi

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchclient"
	"citronhitch.example/citronhitch/hitchoutcome"
)

// A caller that checks the certificate reaches the router by TLS; one that trusts
// another authority, or none, doesn't.
func TestCallersByTLS(t *testing.T) {
	donor := httptest.NewTLSServer(nil)
	defer donor.Close()
	trusted := x509.NewCertPool()
	trusted.AddCert(donor.Certificate())
	server := &Server{Addr: "127.0.0.1:0", Handler: testHandler(t), Certificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &donor.TLS.Certificates[0], nil
	}}
	qt.Assert(t, server.Listen(), qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	tests := map[string]struct {
		tls *tls.Config
		ok  bool
	}{
		"trusted":           {&tls.Config{RootCAs: trusted}, true},
		"another authority": {&tls.Config{RootCAs: x509.NewCertPool()}, false},
		"in the clear":      {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client := hitchclient.Client{Entries: []string{server.ListenAddr()}, Key: "harbour's key", TLS: test.tls, Tries: 1}
			_, err := client.Lookup(context.Background(), "/boxoffice/slots")
			var problem *hitchclient.Problem
			answered := errors.As(err, &problem) && problem.Reason == hitchoutcome.ReasonNoEndpoint
			qt.Assert(t, answered, qt.Equals, test.ok, qt.Commentf("%v", err))
		})
	}
	qt.Assert(t, server.Stop(context.Background()), qt.IsNil)
	qt.Assert(t, <-served, qt.IsNil)
}
