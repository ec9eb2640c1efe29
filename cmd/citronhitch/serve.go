package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"

	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchnode"
	"citronhitch.example/citronhitch/hitchpeer"
)

// serveSettings are the flags of a router instance, as they were given.
type serveSettings struct {
	id, region, zone       string
	address, advertise     string
	peerAddress            string
	stores                 []string
	list                   string
	peerCertificate        string
	peerKey, peerAuthority string
	tlsCertificate, tlsKey string
	bookingSecrets         []string
	fleetKeys              []string
	silence, grace         int
	connections            int
	stopSeconds            int
	level                  string
}

// serveCommand runs one router instance.
func (p *program) serveCommand() command {
	var s serveSettings
	clause := p.app.Command("serve", "Run one router instance until an interrupt or SIGTERM, then stop gracefully.")
	s.flags(clause)
	return command{clause, func(ctx context.Context) error {
		settings, err := s.check()
		if err != nil {
			return err
		}
		settings.Log = p.logger(s.level)
		return p.serveNode(ctx, settings, time.Duration(s.stopSeconds)*time.Second)
	}}
}

func (s *serveSettings) flags(clause *kingpin.CmdClause) {
	clause.Flag("id", "The instance's name, unique in the fleet.").Required().StringVar(&s.id)
	clause.Flag("region", "The instance's region.").Required().StringVar(&s.region)
	clause.Flag("zone", "The instance's availability zone.").Required().StringVar(&s.zone)
	clause.Flag("address", "Where callers connect, as host:port over TCP.").Default("127.0.0.1:8080").StringVar(&s.address)
	clause.Flag("advertise", "The address that callers are told, if it isn't --address.").StringVar(&s.advertise)
	clause.Flag("peer-address", "Where other routers connect, as host:port over UDP.").Default("127.0.0.1:7946").StringVar(&s.peerAddress)
	clause.Flag("store", "Base address of the key-value service, such as http://10.0.0.5:2379; may be repeated.").Required().StringsVar(&s.stores)
	clause.Flag("list", "Base address of the platform's instance list.").Required().StringVar(&s.list)
	clause.Flag("peer-certificate", "PEM text of the certificate shown to other routers; it names the instance.").Required().StringVar(&s.peerCertificate)
	clause.Flag("peer-key", "PEM text of that certificate's key.").Required().StringVar(&s.peerKey)
	clause.Flag("peer-authority", "PEM text of the authorities of other routers' certificates.").Required().StringVar(&s.peerAuthority)
	clause.Flag("tls-certificate", "PEM text of the certificate shown to callers; without it callers connect in the clear.").StringVar(&s.tlsCertificate)
	clause.Flag("tls-key", "PEM text of that certificate's key.").StringVar(&s.tlsKey)
	clause.Flag("booking-secret", "Secret that signs booking keys, 16 bytes or more; may be repeated: the first signs, all are accepted.").Required().StringsVar(&s.bookingSecrets)
	clause.Flag("fleet-key", "Key that proves where configurations come from, as NAME=SECRET; may be repeated: the first signs, all are accepted.").Required().StringsVar(&s.fleetKeys)
	clause.Flag("silence-ms", "How long an endpoint's connection may carry nothing, in milliseconds.").Default("3000").IntVar(&s.silence)
	clause.Flag("grace-ms", "How long a leaving router still takes new requests, in milliseconds.").Default("2000").IntVar(&s.grace)
	clause.Flag("connections", "The most open connections of callers.").Default("10000").IntVar(&s.connections)
	clause.Flag("stop-seconds", "How long a graceful shutdown may take, in seconds.").Default("600").IntVar(&s.stopSeconds)
	clause.Flag("log-level", "trace, debug, info, warn or error.").Default("info").EnumVar(&s.level, "trace", "debug", "info", "warn", "error")
}

