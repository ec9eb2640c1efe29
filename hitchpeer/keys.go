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

// curves are the key exchange mechanisms of TLS handshakes. The hybrid ones with
// ML-KEM would add two kilobytes to each handshake.
var curves = []tls.CurveID{tls.X25519, tls.CurveP256}

// errNoAuthorities is returned if Keys.Authorities holds no certificate.
var errNoAuthorities = errors.New("no certificate in the authorities' PEM text")

// Keys holds a router's certificate, its private key and the certificate authorities
// that it trusts, as PEM text. The certificate must have the router's InstanceID as
// a DNS name and allow both client and server authentication. Authorities may hold
// several certificates, so that keys can be rotated without a restart.
type Keys struct {
	Certificate string
	PrivateKey  string
	Authorities string
}

// Current returns the keys. It can be used as Node.Keys if the keys never change:
//
//	n := hitchpeer.Node{Keys: keys.Current}
func (k Keys) Current() Keys { return k }

// WithAuthorities returns a copy that trusts the given authorities as well.
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

// keyring builds TLS configurations from the current keys. It caches the parsed keys
// until they change.
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

// verifyPeer checks that the peer's certificate is valid for the instance's ID.
func verifyPeer(state tls.ConnectionState, id hitchfleet.InstanceID) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer showed no certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(string(id))
}
