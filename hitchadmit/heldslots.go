package hitchadmit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// HeldSlots records the slots that a requester holds. Its heartbeats renew the
// grants, and report to a new owner what previous owners granted. The zero value
// is ready to use. Its methods are safe for concurrent use.
//
//	request.ID = slots.NewGrantID()
//	request.GrantedByOthers = slots.GrantedByOthers(request.Endpoint, owner)
//	slots.Add(request, owner)    // once it is granted
//	slots.Remove(request.ID, request.Endpoint)
type HeldSlots struct {
	Self hitchfleet.InstanceID

	shards [shardCount]heldShard
}

type heldShard struct {
	mu    sync.Mutex
	slots map[hitchfleet.EndpointID]map[GrantID]heldSlot
}

// heldSlot is one grant as its requester records it.
type heldSlot struct {
	owner       hitchfleet.InstanceID
	incarnation uint64
	cost        int64
}

func (s *heldSlot) grantedBy(owner *hitchfleet.Instance) bool {
	return s.owner == owner.ID && s.incarnation == owner.Incarnation
}

func (h *HeldSlots) shard(id hitchfleet.EndpointID) *heldShard {
	return &h.shards[xxhash.Sum64String(string(id))%shardCount]
}

// NewGrantID returns a new random ID. With 100,000 concurrent grants the
// probability that two IDs are equal is below 1e-9.
func (*HeldSlots) NewGrantID() GrantID { return GrantID(rand.Uint64()) }

// Add records a slot that an owner granted.
func (h *HeldSlots) Add(req SlotRequest, owner hitchfleet.Instance) {
	s := h.shard(req.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == nil {
		s.slots = make(map[hitchfleet.EndpointID]map[GrantID]heldSlot)
	}
	byID := s.slots[req.Endpoint]
	if byID == nil {
		byID = make(map[GrantID]heldSlot)
		s.slots[req.Endpoint] = byID
	}
	byID[req.ID] = heldSlot{owner: owner.ID, incarnation: owner.Incarnation, cost: req.Cost}
}

// Remove removes a slot whose work is done, and returns the release to send to
// the owner that granted it.
func (h *HeldSlots) Remove(id GrantID, endpoint hitchfleet.EndpointID) (r Release, owner hitchfleet.InstanceID, ok bool) {
	s := h.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.slots[endpoint][id]
	if !ok {
		return Release{}, "", false
	}
	delete(s.slots[endpoint], id)
	return Release{ID: id, Endpoint: endpoint}, held.owner, true
}

// GrantedByOthers returns the usage at an endpoint that routers other than
// owner granted.
func (h *HeldSlots) GrantedByOthers(endpoint hitchfleet.EndpointID, owner hitchfleet.Instance) Usage {
	s := h.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Usage
	for _, held := range s.slots[endpoint] {
		if !held.grantedBy(&owner) {
			sum.Cost += held.cost
			sum.Requests++
		}
	}
	return sum
}

// HeartbeatBatch is the heartbeats to send to one router in one message.
type HeartbeatBatch struct {
	To         hitchfleet.InstanceID
	Heartbeats []Heartbeat
}

// Heartbeats returns one heartbeat for each endpoint at which slots are held or
// were held at the last call, grouped by owner. Call it every
// HeartbeatInterval, and immediately when the set of routers changes. ownerOf
// returns an endpoint's owner by this router's view.
func (h *HeldSlots) Heartbeats(ownerOf func(hitchfleet.EndpointID) (hitchfleet.Instance, bool)) []HeartbeatBatch {
	byOwner := make(map[hitchfleet.InstanceID][]Heartbeat)
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for id, byID := range s.slots {
			if owner, ok := ownerOf(id); ok {
				byOwner[owner.ID] = append(byOwner[owner.ID], h.heartbeat(id, byID, &owner))
			}
			if len(byID) == 0 {
				delete(s.slots, id)
			}
		}
		s.mu.Unlock()
	}
	all := make([]HeartbeatBatch, 0, len(byOwner))
	for owner, beats := range byOwner {
		all = append(all, HeartbeatBatch{To: owner, Heartbeats: beats})
	}
	return all
}

func (h *HeldSlots) heartbeat(id hitchfleet.EndpointID, byID map[GrantID]heldSlot, owner *hitchfleet.Instance) Heartbeat {
	beat := Heartbeat{Requester: h.Self, Endpoint: id}
	for grant, held := range byID {
		if held.grantedBy(owner) {
			beat.Grants = append(beat.Grants, grant)
			continue
		}
		beat.GrantedByOthers.Cost += held.cost
		beat.GrantedByOthers.Requests++
	}
	return beat
}

// IsValid reports whether the decision is a grant whose deadline has not
// passed. A router must not start work on a grant after its deadline.
func (d Decision) IsValid(now time.Time) bool {
	return d.Verdict == Granted && now.Before(d.Deadline)
}