// serveNode runs a node until ctx is done, and stops it gracefully.
func (p *program) serveNode(ctx context.Context, settings hitchnode.Settings, stopTime time.Duration) error {
	node := &hitchnode.Node{Settings: settings}
	if err := node.Start(ctx); err != nil {
		return err
	}
	p.printf("Router=%s Address=%s PeerAddress=%s\n", settings.ID, node.Addr(), node.Instance().PeerAddr)
	if err := node.Wait(ctx); err != nil {
		node.Kill()
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	err := node.Stop(stopCtx)
	p.printf("Router=%s Stopped=%t\n", settings.ID, err == nil)
	return err
}

// Bounds of the settings.
const (
	maxMillis      = 600_000
	maxConnections = 1_000_000
	maxStopSeconds = 86_400
	minSecretBytes = 16
	maxNameBytes   = 128
)

// check returns the settings of the node, or a *SettingError for the first one
// that can't be used.
func (s *serveSettings) check() (out hitchnode.Settings, err error) {
	for _, check := range []func() error{
		func() error { return wantName("id", s.id) },
		func() error { return wantName("region", s.region) },
		func() error { return wantName("zone", s.zone) },
		func() error { return wantAddress("address", s.address) },
		func() error { return wantAddress("advertise", orElse(s.advertise, s.address)) },
		func() error { return wantAddress("peer-address", s.peerAddress) },
		func() error { return wantURLs("store", s.stores) },
		func() error { return wantURLs("list", []string{s.list}) },
		func() error { return wantWithin("silence-ms", s.silence, 1, maxMillis) },
		func() error { return wantWithin("grace-ms", s.grace, 1, maxMillis) },
		func() error { return wantWithin("connections", s.connections, 1, maxConnections) },
		func() error { return wantWithin("stop-seconds", s.stopSeconds, 1, maxStopSeconds) },
		func() error { return wantSecrets("booking-secret", s.bookingSecrets) },
		func() error { return wantPair("peer-certificate", s.peerCertificate, s.peerKey) },
		func() error { return wantAuthority("peer-authority", s.peerAuthority) },
	} {
		if err := check(); err != nil {
			return out, err
		}
	}
	out = hitchnode.Settings{
		ID: hitchfleet.InstanceID(s.id), Region: hitchfleet.Region(s.region), Zone: hitchfleet.AvailabilityZone(s.zone),
		Listen: s.address, Advertise: s.advertise, PeerListen: s.peerAddress,
		Stores: s.stores, ListURL: s.list,
		PeerKeys:      hitchpeer.Keys{Certificate: s.peerCertificate, PrivateKey: s.peerKey, Authorities: s.peerAuthority}.Current,
		SilenceMillis: s.silence, GraceMillis: s.grace, Connections: s.connections,
	}
	secrets := hitchclaim.Secrets{}.WithSigning([]byte(s.bookingSecrets[0]))
	for _, secret := range s.bookingSecrets[1:] {
		secrets = secrets.WithAccepted([]byte(secret))
	}
	out.BookingSecrets = func() hitchclaim.Secrets { return secrets }
	if out.FleetKeys, err = fleetKeyring(s.fleetKeys); err != nil {
		return out, err
	}
	out.Certificate, err = s.callerCertificate()
	return out, err
}

// callerCertificate returns what shows the certificate to callers, or nil.
func (s *serveSettings) callerCertificate() (func(*tls.ClientHelloInfo) (*tls.Certificate, error), error) {
	if s.tlsCertificate == "" && s.tlsKey == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(s.tlsCertificate), []byte(s.tlsKey))
	if err != nil {
		return nil, &SettingError{"tls-certificate", shorten(s.tlsCertificate), "PEM text that fits --tls-key: " + err.Error()}
	}
	return func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &pair, nil }, nil
}

// fleetKeyring reads keys of the form NAME=SECRET.
func fleetKeyring(texts []string) (ring hitchconfig.Keyring, err error) {
	for _, text := range texts {
		name, secret, ok := strings.Cut(text, "=")
		if !ok || name == "" || len(secret) < minSecretBytes {
			return ring, &SettingError{"fleet-key", "(hidden)", fmt.Sprintf("NAME=SECRET with a secret of %d bytes or more", minSecretBytes)}
		}
		ring.Keys = append(ring.Keys, hitchconfig.FleetKey{ID: name, Secret: []byte(secret)})
	}
	return ring, nil
}

func wantName(flag, value string) error {
	if value == "" || len(value) > maxNameBytes || strings.ContainsAny(value, " \t\n/") {
		return &SettingError{flag, value, fmt.Sprintf("1 to %d characters without spaces and slashes", maxNameBytes)}
	}
	return nil
}

func wantAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || host != "" && net.ParseIP(host) == nil {
		return &SettingError{flag, value, "an IP number and a port, such as 10.0.0.7:8080"}
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return &SettingError{flag, value, "a port from 0 to 65535"}
	}
	return nil
}

func wantURLs(flag string, values []string) error {
	for _, value := range values {
		u, err := url.Parse(value)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return &SettingError{flag, value, "an address such as http://10.0.0.5:2379"}
		}
	}
	return nil
}

func wantWithin(flag string, n, least, most int) error {
	if n < least || n > most {
		return &SettingError{flag, fmt.Sprint(n), fmt.Sprintf("%d to %d", least, most)}
	}
	return nil
}

func wantSecrets(flag string, values []string) error {
	for _, value := range values {
		if len(value) < minSecretBytes {
			return &SettingError{flag, "(hidden)", fmt.Sprintf("%d bytes or more", minSecretBytes)}
		}
	}
	return nil
}

func wantPair(flag, certificate, key string) error {
	if _, err := tls.X509KeyPair([]byte(certificate), []byte(key)); err != nil {
		return &SettingError{flag, shorten(certificate), "PEM text that fits the key beside it: " + err.Error()}
	}
	return nil
}

func wantAuthority(flag, value string) error {
	if !x509.NewCertPool().AppendCertsFromPEM([]byte(value)) {
		return &SettingError{flag, shorten(value), "PEM text of one or more certificates"}
	}
	return nil
}

// shorten keeps long values and secrets out of error lines.
func shorten(value string) string {
	const most = 12
	if len(value) > most {
		return value[:most] + "..."
	}
	return value
}

func orElse(value, otherwise string) string {
	if value == "" {
		return otherwise
	}
	return value
}
