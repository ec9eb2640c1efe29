package hitchpeer

import (
	"slices"

	"citronhitch.example/citronhitch/hitchfleet"
)

// outbox holds a queue for each neighbour with the keys of the items to send to it.
// It queues keys instead of items, so that a newer value replaces a queued one.
type outbox[K comparable] struct {
	queues map[hitchfleet.InstanceID][]K
}

// setNeighbours adds queues for new neighbours and deletes those of all others.
func (o *outbox[K]) setNeighbours(ids []hitchfleet.InstanceID) {
	if o.queues == nil {
		o.queues = make(map[hitchfleet.InstanceID][]K)
	}
	for id := range o.queues {
		if !slices.Contains(ids, id) {
			delete(o.queues, id)
		}
	}
	for _, id := range ids {
		if _, ok := o.queues[id]; !ok {
			o.queues[id] = nil
		}
	}
}

// enqueue adds a key to the end of a neighbour's queue if it isn't queued yet.
func (o *outbox[K]) enqueue(to hitchfleet.InstanceID, key K) {
	queue, ok := o.queues[to]
	if ok && !slices.Contains(queue, key) {
		o.queues[to] = append(queue, key)
	}
}

// enqueueAll adds a key to the queues of all neighbours except one.
func (o *outbox[K]) enqueueAll(key K, except hitchfleet.InstanceID) {
	for id := range o.queues {
		if id != except {
			o.enqueue(id, key)
		}
	}
}

// remove removes a key from a neighbour's queue, as the neighbour has the item.
func (o *outbox[K]) remove(to hitchfleet.InstanceID, key K) {
	queue := o.queues[to]
	if i := slices.Index(queue, key); i >= 0 {
		o.queues[to] = slices.Delete(queue, i, i+1)
	}
}

// dequeue removes keys from the front of a neighbour's queue until fits returns
// false, and returns them.
func (o *outbox[K]) dequeue(to hitchfleet.InstanceID, fits func(K) bool) []K {
	queue := o.queues[to]
	n := 0
	for n < len(queue) && fits(queue[n]) {
		n++
	}
	keys := slices.Clone(queue[:n])
	if n > 0 {
		o.queues[to] = slices.Delete(queue, 0, n)
	}
	return keys
}
