package hitchstore

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Revision is the number of a change in the store. It rises with each change; 0 is
// the revision of a key that doesn't exist.
type Revision int64

// LeaseID identifies a lease. 0 means no lease.
type LeaseID int64

// Entry is a key and its value at a revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change.
	Revision Revision
	// Exists is false for a key that was never written or has been deleted.
	Exists bool
	// Lease is the lease that the key is attached to, if any.
	Lease LeaseID
	// Writer is the process that wrote the value. It is empty if the value wasn't
	// written by this package.
	Writer string
	// WriteID is unique to the write.
	WriteID string
}

// envelope is a value as it is stored, in CBOR.
type envelope struct {
	Writer  string
	WriteID string
	Value   []byte
}

// envelopeMark is the prefix of each envelope: the tag of self-described CBOR
// (RFC 8949, section 3.4.6).
var envelopeMark = []byte{0xd9, 0xd9, 0xf7}

func (e envelope) encode() (stored []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode value: %w", err)
		}
	}()
	body, err := cbor.Marshal(e)
	if err != nil {
		return nil, err
	}
	return append(bytes.Clone(envelopeMark), body...), nil
}

// decodeEntry decodes the envelope of a stored value. A value without an envelope is
// returned unchanged.
func decodeEntry(kv wireKeyValue) Entry {
	entry := Entry{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Revision: Revision(kv.ModRevision),
		Exists:   true,
		Lease:    LeaseID(kv.Lease),
	}
	body, ok := bytes.CutPrefix(kv.Value, envelopeMark)
	if !ok {
		return entry
	}
	var e envelope
	if err := cbor.Unmarshal(body, &e); err != nil {
		return entry
	}
	entry.Value, entry.Writer, entry.WriteID = e.Value, e.Writer, e.WriteID
	return entry
}
