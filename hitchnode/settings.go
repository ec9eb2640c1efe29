package hitchnode

import (
	"crypto/tls"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// Settings configure an instance at its start.
type Settings struct {
	ID     hitchfleet.InstanceID
	Region hitchfleet.Region
	Zone   hitchfleet.AvailabilityZone
	// Listen is the listen address for callers, as host:port.
	Listen string
	// Advertise is the address that callers are given; empty means Listen.
	Advertise string
	// PeerListen is the UDP listen address for other routers, as host:port.
	PeerListen string
	// Stores are the base addresses of the key-value service.
	Stores []string
	// ListURL is the base address of the platform's instance list.
	ListURL string
	// PeerKeys authenticate the instance to the other routers.
	PeerKeys func() hitchpeer.Keys
	// BookingSecrets sign booking keys.
	BookingSecrets func() hitchclaim.Secrets
	// FleetKeys authenticate configurations.
	FleetKeys hitchconfig.Keyring
	// Certificate returns the TLS certificate for callers; nil means no TLS.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// InactivityTimeoutMillis is how long a connection to an endpoint may go without
	// received data.
	InactivityTimeoutMillis int
	// GracePeriodMillis is how long a leaving router still accepts new requests from callers
	// with an outdated address response.
	GracePeriodMillis int
	// MaxConnections limits the open connections of callers.
	MaxConnections int
	// MemoryMegabytes is the memory of the process; 0 if unknown.
	MemoryMegabytes int
	// Quarantine sets when requests are refused, as engines crash at them.
	Quarantine hitchquarantine.Limits
	// IgnoreQuotas is set if endpoints may get more requests than they say they take.
	IgnoreQuotas bool
	Log          hclog.Logger
}

// DefaultGracePeriodMillis is used if Settings.GracePeriodMillis isn't set.
const DefaultGracePeriodMillis = 2_000
