package hitchconfig

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// FleetKey is a secret that all routers share through their settings.
type FleetKey struct {
	ID     string
	Secret []byte
}

// Keyring holds the fleet's keys. The first key signs; any key verifies. To rotate
// keys, append the new key on every router, then move it to the front on every router,
// then remove the old one. The zero value rejects every proof.
type Keyring struct {
	Keys []FleetKey
}

// Proof authenticates data as signed by a holder of a fleet key. It is an HMAC with
// SHA-256 (RFC 2104).
type Proof struct {
	KeyID string
	MAC   []byte
}

// The purpose is part of the signed data, so that a proof for one purpose isn't valid
// for another.
const (
	purposeRevision = "citronhitch revision 1"
	purposePlan     = "citronhitch plan 1"
	purposeMark     = "citronhitch mark 1"
)

// Sign returns a proof for the parts. Without a key, the proof is empty and never
// verifies.
func (k Keyring) Sign(purpose string, parts ...[]byte) Proof {
	if len(k.Keys) == 0 {
		return Proof{}
	}
	key := k.Keys[0]
	return Proof{KeyID: key.ID, MAC: key.mac(purpose, parts)}
}

// Verify reports whether the proof was made with one of the keys for the same purpose
// and parts.
func (k Keyring) Verify(p Proof, purpose string, parts ...[]byte) bool {
	for _, key := range k.Keys {
		if key.ID == p.KeyID && len(key.Secret) > 0 {
			return hmac.Equal(p.MAC, key.mac(purpose, parts))
		}
	}
	return false
}

// mac returns the HMAC of the parts. Each part is preceded by its length, so that the
// boundaries between parts are authenticated too.
func (k FleetKey) mac(purpose string, parts [][]byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	write := func(part []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	write([]byte(purpose))
	for _, part := range parts {
		write(part)
	}
	return h.Sum(nil)
}

func uint64Bytes(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
