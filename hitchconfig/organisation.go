package hitchconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Organisation is a customer.
type Organisation struct {
	ID hitchfleet.OrganisationID
	// Keys are the current API keys; during a rotation there are several.
	Keys []APIKey
	// ShareWeight is the organisation's share of a fully loaded endpoint, relative to
	// the weights of the other organisations that compete for it.
	ShareWeight int
	// PriorityCeiling is the highest priority that its requests may have.
	PriorityCeiling int
	// Routes are the routes that it may call, sorted.
	Routes []hitchfleet.RouteID
}

// MayCall reports whether the organisation may call a route.
func (o Organisation) MayCall(id hitchfleet.RouteID) bool {
	_, ok := slices.BinarySearch(o.Routes, id)
	return ok
}

// WithKeys returns a copy with other API keys.
func (o Organisation) WithKeys(keys []APIKey) Organisation {
	o.Keys = slices.Clone(keys)
	return o
}

func (o Organisation) name() string { return string(o.ID) }

// APIKey is a key of an organisation or an operator. Only the hash is stored.
type APIKey struct {
	Hash KeyHash
	// NotAfter is the time at which the key expires. The zero time means that it
	// doesn't expire.
	NotAfter time.Time
}

// IsValid reports whether the key is not yet expired at the given time.
func (k APIKey) IsValid(now time.Time) bool {
	return k.NotAfter.IsZero() || now.Before(k.NotAfter)
}

// KeyHash is the SHA-256 of an API key. Keys have 256 random bits and can't be guessed
// from their hash, so a slow hash function isn't needed.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText writes the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText reads a hash in hexadecimal.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("hitchconfig: key hash has %d digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("hitchconfig: key hash: %w", err)
	}
	return nil
}

// String returns the first digits of the hash, enough to distinguish keys.
func (h KeyHash) String() string { return hex.EncodeToString(h[:4]) }
