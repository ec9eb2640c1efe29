package hitchplace

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Pool is an immutable set of the endpoints of one route that a router may choose
// from. After a change of the fleet, the loads or the weights, NewPool builds a
// new one. The zero value has no endpoints.
type Pool struct {
	targets []Target
	// keys and states are parallel to targets. They hold the data that every choice
	// reads of each target, close together in memory.
	keys         []hitchfleet.Key
	states       []targetState
	index        map[hitchfleet.EndpointID]int32
	versions     []VersionWeight
	versionIDs   []int32  // IDs of versions, as in targetState.version
	versionNames []string // indexed by version ID
	totalWeight  float64  // sum of the weights
	loadLimit    int64    // load above which placement by rendezvous skips an endpoint
	hasCold      bool     // whether any endpoint is in cold start
}

// targetState is the part of a target's state that every choice reads.
type targetState struct {
	load    int64
	version int32
	serving bool
	cold    bool
}

// anyVersion matches all targets; it is the version for routes without weights.
// unknownVersion is a version that no target serves.
const (
	anyVersion     = -1
	unknownVersion = -2
)

// loadFactor is the multiple of the mean load up to which placement follows the
// rendezvous order (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with
// Bounded Loads, 2018). It is lower than the load bound of admission control,
// since the reported loads lag behind.
const loadFactor = 1.25

// minLoadLimit is the minimum of a pool's load limit, by kind of endpoint, in
// tokens for engines and requests for services.
var minLoadLimit = [...]int64{hitchfleet.KindEngine: 8 << 10, hitchfleet.KindService: 8}

// NewPool returns the pool of the targets that aren't leaving and whose zone is in
// service.
func NewPool(targets []Target, versions []VersionWeight, zonesOutOfService []hitchfleet.AvailabilityZone) Pool {
	p := Pool{versions: versions, index: make(map[hitchfleet.EndpointID]int32, len(targets))}
	var total, serving int64
	for _, t := range targets {
		if t.Endpoint.Leaving || slices.Contains(zonesOutOfService, t.Endpoint.Zone) {
			continue
		}
		p.add(t)
		if state := p.states[len(p.states)-1]; state.serving {
			total += t.Load
			serving++
		}
	}
	for _, v := range versions {
		p.totalWeight += max(v.Weight, 0)
		p.versionIDs = append(p.versionIDs, p.versionID(v.Version))
	}
	if serving > 0 {
		p.loadLimit = int64(loadFactor * float64(total) / float64(serving))
		p.loadLimit = max(p.loadLimit, minLoadLimit[p.targets[0].Endpoint.Kind])
	}
	return p
}

func (p *Pool) add(t Target) {
	id := p.versionID(t.Version)
	if id == unknownVersion {
		id = int32(len(p.versionNames))
		p.versionNames = append(p.versionNames, t.Version)
	}
	p.index[t.Endpoint.ID] = int32(len(p.targets))
	p.targets = append(p.targets, t)
	p.keys = append(p.keys, t.Endpoint.Key())
	p.states = append(p.states, targetState{
		load:    t.Load,
		version: id,
		serving: !t.Cold && !t.HitOnly,
		cold:    t.Cold,
	})
	p.hasCold = p.hasCold || t.Cold
}

func (p *Pool) versionID(name string) int32 {
	if i := slices.Index(p.versionNames, name); i >= 0 {
		return int32(i)
	}
	return unknownVersion
}

// Len returns the number of endpoints, including those in cold start.
func (p *Pool) Len() int { return len(p.targets) }

func (p *Pool) endpointID(i int32) hitchfleet.EndpointID { return p.targets[i].Endpoint.ID }

// selectVersion returns the version for a request: the pinned one, or one selected
// by the chat's hash in proportion to the weights, so that a chat always gets the
// same version.
func (p *Pool) selectVersion(r *Request) int32 {
	if r.Version != "" {
		return p.versionID(r.Version)
	}
	if p.totalWeight <= 0 {
		return anyVersion
	}
	const resolution = 1 << 53
	point := float64(hitchfleet.Score(r.Chat, versionSalt)%resolution) / resolution * p.totalWeight
	for i, v := range p.versions {
		if point -= max(v.Weight, 0); point < 0 {
			return p.versionIDs[i]
		}
	}
	return p.versionIDs[len(p.versionIDs)-1]
}

// versionSalt makes the selection of versions independent of that of endpoints.
const versionSalt hitchfleet.Key = 0x7665727369

// isCached reports whether an entry's prefix is likely still in its engine's cache.
func isCached(evictions *EvictionTracker, now time.Time, e *Entry) bool {
	if evictions == nil {
		return true
	}
	cutoff, ok := evictions.EvictionCutoff(now, e.Endpoint)
	return !ok || !e.LastUse.Before(cutoff)
}
