package hitchplace

import (
	"slices"
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
	all  []hitchfleet.Instance
	keys []hitchfleet.Key
}

func (r *Routers) add(i hitchfleet.Instance) {
	r.all = append(r.all, i)
	r.keys = append(r.keys, i.Key())
}

// NewRouters returns the live routers that neither leave nor are in a zone out.
// With none left, it returns those in the zones out rather than none.
func NewRouters(live []hitchfleet.Instance, zonesOut []hitchfleet.AvailabilityZone) Routers {
	var r, out Routers
	for _, i := range live {
		switch {
		case i.Leaving:
		case slices.Contains(zonesOut, i.Zone):
			out.add(i)
		default:
			r.add(i)
		}
	}
	if len(r.all) == 0 {
		return out
	}
	return r
}

// regionOf returns the region of a zone, or "" if no router is in it.
func (r Routers) regionOf(zone hitchfleet.AvailabilityZone) hitchfleet.Region {
	for i := range r.all {
		if r.all[i].Zone == zone {
			return r.all[i].Region
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
	start := len(dst)
	best := r.rank(chat, near)
	for _, otherZone := range []bool{true, false} {
		for _, item := range best.items[:best.n] {
			next := &r.all[item.index]
			if len(dst)-start < maxAddresses && !isTaken(dst[start:], next, otherZone) {
				dst = append(dst, *next)
			}
		}
	}
	return Answer{Routers: dst[start:], Deadline: now.Add(AnswerLife)}
}

// Home returns the chat's home, or false without routers. region is where the
// chat's callers are.
func (r Routers) Home(chat hitchfleet.Key, region hitchfleet.Region) (hitchfleet.Instance, bool) {
	best := r.rank(chat, region)
	if best.n == 0 {
		return hitchfleet.Instance{}, false
	}
	return r.all[best.items[0].index], true
}

// rank returns the first routers of the region by rendezvous hashing, or of all
// regions if the region has none.
func (r Routers) rank(chat hitchfleet.Key, region hitchfleet.Region) ranked {
	best := r.rankWhere(chat, func(i int) bool { return r.all[i].Region == region })
	if best.n > 0 {
		return best
	}
	return r.rankWhere(chat, func(int) bool { return true })
}

func (r Routers) rankWhere(chat hitchfleet.Key, isIn func(i int) bool) (best ranked) {
	var least uint64
	for i, key := range r.keys {
		if score := hitchfleet.Score(chat, key); score > least && isIn(i) {
			best.add(maxRanked, score, i)
			least = best.least(maxRanked)
		}
	}
	return best
}

func isTaken(taken []hitchfleet.Instance, i *hitchfleet.Instance, zoneToo bool) bool {
	for k := range taken {
		if taken[k].ID == i.ID || (zoneToo && taken[k].Zone == i.Zone) {
			return true
		}
	}
	return false
}
