package hitchforward

import (
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// maxCarried is how many requests a connection remembers. A second copy of a response arrives with one
// of the next responses.
const maxCarried = 64

// carriedIDs are the IDs of the newest requests that a connection has carried. The zero value is empty.
type carriedIDs struct {
	keys []hitchfleet.Key
	// next is where the next key is put once there are maxCarried.
	next int
}

// add adds the ID of a request. An empty one isn't remembered.
func (c *carriedIDs) add(id string) {
	switch {
	case id == "":
	case len(c.keys) < maxCarried:
		c.keys = append(c.keys, hitchfleet.KeyOf(id))
	default:
		c.keys[c.next] = hitchfleet.KeyOf(id)
		c.next = (c.next + 1) % maxCarried
	}
}

// contains reports whether the connection has carried a request with an ID.
func (c *carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(c.keys, hitchfleet.KeyOf(id))
}
