package hitchstore

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Revision numbers the changes of the store. It rises with each one; 0 is the
// revision of a key that doesn't exist.
type Revision int64

// LeaseID names a lease. 0 is no lease.
type LeaseID int64

// Entry is a key and its value at a revision.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the key's last change.
	Revision Revision
	// Exists is false for a key that was never written or has been deleted.
	Exists bool
	// Lease is the lease that the key lives by, if any.
	Lease LeaseID
	// Writer is the process that wrote the value. It is empty if the value was
	// written by another program than this package.
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

// envelopeMark starts each envelope. It is the tag of self-described CBOR
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

// entryOf opens the envelope of a stored value. A value without an envelope is
// taken as it is.
func entryOf(kv wireKeyValue) Entry {
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
