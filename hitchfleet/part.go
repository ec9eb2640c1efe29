package hitchfleet

import "strconv"

// PartID identifies a section of a prompt in all requests that contain it.
type PartID uint64

// String returns the ID as callers write it, in hexadecimal.
func (id PartID) String() string { return strconv.FormatUint(uint64(id), 16) }
