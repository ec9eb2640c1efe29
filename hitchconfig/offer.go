package hitchconfig

import (
	"errors"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// ErrOrigin says that a configuration or mark has no valid proof of its origin.
var ErrOrigin = errors.New("hitchconfig: no valid proof of origin")

// Offer is a whole configuration with its proof, as it goes between routers.
type Offer struct {
	Revision uint64
	Proof    Proof
	// Data is the encoded configuration.
	Data []byte
}

// Open verifies the offer and returns its configuration and checksum.
func (o Offer) Open(keys Keyring) (c Configuration, sum Checksum, err error) {
	defer annotate(&err, "offer of revision %d", o.Revision)
	sum = checksumOf(o.Data)
	if !verifyRevision(keys, o.Proof, o.Revision, sum) {
		return Configuration{}, "", ErrOrigin
	}
	c, err = Decode(o.Data)
	if err != nil {
		return Configuration{}, "", err
	}
	if c.Revision != o.Revision {
		return Configuration{}, "", ErrOrigin
	}
	return c, sum, nil
}

// Delta leads from one revision to a later one by the intents between them. It
// is a few hundred bytes where an Offer is a hundred kilobytes.
type Delta struct {
	From    uint64
	To      uint64
	Intents []Intent
	// Checksum and Proof are those of the configuration at To.
	Checksum Checksum
	Proof    Proof
}

// Open applies the delta to the revision that it starts from, verifies the
// result and returns it with its bytes.
func (d Delta) Open(base Configuration, keys Keyring) (c Configuration, data []byte, err error) {
	defer annotate(&err, "delta from revision %d to %d", d.From, d.To)
	if base.Revision != d.From || d.To != d.From+uint64(len(d.Intents)) {
		return Configuration{}, nil, errors.New("doesn't fit the revision")
	}
	if !verifyRevision(keys, d.Proof, d.To, d.Checksum) {
		return Configuration{}, nil, ErrOrigin
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
		return Configuration{}, nil, ErrOrigin
	}
	return c, data, nil
}

// Mark says that a revision was current at a time, as a router that holds the
// watch has seen.
type Mark struct {
	Revision uint64
	At       time.Time
	By       hitchfleet.InstanceID
	Proof    Proof
}

// NewMark returns a signed mark.
func NewMark(revision uint64, at time.Time, by hitchfleet.InstanceID, keys Keyring) Mark {
	m := Mark{Revision: revision, At: at.UTC().Round(0), By: by}
	m.Proof = keys.Sign(purposeMark, m.parts()...)
	return m
}

// Verify tells whether a router of the fleet made the mark.
func (m Mark) Verify(keys Keyring) bool {
	return keys.Verify(m.Proof, purposeMark, m.parts()...)
}

func (m Mark) parts() [][]byte {
	return [][]byte{uint64Bytes(m.Revision), uint64Bytes(uint64(m.At.UnixNano())), []byte(m.By)}
}

// Announcement is what a router says of its configuration in each gossip round.
type Announcement struct {
	Revision uint64
	// Checksum and Proof show that the revision exists. Without them a wrong
	// number would make every router wait for a revision that nobody has.
	Checksum Checksum
	Proof    Proof
	// Ready says that the sender serves, so that it vouches for its revision as
	// one that isn't older than the bound on the spread.
	Ready bool
	// Started says that the sender is no longer starting.
	Started bool
	// Mark is the newest mark that the sender knows; it may be zero.
	Mark Mark
}

// verify tells whether the announced revision exists. Revision 0 always does.
func (a Announcement) verify(keys Keyring) bool {
	return a.Revision == 0 || verifyRevision(keys, a.Proof, a.Revision, a.Checksum)
}

func signRevision(keys Keyring, revision uint64, sum Checksum) Proof {
	return keys.Sign(purposeRevision, uint64Bytes(revision), []byte(sum))
}

func verifyRevision(keys Keyring, p Proof, revision uint64, sum Checksum) bool {
	return keys.Verify(p, purposeRevision, uint64Bytes(revision), []byte(sum))
}
