package hitchpeer

import (
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// outbox holds, for each neighbour, the keys of the items that it has yet to be
// sent. An item is held by key, so that a newer value takes the place of one that
// waits.
type outbox[K comparable] struct {
	lanes map[hitchfleet.InstanceID][]K
}

// setNeighbours adds lanes for new neighbours and drops those of others.
func (o *outbox[K]) setNeighbours(ids []hitchfleet.InstanceID) {
	if o.lanes == nil {
		o.lanes = make(map[hitchfleet.InstanceID][]K)
	}
	for id := range o.lanes {
		if !slices.Contains(ids, id) {
			delete(o.lanes, id)
		}
	}
	for _, id := range ids {
		if _, ok := o.lanes[id]; !ok {
			o.lanes[id] = nil
		}
	}
}

// mark queues a key for a neighbour, at the end of its lane.
func (o *outbox[K]) mark(to hitchfleet.InstanceID, key K) {
	lane, ok := o.lanes[to]
	if ok && !slices.Contains(lane, key) {
		o.lanes[to] = append(lane, key)
	}
}

// markAll queues a key for all neighbours but one.
func (o *outbox[K]) markAll(key K, except hitchfleet.InstanceID) {
	for id := range o.lanes {
		if id != except {
			o.mark(id, key)
		}
	}
}

// drop forgets a key that a neighbour needs no more.
func (o *outbox[K]) drop(to hitchfleet.InstanceID, key K) {
	lane := o.lanes[to]
	if i := slices.Index(lane, key); i >= 0 {
		o.lanes[to] = slices.Delete(lane, i, i+1)
	}
}

// take removes keys from a neighbour's lane, first come first served, for as
// long as fits says that there is room.
func (o *outbox[K]) take(to hitchfleet.InstanceID, fits func(K) bool) []K {
	lane := o.lanes[to]
	n := 0
	for n < len(lane) && fits(lane[n]) {
		n++
	}
	taken := slices.Clone(lane[:n])
	if n > 0 {
		o.lanes[to] = slices.Delete(lane, 0, n)
	}
	return taken
}
