package hitchpeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"

	"citronhitch.example/citronhitch/hitchfleet"
)

const alpn = "citronhitch-peer/1"

// curves are the key exchanges of handshakes. The hybrid ones with ML-KEM would
// add two kilobytes to each.
var curves = []tls.CurveID{tls.X25519, tls.CurveP256}

// errNoAuthorities says that no certificate authority was given.
var errNoAuthorities = errors.New("no certificate in the authorities' PEM text")

// Keys is what a router proves its identity with, as PEM text. The certificate
// must carry the router's InstanceID as a DNS name and be good for both client
// and server authentication. Authorities may hold several certificates, so that
// keys are rotated without a stop.
type Keys struct {
	Certificate string
	PrivateKey  string
	Authorities string
}

// Current returns the keys themselves. It serves as Node.Keys where keys don't
// change:
//
//	n := hitchpeer.Node{Keys: keys.Current}
func (k Keys) Current() Keys { return k }

// WithAuthorities returns a copy that accepts the given authorities besides its
// own.
func (k Keys) WithAuthorities(pem string) Keys {
	k.Authorities += "\n" + pem
	return k
}

func (k Keys) parse() (cert tls.Certificate, pool *x509.CertPool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchpeer: reading keys: %w", err)
		}
	}()
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(k.Authorities)) {
		return cert, nil, errNoAuthorities
	}
	cert, err = tls.X509KeyPair([]byte(k.Certificate), []byte(k.PrivateKey))
	return cert, pool, err
}

// keyring turns the current keys into TLS settings and parses them anew only
// when they change.
type keyring struct {
	mu   sync.Mutex
	keys Keys
	cert tls.Certificate
	pool *x509.CertPool
}

func (r *keyring) load(keys Keys) (tls.Certificate, *x509.CertPool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool != nil && keys == r.keys {
		return r.cert, r.pool, nil
	}
	cert, pool, err := keys.parse()
	if err != nil {
		return cert, nil, err
	}
	r.keys, r.cert, r.pool = keys, cert, pool
	return cert, pool, nil
}

func (r *keyring) serverConfig(keys func() Keys) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := r.load(keys())
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{alpn},
				Certificates:           []tls.Certificate{cert},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              pool,
				SessionTicketsDisabled: true,
				CurvePreferences:       curves,
			}, nil
		},
	}
}

func (r *keyring) clientConfig(keys func() Keys, to hitchfleet.InstanceID) (*tls.Config, error) {
	cert, pool, err := r.load(keys())
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		Certificates:           []tls.Certificate{cert},
		RootCAs:                pool,
		ServerName:             string(to),
		SessionTicketsDisabled: true,
		CurvePreferences:       curves,
	}, nil
}

// verifyPeer checks that the certificate of a TLS connection names the instance.
func verifyPeer(state tls.ConnectionState, id hitchfleet.InstanceID) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer showed no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(string(id))
}
