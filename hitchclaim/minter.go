package hitchclaim

import (
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

const (
	// KeyTTL is the time from minting to a key's deadline.
	KeyTTL = 15 * time.Minute
	// MaxKeyTTL is the maximum time from minting to a key's deadline. Only keys that
	// are bound to a caller's own key live that long.
	MaxKeyTTL = BindingTTL
	// MaxClockSkew is the maximum difference between the clocks of two instances.
	MaxClockSkew = time.Minute
)

// Minter mints keys. Any router may mint keys for any home.
//
//	minter := hitchclaim.Minter{Secrets: secrets}
//	home := hitchclaim.PickHome(hitchclaim.Homes(live), self.Region, seed)
//	text, key, err := minter.Mint(now, hitchclaim.HomeOf(home), organisation, route)
type Minter struct {
	Secrets Secrets
	Policy  JournalPolicy
	// Entropy is the source of randomness for nonces. Nil means crypto/rand.
	Entropy io.Reader
}

// WithPolicy returns a copy that mints keys with the given journal policy.
func (m Minter) WithPolicy(p JournalPolicy) Minter {
	m.Policy = p
	return m
}

// WithSecrets returns a copy that signs keys with the given secrets.
func (m Minter) WithSecrets(s Secrets) Minter {
	m.Secrets = s
	return m
}

// Mint returns a new key whose deadline is KeyTTL from now, and its text.
func (m Minter) Mint(now time.Time, home HomeID, organisation hitchfleet.OrganisationID, route hitchfleet.RouteID) (text string, k Key, err error) {
	return m.MintUntil(now, now.Add(KeyTTL), home, organisation, route)
}

// MintUntil returns a new key with the given deadline, and its text. The deadline is
// limited to MaxKeyTTL from now.
func (m Minter) MintUntil(now, deadline time.Time, home HomeID, organisation hitchfleet.OrganisationID, route hitchfleet.RouteID) (text string, k Key, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mint key for %s: %w", home, err)
		}
	}()
	entropy := m.Entropy
	if entropy == nil {
		entropy = rand.Reader
	}
	nonce, err := ulid.New(ulid.Timestamp(now), entropy)
	if err != nil {
		return "", Key{}, err
	}
	if latest := now.Add(MaxKeyTTL); deadline.After(latest) {
		deadline = latest
	}
	k = Key{
		Home:         home,
		Organisation: organisation,
		Route:        route,
		Deadline:     deadline.UTC().Truncate(time.Millisecond),
		Policy:       m.Policy,
		Nonce:        nonce,
	}
	text, err = m.Secrets.Sign(k)
	return text, k, err
}
