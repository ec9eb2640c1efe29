package hitchconfig

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// FleetKey is a secret that all routers share by their settings.
type FleetKey struct {
	ID     string
	Secret []byte
}

// Keyring holds the fleet's keys. The first signs, and all verify. To rotate,
// add the new key last on every router, then move it first, then drop the old
// one. The zero value verifies nothing.
type Keyring struct {
	Keys []FleetKey
}

// Proof shows that the holder of a fleet key vouches for some bytes. It is an
// HMAC with SHA-256 (RFC 2104).
type Proof struct {
	KeyID string
	MAC   []byte
}

// The purposes of proofs keep a proof of one kind from serving as another.
const (
	purposeRevision = "citronhitch revision 1"
	purposePlan     = "citronhitch plan 1"
	purposeMark     = "citronhitch mark 1"
)

// Sign returns a proof for the parts. Without a key the proof is empty and
// verifies nowhere.
func (k Keyring) Sign(purpose string, parts ...[]byte) Proof {
	if len(k.Keys) == 0 {
		return Proof{}
	}
	key := k.Keys[0]
	return Proof{KeyID: key.ID, MAC: key.mac(purpose, parts)}
}

// Verify tells whether one of the keys made the proof for the same parts.
func (k Keyring) Verify(p Proof, purpose string, parts ...[]byte) bool {
	for _, key := range k.Keys {
		if key.ID == p.KeyID && len(key.Secret) > 0 {
			return hmac.Equal(p.MAC, key.mac(purpose, parts))
		}
	}
	return false
}

// mac hashes each part with its length, so that parts can't be shifted.
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
