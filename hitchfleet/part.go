package hitchfleet

import "strconv"

// PartID identifies a section of a prompt in all requests that contain it.
type PartID uint64

// String returns the ID as callers write it, in hexadecimal.
func (id PartID) String() string { return strconv.FormatUint(uint64(id), 16) }

// ParsePartID parses an ID as callers write it.
func ParsePartID(s string) (PartID, error) {
	id, err := strconv.ParseUint(s, 16, 64)
	return PartID(id), err
}
