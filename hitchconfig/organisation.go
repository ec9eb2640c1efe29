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
	// Keys are the API keys in use; during a rotation there are several.
	Keys []APIKey
	// ShareWeight is the organisation's part of a full endpoint, relative to the
	// weights of the others that want it.
	ShareWeight int
	// PriorityCeiling is the highest priority that its requests may ask for.
	PriorityCeiling int
	// Routes are those that it may call, sorted.
	Routes []hitchfleet.RouteID
}

// MayCall tells whether the organisation may call a route.
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

// APIKey is a key of an organisation or an operator. The key itself is kept
// nowhere.
type APIKey struct {
	Hash KeyHash
	// NotAfter ends the key. The zero time means no end.
	NotAfter time.Time
}

// IsValid tells whether the key is in use at a time.
func (k APIKey) IsValid(now time.Time) bool {
	return k.NotAfter.IsZero() || now.Before(k.NotAfter)
}

// KeyHash is the SHA-256 of an API key. Keys are random with 256 bits, so a
// slow hash would add nothing: they can't be guessed from their hash.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which an API key is kept.
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

// String returns the first digits of the hash, enough to tell keys apart.
func (h KeyHash) String() string { return hex.EncodeToString(h[:4]) }
