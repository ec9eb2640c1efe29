package hitchplace

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// AnswerLife is how long callers keep an answer.
const AnswerLife = 30 * time.Second

// maxAddresses is the most addresses in an answer.
const maxAddresses = 3

// ChatKey is the hash of a chat of one organisation. Two organisations' chats of
// the same name have different keys, so that neither finds the other's entry.
func ChatKey(org hitchfleet.OrganisationID, chat string) hitchfleet.Key {
	return hitchfleet.KeyOf(string(org), chat)
}

// Answer tells a caller where to connect: the home first, then alternatives.
type Answer struct {
	Routers []hitchfleet.Instance
	// Deadline is when the caller asks again.
	Deadline time.Time
}

// Routers is the routers that callers may connect to. It is immutable; NewRouters
// makes another when the fleet changes.
type Routers struct {
	all []router
}

type router struct {
	instance hitchfleet.Instance
	key      hitchfleet.Key
}

// NewRouters returns the live routers that neither leave nor are in a zone out.
// With none left, it returns those in the zones out rather than none.
func NewRouters(live []hitchfleet.Instance, zonesOut []hitchfleet.AvailabilityZone) Routers {
	var r, out Routers
	for _, i := range live {
		switch {
		case i.Leaving:
		case contains(zonesOut, i.Zone):
			out.all = append(out.all, router{instance: i, key: i.Key()})
		default:
			r.all = append(r.all, router{instance: i, key: i.Key()})
		}
	}
	if len(r.all) == 0 {
		return out
	}
	return r
}

func contains[T comparable](list []T, v T) bool {
	for i := range list {
		if list[i] == v {
			return true
		}
	}
	return false
}

// regionOf returns the region of a zone, or "" if no router is in it.
func (r Routers) regionOf(zone hitchfleet.AvailabilityZone) hitchfleet.Region {
	for i := range r.all {
		if r.all[i].instance.Zone == zone {
			return r.all[i].instance.Region
		}
	}
	return ""
}

// Answer returns the addresses for a chat and appends them to dst. The home is
// the first by rendezvous hashing of the routers in the caller's region, so that
// a lost router moves only its own chats. Alternatives are the next ones, each in
// another availability zone than those before it as far as there are any. near is
// the region, or the zone's region if it is empty; an unknown one means all
// routers.
func (r Routers) Answer(dst []hitchfleet.Instance, chat hitchfleet.Key, near hitchfleet.Region, zone hitchfleet.AvailabilityZone, now time.Time) Answer {
	if near == "" {
		near = r.regionOf(zone)
	}
	if !r.has(near) {
		near = ""
	}
	start := len(dst)
	for range maxAddresses {
		i := r.best(chat, near, dst[start:], true)
		if i < 0 {
			i = r.best(chat, near, dst[start:], false)
		}
		if i < 0 {
			i = r.best(chat, "", dst[start:], false)
		}
		if i < 0 {
			break
		}
		dst = append(dst, r.all[i].instance)
	}
	return Answer{Routers: dst[start:], Deadline: now.Add(AnswerLife)}
}

// Home returns the chat's home, or false without routers. region is where the
// chat's callers are.
func (r Routers) Home(chat hitchfleet.Key, region hitchfleet.Region) (hitchfleet.Instance, bool) {
	if !r.has(region) {
		region = ""
	}
	i := r.best(chat, region, nil, false)
	if i < 0 {
		return hitchfleet.Instance{}, false
	}
	return r.all[i].instance, true
}

func (r Routers) has(region hitchfleet.Region) bool {
	for i := range r.all {
		if r.all[i].instance.Region == region {
			return true
		}
	}
	return false
}

// best returns the index of the first router by rendezvous hashing that isn't
// taken, nor in a zone of the taken ones if otherZone is set; or -1.
func (r Routers) best(chat hitchfleet.Key, region hitchfleet.Region, taken []hitchfleet.Instance, otherZone bool) int {
	found := -1
	var best uint64
	for i := range r.all {
		c := &r.all[i]
		if region != "" && c.instance.Region != region || isTaken(taken, &c.instance, otherZone) {
			continue
		}
		if score := hitchfleet.Score(chat, c.key); found < 0 || score > best {
			found, best = i, score
		}
	}
	return found
}

func isTaken(taken []hitchfleet.Instance, i *hitchfleet.Instance, zoneToo bool) bool {
	for k := range taken {
		if taken[k].ID == i.ID || (zoneToo && taken[k].Zone == i.Zone) {
			return true
		}
	}
	return false
}
