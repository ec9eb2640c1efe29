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
	"citronhitch.example/citronhitch/hitchserver"
)

// serveSettings holds the unvalidated flags of a router instance.
type serveSettings struct {
	protection                 protectionSettings
	id, region, zone           string
	address, advertise         string
	peerAddress                string
	stores                     []string
	list                       string
	peerCertificate            string
	peerKey, peerAuthority     string
	tlsCertificate, tlsKey     string
	bookingSecrets             []string
	fleetKeys                  []string
	silenceMillis, graceMillis int
	connections, memory        int
	stopSeconds                int
	logLevel                   string
}

// serveCommand returns the serve command, which runs one router instance.
func (p *program) serveCommand() command {
	var s serveSettings
	clause := p.app.Command("serve", "Run one router instance until an interrupt or SIGTERM, then stop gracefully.")
	s.addFlags(clause)
	return command{clause, func(ctx context.Context) error {
		settings, err := s.validate()
		if err != nil {
			return err
		}
		settings.Log = p.logger(s.logLevel)
		hitchserver.Megabytes(s.memory).LimitHeap()
		return p.serveNode(ctx, settings, time.Duration(s.stopSeconds)*time.Second)
	}}
}

func (s *serveSettings) addFlags(clause *kingpin.CmdClause) {
	clause.Flag("id", "The instance's name, unique in the fleet.").Required().StringVar(&s.id)
	clause.Flag("region", "The instance's region.").Required().StringVar(&s.region)
	clause.Flag("zone", "The instance's availability zone.").Required().StringVar(&s.zone)
	clause.Flag("address", "Listen address for callers, as host:port over TCP.").Default("127.0.0.1:8080").StringVar(&s.address)
	clause.Flag("advertise", "Address of this router in responses to callers, if it differs from --address.").StringVar(&s.advertise)
	clause.Flag("peer-address", "Listen address for other routers, as host:port over UDP.").Default("127.0.0.1:7946").StringVar(&s.peerAddress)
	clause.Flag("store", "Base address of the key-value service, such as http://10.0.0.5:2379; may be repeated.").Required().StringsVar(&s.stores)
	clause.Flag("list", "Base address of the platform's instance list.").Required().StringVar(&s.list)
	clause.Flag("peer-certificate", "PEM text of the certificate presented to other routers; it contains the instance's name.").Required().StringVar(&s.peerCertificate)
	clause.Flag("peer-key", "PEM text of that certificate's key.").Required().StringVar(&s.peerKey)
	clause.Flag("peer-authority", "PEM text of the authorities of other routers' certificates.").Required().StringVar(&s.peerAuthority)
	clause.Flag("tls-certificate", "PEM text of the certificate presented to callers; without it callers connect without TLS.").StringVar(&s.tlsCertificate)
	clause.Flag("tls-key", "PEM text of that certificate's key.").StringVar(&s.tlsKey)
	clause.Flag("booking-secret", "Secret that signs booking keys, 16 bytes or more; may be repeated: the first signs, all are accepted.").Required().StringsVar(&s.bookingSecrets)
	clause.Flag("fleet-key", "Key that authenticates configurations, as NAME=SECRET; may be repeated: the first signs, all are accepted.").Required().StringsVar(&s.fleetKeys)
	clause.Flag("silence-ms", "Inactivity timeout of a connection to an endpoint, in milliseconds.").Default("3000").IntVar(&s.silenceMillis)
	clause.Flag("grace-ms", "How long a router still accepts new requests after its shutdown has begun, in milliseconds.").Default("2000").IntVar(&s.graceMillis)
	clause.Flag("connections", "Number of connections that callers may have open at the same time.").Default("10000").IntVar(&s.connections)
	clause.Flag("memory-mb", "Memory of the process in MB, of which callers may take a part: a quarter each for connections and large headers, an eighth for long bodies. 0 means that it isn't known: 256 is divided, and the connections are as many as --connections allows.").Default("0").IntVar(&s.memory)
	clause.Flag("stop-seconds", "Timeout of a graceful shutdown, in seconds.").Default("600").IntVar(&s.stopSeconds)
	s.protection.addFlags(clause)
	clause.Flag("log-level", "trace, debug, info, warn or error.").Default("info").EnumVar(&s.logLevel, "trace", "debug", "info", "warn", "error")
}

