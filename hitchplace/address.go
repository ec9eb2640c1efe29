package hitchplace

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// AddressTTL is how long callers may use an AddressList.
const AddressTTL = 30 * time.Second

// maxAddresses is the maximum number of routers in an AddressList.
const maxAddresses = 3

// ChatKey returns the hash of a chat within an organisation. Chats of the same
// name in different organisations have different keys, so that neither
// organisation finds the other's directory entry.
func ChatKey(org hitchfleet.OrganisationID, chat string) hitchfleet.Key {
	return hitchfleet.KeyOf(string(org), chat)
}

// AddressList lists the routers that a caller may connect to for a chat: the
// chat's home router first, then alternatives.
type AddressList struct {
	Routers []hitchfleet.Instance
	// ExpiresAt is when the list expires and the caller must request another.
	ExpiresAt time.Time
}

// Routers is an immutable set of the routers that callers may connect to. After a
// change of the fleet, NewRouters builds a new one.
type Routers struct {
	instances []hitchfleet.Instance
	keys      []hitchfleet.Key
}

func (r *Routers) add(i hitchfleet.Instance) {
	r.instances = append(r.instances, i)
	r.keys = append(r.keys, i.Key())
}

// NewRouters returns the live routers that aren't leaving and whose zone is in
// service. If there are none, it returns those in the zones out of service rather
// than an empty set.
func NewRouters(live []hitchfleet.Instance, zonesOutOfService []hitchfleet.AvailabilityZone) Routers {
	var r, outOfService Routers
	for _, i := range live {
		switch {
		case i.Leaving:
		case slices.Contains(zonesOutOfService, i.Zone):
			outOfService.add(i)
		default:
			r.add(i)
		}
	}
	if len(r.instances) == 0 {
		return outOfService
	}
	return r
}

// regionOf returns the region of a zone, or "" if the zone has no router.
func (r Routers) regionOf(zone hitchfleet.AvailabilityZone) hitchfleet.Region {
	for i := range r.instances {
		if r.instances[i].Zone == zone {
			return r.instances[i].Region
		}
	}
	return ""
}

// Addresses appends the routers for a chat to dst and returns them as an
// AddressList. The home router is the first by rendezvous hashing among the
// routers of the caller's region, so that the loss of a router moves only its own
// chats. The alternatives are the next ones in that order; routers in availability
// zones that aren't yet in the list come first. If region is empty, the region of
// the zone is used. If no router is in the region, all routers are ranked.
func (r Routers) Addresses(dst []hitchfleet.Instance, chat hitchfleet.Key, region hitchfleet.Region, zone hitchfleet.AvailabilityZone, now time.Time) AddressList {
	if region == "" {
		region = r.regionOf(zone)
	}
	start := len(dst)
	best := r.rank(chat, region)
	for _, requireNewZone := range []bool{true, false} {
		for _, item := range best.items[:best.n] {
			candidate := &r.instances[item.index]
			if len(dst)-start < maxAddresses && !isSelected(dst[start:], candidate, requireNewZone) {
				dst = append(dst, *candidate)
			}
		}
	}
	return AddressList{Routers: dst[start:], ExpiresAt: now.Add(AddressTTL)}
}

// Home returns the chat's home router, or false if there are no routers. region
// is the region of the chat's callers.
func (r Routers) Home(chat hitchfleet.Key, region hitchfleet.Region) (hitchfleet.Instance, bool) {
	best := r.rank(chat, region)
	if best.n == 0 {
		return hitchfleet.Instance{}, false
	}
	return r.instances[best.items[0].index], true
}

// rank returns the best routers of the region by rendezvous hashing, or of all
// regions if the region has no router.
func (r Routers) rank(chat hitchfleet.Key, region hitchfleet.Region) ranking {
	best := r.rankMatching(chat, func(i int) bool { return r.instances[i].Region == region })
	if best.n > 0 {
		return best
	}
	return r.rankMatching(chat, func(int) bool { return true })
}

func (r Routers) rankMatching(chat hitchfleet.Key, include func(i int) bool) (best ranking) {
	var minScore uint64
	for i, key := range r.keys {
		if score := hitchfleet.Score(chat, key); score > minScore && include(i) {
			best.add(maxRanked, score, i)
			minScore = best.minScore(maxRanked)
		}
	}
	return best
}

func isSelected(selected []hitchfleet.Instance, i *hitchfleet.Instance, compareZone bool) bool {
	for k := range selected {
		if selected[k].ID == i.ID || (compareZone && selected[k].Zone == i.Zone) {
			return true
		}
	}
	return false
}
