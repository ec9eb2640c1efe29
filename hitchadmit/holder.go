package hitchadmit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Holder is an asker's record of the slots that it holds. Its heartbeats renew
// them, and tell a new owner what the former ones granted. The zero value is
// ready. Its methods are safe for several goroutines.
//
//	ask.ID, ask.Foreign = holder.NextID(), holder.Foreign(ask.Endpoint, owner)
//	holder.Hold(ask, owner)    // once it is granted
//	holder.Drop(ask.ID, ask.Endpoint)
type Holder struct {
	Self hitchfleet.InstanceID

	shards [shardCount]holderShard
}

type holderShard struct {
	mu    sync.Mutex
	slots map[hitchfleet.EndpointID]map[GrantID]slot
}

// slot is one grant as its asker sees it.
type slot struct {
	owner       hitchfleet.InstanceID
	incarnation uint64
	cost        int64
}

func (s *slot) isOf(owner *hitchfleet.Instance) bool {
	return s.owner == owner.ID && s.incarnation == owner.Incarnation
}

func (h *Holder) shard(id hitchfleet.EndpointID) *holderShard {
	return &h.shards[xxhash.Sum64String(string(id))%shardCount]
}

// NextID returns a new random ID. Among 100,000 grants at a time two are the same
// with a probability below 1e-9.
func (*Holder) NextID() GrantID { return GrantID(rand.Uint64()) }

// Hold records a slot that an owner granted.
func (h *Holder) Hold(a Ask, owner hitchfleet.Instance) {
	s := h.shard(a.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == nil {
		s.slots = make(map[hitchfleet.EndpointID]map[GrantID]slot)
	}
	byID := s.slots[a.Endpoint]
	if byID == nil {
		byID = make(map[GrantID]slot)
		s.slots[a.Endpoint] = byID
	}
	byID[a.ID] = slot{owner: owner.ID, incarnation: owner.Incarnation, cost: a.Cost}
}

// Drop forgets a slot whose work is done, and returns the release to send to the
// owner that granted it.
func (h *Holder) Drop(id GrantID, endpoint hitchfleet.EndpointID) (r Release, owner hitchfleet.InstanceID, ok bool) {
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

// Foreign sums what routers other than the owner granted at an endpoint.
func (h *Holder) Foreign(endpoint hitchfleet.EndpointID, owner hitchfleet.Instance) Holding {
	s := h.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Holding
	for _, held := range s.slots[endpoint] {
		if !held.isOf(&owner) {
			sum.Cost += held.cost
			sum.Requests++
		}
	}
	return sum
}

// Addressed is heartbeats with the router that they go to, in one message.
type Addressed struct {
	To         hitchfleet.InstanceID
	Heartbeats []Heartbeat
}

// Heartbeats returns one heartbeat for each endpoint at which slots are held or
// were held since the last call, by their owners. Call it every HeartbeatEvery,
// and at once when the routers change. ownerOf tells an endpoint's owner as this
// router sees it.
func (h *Holder) Heartbeats(ownerOf func(hitchfleet.EndpointID) (hitchfleet.Instance, bool)) []Addressed {
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
	all := make([]Addressed, 0, len(byOwner))
	for owner, beats := range byOwner {
		all = append(all, Addressed{To: owner, Heartbeats: beats})
	}
	return all
}

func (h *Holder) heartbeat(id hitchfleet.EndpointID, byID map[GrantID]slot, owner *hitchfleet.Instance) Heartbeat {
	beat := Heartbeat{Asker: h.Self, Endpoint: id}
	for grant, held := range byID {
		if held.isOf(owner) {
			beat.Grants = append(beat.Grants, grant)
			continue
		}
		beat.Foreign.Cost += held.cost
		beat.Foreign.Requests++
	}
	return beat
}

// IsValid tells whether a grant's deadline is still ahead. A router must not start
// work on a grant after its deadline.
func (d Decision) IsValid(now time.Time) bool {
	return d.Verdict == Granted && now.Before(d.Deadline)
}
