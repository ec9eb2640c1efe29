package hitchconfig

import (
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// ErrInvalidProof means that a configuration or mark has no valid proof of origin.
var ErrInvalidProof = errors.New("hitchconfig: no valid proof of origin")

// Snapshot is a complete configuration with its proof, as routers exchange it.
type Snapshot struct {
	Revision uint64
	Proof    Proof
	// Data is the encoded configuration.
	Data []byte
}

// Decode verifies the proof and returns the configuration and its checksum.
func (s Snapshot) Decode(keys Keyring) (c Configuration, sum Checksum, err error) {
	defer wrapError(&err, "snapshot of revision %d", s.Revision)
	sum = checksumOf(s.Data)
	if !verifyRevision(keys, s.Proof, s.Revision, sum) {
		return Configuration{}, "", ErrInvalidProof
	}
	c, err = Decode(s.Data)
	if err != nil {
		return Configuration{}, "", err
	}
	if c.Revision != s.Revision {
		return Configuration{}, "", ErrInvalidProof
	}
	return c, sum, nil
}

// Delta contains the intents that change one revision into a later one. It takes a
// few hundred bytes, while a Snapshot takes a hundred kilobytes.
type Delta struct {
	From    uint64
	To      uint64
	Intents []Intent
	// Checksum and Proof belong to the configuration at To.
	Checksum Checksum
	Proof    Proof
}

// Apply applies the delta to its base revision, verifies the result, and returns it
// with its encoding.
func (d Delta) Apply(base Configuration, keys Keyring) (c Configuration, data []byte, err error) {
	defer wrapError(&err, "delta from revision %d to %d", d.From, d.To)
	if base.Revision != d.From || d.To != d.From+uint64(len(d.Intents)) {
		return Configuration{}, nil, errors.New("base revision or number of intents doesn't match")
	}
	if !verifyRevision(keys, d.Proof, d.To, d.Checksum) {
		return Configuration{}, nil, ErrInvalidProof
	}
	c = base
	for _, intent := range d.Intents {
		if c, err = intent.Apply(c); err != nil {
			return Configuration{}, nil, err
		}
	}
	data, err = c.Encode()
	if err != nil {
		return Configuration{}, nil, err
	}
	if checksumOf(data) != d.Checksum {
		return Configuration{}, nil, ErrInvalidProof
	}
	return c, data, nil
}

// FreshnessMark is a signed statement that a revision was current at a time, made by a
// router that observed it in the store.
type FreshnessMark struct {
	Revision uint64
	At       time.Time
	By       hitchfleet.InstanceID
	Proof    Proof
}

// NewFreshnessMark returns a signed mark.
func NewFreshnessMark(revision uint64, at time.Time, by hitchfleet.InstanceID, keys Keyring) FreshnessMark {
	m := FreshnessMark{Revision: revision, At: at.UTC().Round(0), By: by}
	m.Proof = keys.Sign(purposeMark, m.signedParts()...)
	return m
}

// Verify reports whether the mark was signed with a key of the fleet.
func (m FreshnessMark) Verify(keys Keyring) bool {
	return keys.Verify(m.Proof, purposeMark, m.signedParts()...)
}

func (m FreshnessMark) signedParts() [][]byte {
	return [][]byte{uint64Bytes(m.Revision), uint64Bytes(uint64(m.At.UnixNano())), []byte(m.By)}
}

// Announcement describes a router's configuration. Each router sends one to peers in
// every gossip round.
type Announcement struct {
	Revision uint64
	// Checksum and Proof prove that the revision exists. Without them, a wrong
	// number would make every router wait for a revision that no router has.
	Checksum Checksum
	Proof    Proof
	// Ready is set while the sender serves. If its revision is outdated, then for no
	// longer than a change may take to spread.
	Ready bool
	// Started is set once the sender is no longer starting.
	Started bool
	// Mark is the newest mark known to the sender; it may be zero.
	Mark FreshnessMark
}

// verify reports whether the proof is valid for the announced revision. Revision 0
// needs no proof.
func (a Announcement) verify(keys Keyring) bool {
	return a.Revision == 0 || verifyRevision(keys, a.Proof, a.Revision, a.Checksum)
}

func signRevision(keys Keyring, revision uint64, sum Checksum) Proof {
	return keys.Sign(purposeRevision, uint64Bytes(revision), []byte(sum))
}

func verifyRevision(keys Keyring, p Proof, revision uint64, sum Checksum) bool {
	return keys.Verify(p, purposeRevision, uint64Bytes(revision), []byte(sum))
}
