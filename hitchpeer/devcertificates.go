package hitchpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// devValidity is how long development certificates are valid.
const devValidity = 30 * 24 * time.Hour

// DevCertificates is an in-memory certificate authority for development and tests.
// The zero value creates its root certificate at the first use:
//
//	var authority hitchpeer.DevCertificates
//	keys, err := authority.Issue("router-1", time.Now())
//	n := &hitchpeer.Node{Keys: keys.Current}
//
// It isn't safe for concurrent use.
type DevCertificates struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

// Issue returns a certificate and key for a router, valid from one hour before now.
func (d *DevCertificates) Issue(id hitchfleet.InstanceID, now time.Time) (keys Keys, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchpeer: issuing a certificate for %s: %w", id, err)
		}
	}()
	if err := d.init(now); err != nil {
		return Keys{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Keys{}, err
	}
	template := devTemplate(string(id), now)
	template.DNSNames = []string{string(id)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, d.cert, &key.PublicKey, d.key)
	if err != nil {
		return Keys{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Keys{}, err
	}
	return Keys{
		Certificate: encodePEM("CERTIFICATE", der),
		PrivateKey:  encodePEM("PRIVATE KEY", keyDER),
		Authorities: d.pem,
	}, nil
}

func (d *DevCertificates) init(now time.Time) error {
	if d.cert != nil {
		return nil
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := devTemplate("citronhitch development authority", now)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return err
	}
	d.cert, d.key, d.pem = cert, key, encodePEM("CERTIFICATE", der)
	return nil
}

func devTemplate(name string, now time.Time) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(devValidity),
	}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}
