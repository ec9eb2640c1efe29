package hitchclaim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// KeyID identifies a key in homes and journals. It is the first 16 bytes of the
// SHA-256 of the key's signed payload.
type KeyID [16]byte

// String returns the ID in hexadecimal.
func (id KeyID) String() string { return hex.EncodeToString(id[:]) }

// ParseKeyID parses an ID in hexadecimal.
func ParseKeyID(text string) (id KeyID, err error) {
	if len(text) != hex.EncodedLen(len(id)) {
		return id, fmt.Errorf("parse key ID: %d characters, want %d", len(text), hex.EncodedLen(len(id)))
	}
	if _, err := hex.Decode(id[:], []byte(text)); err != nil {
		return KeyID{}, fmt.Errorf("parse key ID: %w", err)
	}
	return id, nil
}

// HomeID identifies the only process that may run a key's call: a router instance
// in one incarnation.
type HomeID struct {
	Instance    hitchfleet.InstanceID
	Incarnation uint64
}

// String returns the instance and its incarnation, such as router-3@17.
func (h HomeID) String() string { return fmt.Sprintf("%s@%d", h.Instance, h.Incarnation) }

// HomeOf returns the HomeID of an instance.
func HomeOf(i hitchfleet.Instance) HomeID {
	return HomeID{Instance: i.ID, Incarnation: i.Incarnation}
}

// Key is a signed idempotency key, which permits one run of one non-idempotent
// call.
//
//	key, err := secrets.Parse(text)
//	err = key.CheckScope(organisation, route)
//	isLocal := key.Home == self
type Key struct {
	Home         HomeID
	Organisation hitchfleet.OrganisationID
	Route        hitchfleet.RouteID
	// Deadline is the time after which the call must not be dispatched, with a
	// resolution of one millisecond.
	Deadline time.Time
	Policy   JournalPolicy
	// Nonce makes the key unique and contains the time of minting.
	Nonce ulid.ULID
}

// MintedAt returns the time of minting, with a resolution of one millisecond.
func (k Key) MintedAt() time.Time { return ulid.Time(k.Nonce.Time()).UTC() }

// ID returns the key's identifier.
func (k Key) ID() KeyID { return keyIDFromPayload(k.payload()) }

// CheckScope returns a *KeyError if the key was minted for another organisation or
// another route.
func (k Key) CheckScope(organisation hitchfleet.OrganisationID, route hitchfleet.RouteID) error {
	switch {
	case k.Organisation != organisation:
		return &KeyError{Fault: KeyWrongOrganisation}
	case k.Route != route:
		return &KeyError{Fault: KeyWrongRoute}
	default:
		return nil
	}
}

func keyIDFromPayload(payload []byte) (id KeyID) {
	sum := sha256.Sum256(payload)
	copy(id[:], sum[:])
	return id
}

// wireKey is the CBOR encoding of a key's signed payload.
type wireKey struct {
	_            struct{} `cbor:",toarray"`
	Instance     string
	Incarnation  uint64
	Organisation string
	Route        string
	Deadline     int64 // Unix time in milliseconds
	Policy       uint8
	Nonce        [16]byte
}

func (k Key) payload() []byte {
	return mustEncode(wireKey{
		Instance:     string(k.Home.Instance),
		Incarnation:  k.Home.Incarnation,
		Organisation: string(k.Organisation),
		Route:        string(k.Route),
		Deadline:     k.Deadline.UnixMilli(),
		Policy:       uint8(k.Policy),
		Nonce:        k.Nonce,
	})
}

func decodeHomeID(w wireHome) HomeID {
	return HomeID{Instance: hitchfleet.InstanceID(w.Instance), Incarnation: w.Incarnation}
}

func decodeKey(w wireKey) Key {
	return Key{
		Home:         HomeID{Instance: hitchfleet.InstanceID(w.Instance), Incarnation: w.Incarnation},
		Organisation: hitchfleet.OrganisationID(w.Organisation),
		Route:        hitchfleet.RouteID(w.Route),
		Deadline:     time.UnixMilli(w.Deadline).UTC(),
		Policy:       JournalPolicy(w.Policy),
		Nonce:        w.Nonce,
	}
}
