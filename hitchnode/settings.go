package hitchnode

import (
	"crypto/tls"

	"github.com/hashicorp/go-hclog"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
)

// Settings are what an instance learns at its start.
type Settings struct {
	ID     hitchfleet.InstanceID
	Region hitchfleet.Region
	Zone   hitchfleet.AvailabilityZone
	// Listen is where callers connect, as host:port.
	Listen string
	// Advertise is the address that callers are told; empty means Listen.
	Advertise string
	// PeerListen is where other routers connect, as host:port over UDP.
	PeerListen string
	// Stores are the base addresses of the key-value service.
	Stores []string
	// ListURL is the base address of the platform's instance list.
	ListURL string
	// PeerKeys prove the instance to the other routers.
	PeerKeys func() hitchpeer.Keys
	// BookingSecrets sign booking keys.
	BookingSecrets func() hitchclaim.Secrets
	// FleetKeys prove where configurations come from.
	FleetKeys hitchconfig.Keyring
	// Certificate returns the certificate shown to callers; nil means no TLS.
	Certificate func(*tls.ClientHelloInfo) (*tls.Certificate, error)
	// SilenceMillis is how long an endpoint's connection may stay silent.
	SilenceMillis int
	// GraceMillis is how long a leaving router goes on to take new requests from
	// callers with an old address answer.
	GraceMillis int
	// Connections bounds the open connections of callers.
	Connections int
	Log         hclog.Logger
}

// DefaultGraceMillis is the grace of a leaving router where none is set.
const DefaultGraceMillis = 2_000
