package hitchplace

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Pool is the endpoints of one route that a router may choose from. It is
// immutable; NewPool makes another when the fleet, the loads or the weights
// change. The zero value has no endpoints.
type Pool struct {
	targets []Target
	// keys and fast are by place in targets: what every choice reads of each, close
	// together in memory.
	keys     []hitchfleet.Key
	fast     []fastTarget
	index    map[hitchfleet.EndpointID]int32
	versions []VersionWeight
	ids      []int32 // the versions as in fast, by place in versions
	names    []string
	weight   float64 // sum of the weights
	limit    int64   // load above which a chat is placed elsewhere
	cold     bool    // whether any endpoint is in cold start
}

// fastTarget is the state of a target.
type fastTarget struct {
	load    int64
	version int32
	serving bool
	cold    bool
}

// anyVersion is the version of a route without weights. A version that no target
// serves is unknownVersion.
const (
	anyVersion     = -1
	unknownVersion = -2
)

// loadFactor is the multiple of the mean load up to which placement keeps to the
// rendezvous order (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with
// Bounded Loads, 2018). It is below the bound of admission, as loads are late.
const loadFactor = 1.25

// loadFloor is the load below which the mean doesn't bind, by kind.
var loadFloor = [...]int64{hitchfleet.KindEngine: 8 << 10, hitchfleet.KindService: 8}

// NewPool returns the pool of the targets that neither leave nor are in a zone
// out.
func NewPool(targets []Target, versions []VersionWeight, zonesOut []hitchfleet.AvailabilityZone) Pool {
	p := Pool{versions: versions, index: make(map[hitchfleet.EndpointID]int32, len(targets))}
	var total, serving int64
	for _, t := range targets {
		if t.Endpoint.Leaving || slices.Contains(zonesOut, t.Endpoint.Zone) {
			continue
		}
		p.add(t)
		if f := p.fast[len(p.fast)-1]; f.serving {
			total += t.Load
			serving++
		}
	}
	for _, v := range versions {
		p.weight += max(v.Weight, 0)
		p.ids = append(p.ids, p.versionID(v.Version))
	}
	if serving > 0 {
		p.limit = int64(loadFactor * float64(total) / float64(serving))
		p.limit = max(p.limit, loadFloor[p.targets[0].Endpoint.Kind])
	}
	return p
}

func (p *Pool) add(t Target) {
	id := p.versionID(t.Version)
	if id == unknownVersion {
		id = int32(len(p.names))
		p.names = append(p.names, t.Version)
	}
	p.index[t.Endpoint.ID] = int32(len(p.targets))
	p.targets = append(p.targets, t)
	p.keys = append(p.keys, t.Endpoint.Key())
	p.fast = append(p.fast, fastTarget{
		load:    t.Load,
		version: id,
		serving: !t.Cold && !t.HitOnly,
		cold:    t.Cold,
	})
	p.cold = p.cold || t.Cold
}

func (p *Pool) versionID(name string) int32 {
	if i := slices.Index(p.names, name); i >= 0 {
		return int32(i)
	}
	return unknownVersion
}

// Len returns the number of open endpoints, cold ones included.
func (p *Pool) Len() int { return len(p.targets) }

func (p *Pool) id(i int32) hitchfleet.EndpointID { return p.targets[i].Endpoint.ID }

// versionOf returns the version that a request is placed on: the one asked for, or
// one drawn by the chat's hash in proportion to the weights, always the same for
// one chat.
func (p *Pool) versionOf(r *Request) int32 {
	if r.Version != "" {
		return p.versionID(r.Version)
	}
	if p.weight <= 0 {
		return anyVersion
	}
	const fraction = 1 << 53
	point := float64(hitchfleet.Score(r.Chat, versionKey)%fraction) / fraction * p.weight
	for i, v := range p.versions {
		if point -= max(v.Weight, 0); point < 0 {
			return p.ids[i]
		}
	}
	return p.ids[len(p.ids)-1]
}

// versionKey tells the choice of versions from that of endpoints.
const versionKey hitchfleet.Key = 0x7665727369

// isCached tells whether an entry's prefix is likely still in its engine's cache.
func isCached(r *Residence, now time.Time, e *Entry) bool {
	if r == nil {
		return true
	}
	horizon, ok := r.Horizon(now, e.Endpoint)
	return !ok || !e.LastUse.Before(horizon)
}