// serveNode runs a node until ctx is done, and stops it gracefully.
func (p *program) serveNode(ctx context.Context, settings hitchnode.Settings, timeout time.Duration) error {
	node := &hitchnode.Node{Settings: settings}
	if err := node.Start(ctx); err != nil {
		return err
	}
	p.printf("Router=%s Address=%s PeerAddress=%s\n", settings.ID, node.Addr(), node.Instance().PeerAddr)
	if err := node.Wait(ctx); err != nil {
		node.Kill()
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	err := node.Stop(stopCtx)
	p.printf("Router=%s Stopped=%t\n", settings.ID, err == nil)
	return err
}

// Limits of the settings.
const (
	maxMillis      = 600_000
	maxConnections = 1_000_000
	maxMegabytes   = 1 << 20
	maxStopSeconds = 86_400
	minSecretBytes = 16
	maxNameBytes   = 128
)

// validate returns the settings of the node, or a *SettingError for the first invalid
// flag.
func (s *serveSettings) validate() (out hitchnode.Settings, err error) {
	for _, check := range []func() error{
		func() error { return checkName("id", s.id) },
		func() error { return checkName("region", s.region) },
		func() error { return checkName("zone", s.zone) },
		func() error { return checkAddress("address", s.address) },
		func() error { return checkAddress("advertise", valueOrDefault(s.advertise, s.address)) },
		func() error { return checkAddress("peer-address", s.peerAddress) },
		func() error { return checkURLs("store", s.stores) },
		func() error { return checkURLs("list", []string{s.list}) },
		func() error { return checkRange("silence-ms", s.silenceMillis, 1, maxMillis) },
		func() error { return checkRange("grace-ms", s.graceMillis, 1, maxMillis) },
		func() error { return checkRange("connections", s.connections, 1, maxConnections) },
		func() error { return checkRange("memory-mb", s.memory, 0, maxMegabytes) },
		func() error { return checkRange("stop-seconds", s.stopSeconds, 1, maxStopSeconds) },
		func() error { return checkSecrets("booking-secret", s.bookingSecrets) },
		func() error { return checkKeyPair("peer-certificate", s.peerCertificate, s.peerKey) },
		func() error { return checkAuthority("peer-authority", s.peerAuthority) },
	} {
		if err := check(); err != nil {
			return out, err
		}
	}
	out = hitchnode.Settings{
		ID: hitchfleet.InstanceID(s.id), Region: hitchfleet.Region(s.region), Zone: hitchfleet.AvailabilityZone(s.zone),
		Listen: s.address, Advertise: s.advertise, PeerListen: s.peerAddress,
		Stores: s.stores, ListURL: s.list,
		PeerKeys:                hitchpeer.Keys{Certificate: s.peerCertificate, PrivateKey: s.peerKey, Authorities: s.peerAuthority}.Current,
		InactivityTimeoutMillis: s.silenceMillis, GracePeriodMillis: s.graceMillis, MaxConnections: s.connections, MemoryMegabytes: s.memory,
	}
	if out.Quarantine, err = s.protection.validate(); err != nil {
		return out, err
	}
	out.IgnoreQuotas = s.protection.ignoreQuotas
	secrets := hitchclaim.Secrets{}.WithSigning([]byte(s.bookingSecrets[0]))
	for _, secret := range s.bookingSecrets[1:] {
		secrets = secrets.WithAccepted([]byte(secret))
	}
	out.BookingSecrets = func() hitchclaim.Secrets { return secrets }
	if out.FleetKeys, err = parseFleetKeys(s.fleetKeys); err != nil {
		return out, err
	}
	out.Certificate, err = s.callerCertificate()
	return out, err
}

// callerCertificate returns a function that returns the certificate for callers'
// connections, or nil if TLS is off.
func (s *serveSettings) callerCertificate() (func(*tls.ClientHelloInfo) (*tls.Certificate, error), error) {
	if s.tlsCertificate == "" && s.tlsKey == "" {
		return nil, nil
	}
	pair, err := tls.X509KeyPair([]byte(s.tlsCertificate), []byte(s.tlsKey))
	if err != nil {
		return nil, &SettingError{"tls-certificate", truncate(s.tlsCertificate), "PEM text that matches --tls-key: " + err.Error()}
	}
	return func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &pair, nil }, nil
}

// parseFleetKeys parses keys of the form NAME=SECRET.
func parseFleetKeys(texts []string) (keyring hitchconfig.Keyring, err error) {
	for _, text := range texts {
		name, secret, ok := strings.Cut(text, "=")
		if !ok || name == "" || len(secret) < minSecretBytes {
			return keyring, &SettingError{"fleet-key", "(hidden)", fmt.Sprintf("NAME=SECRET with a secret of %d bytes or more", minSecretBytes)}
		}
		keyring.Keys = append(keyring.Keys, hitchconfig.FleetKey{ID: name, Secret: []byte(secret)})
	}
	return keyring, nil
}

func checkName(flag, value string) error {
	if value == "" || len(value) > maxNameBytes || strings.ContainsAny(value, " \t\n/") {
		return &SettingError{flag, value, fmt.Sprintf("1 to %d characters without spaces and slashes", maxNameBytes)}
	}
	return nil
}

func checkAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || host != "" && net.ParseIP(host) == nil {
		return &SettingError{flag, value, "an IP address and a port, such as 10.0.0.7:8080"}
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return &SettingError{flag, value, "a port from 0 to 65535"}
	}
	return nil
}

func checkURLs(flag string, values []string) error {
	for _, value := range values {
		parsed, err := url.Parse(value)
		if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
			return &SettingError{flag, value, "an address such as http://10.0.0.5:2379"}
		}
	}
	return nil
}

func checkRange(flag string, n, minimum, maximum int) error {
	if n < minimum || n > maximum {
		return &SettingError{flag, fmt.Sprint(n), fmt.Sprintf("%d to %d", minimum, maximum)}
	}
	return nil
}

func checkSecrets(flag string, values []string) error {
	for _, value := range values {
		if len(value) < minSecretBytes {
			return &SettingError{flag, "(hidden)", fmt.Sprintf("%d bytes or more", minSecretBytes)}
		}
	}
	return nil
}

func checkKeyPair(flag, certificate, key string) error {
	if _, err := tls.X509KeyPair([]byte(certificate), []byte(key)); err != nil {
		return &SettingError{flag, truncate(certificate), "PEM text that matches its key: " + err.Error()}
	}
	return nil
}

func checkAuthority(flag, value string) error {
	if !x509.NewCertPool().AppendCertsFromPEM([]byte(value)) {
		return &SettingError{flag, truncate(value), "PEM text of one or more certificates"}
	}
	return nil
}

// truncate shortens a value, so that error messages contain neither long values nor
// complete secrets.
func truncate(value string) string {
	const maximum = 12
	if len(value) > maximum {
		return value[:maximum] + "..."
	}
	return value
}

func valueOrDefault(value, defaultValue string) string {
	if value == "" {
		return defaultValue
	}
	return value
}
