package hitchfleet

import "fmt"

// Revision orders the states of the store: by era, then by the store's own number. The
// era rises when the store comes back from an older copy, which lacks its last
// changes, and gives out their numbers again. A store without eras has era 0.
type Revision int64

// numberBits is the number of bits of the store's number. The era has those above.
const numberBits = 48

// NewRevision returns a revision.
func NewRevision(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the era.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the store's number, which is unique within the era.
func (r Revision) Number() int64 { return int64(r) & (1<<numberBits - 1) }

// String returns the number, after the era unless that is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d.%d", r.Era(), r.Number())
}
