package hitchplace

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Target is an endpoint as placement sees it.
type Target struct {
	Endpoint hitchfleet.Endpoint
	// Version is the model version that the engine serves, or "".
	Version string
	// Adapters are those that the engine has loaded.
	Adapters []string
	// Load is the work in hand by the last digest, in tokens or requests.
	Load int64
	// Cold is set in cold start. HitOnly is set while the endpoint serves only the
	// chats whose prefix it has cached.
	Cold    bool
	HitOnly bool
}

// WithLoad returns a copy with other work in hand.
func (t Target) WithLoad(load int64) Target {
	t.Load = load
	return t
}

// WithCold returns a copy that is in cold start or not.
func (t Target) WithCold(cold bool) Target {
	t.Cold = cold
	return t
}

// WithHitOnly returns a copy that takes no new chats, or takes them again.
func (t Target) WithHitOnly(hitOnly bool) Target {
	t.HitOnly = hitOnly
	return t
}

// VersionWeight is the part of a route's chats that a model version gets, against
// the others of the route.
type VersionWeight struct {
	Version string
	Weight  float64
}

// Pool is the endpoints of one route that a router may choose from. It is
// immutable; NewPool makes another when the fleet, the loads or the weights
// change. The zero value has no endpoints.
type Pool struct {
	targets  []target
	versions []VersionWeight
	weight   float64 // sum of the weights
	limit    int64   // load above which a chat is placed elsewhere
	cold     bool    // whether any endpoint is in cold start
}

type target struct {
	Target
	key     hitchfleet.Key
	serving bool
}

// loadFactor is the multiple of the mean load up to which placement keeps to the
// rendezvous order (Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with
// Bounded Loads, 2018). It is below the bound of admission, as loads are late.
const loadFactor = 1.25

// loadFloor is the load below which the mean doesn't bind, by kind.
var loadFloor = [...]int64{hitchfleet.KindEngine: 8 << 10, hitchfleet.KindService: 8}

// NewPool returns the pool of the targets that neither leave nor are in a zone
// out.
func NewPool(targets []Target, versions []VersionWeight, zonesOut []hitchfleet.AvailabilityZone) Pool {
	p := Pool{targets: make([]target, 0, len(targets)), versions: versions}
	for _, v := range versions {
		p.weight += max(v.Weight, 0)
	}
	var total, serving int64
	for _, t := range targets {
		if t.Endpoint.Leaving || slices.Contains(zonesOut, t.Endpoint.Zone) {
			continue
		}
		one := target{Target: t, key: t.Endpoint.Key(), serving: !t.Cold && !t.HitOnly}
		p.targets = append(p.targets, one)
		p.cold = p.cold || t.Cold
		if one.serving {
			total += t.Load
			serving++
		}
	}
	if serving > 0 {
		p.limit = int64(loadFactor * float64(total) / float64(serving))
		p.limit = max(p.limit, loadFloor[p.targets[0].Endpoint.Kind])
	}
	return p
}

// Len returns the number of open endpoints, cold ones included.
func (p Pool) Len() int { return len(p.targets) }

// find returns the index of an endpoint, or -1.
func (p Pool) find(id hitchfleet.EndpointID) int {
	return slices.IndexFunc(p.targets, func(t target) bool { return t.Endpoint.ID == id })
}

// version returns the version that a chat is placed on: a part of all chats in
// proportion to the weights, and always the same for one chat. It is "" if the
// route has no weights.
func (p Pool) version(chat hitchfleet.Key) string {
	if p.weight <= 0 {
		return ""
	}
	const fraction = 1 << 53
	point := float64(hitchfleet.Score(chat, versionKey)%fraction) / fraction * p.weight
	for _, v := range p.versions {
		if point -= max(v.Weight, 0); point < 0 {
			return v.Version
		}
	}
	return p.versions[len(p.versions)-1].Version
}

// versionKey tells the choice of versions from that of endpoints.
const versionKey hitchfleet.Key = 0x7665727369

// SubsetSize returns how many of n endpoints an organisation's chats are spread
// over, given its share of the route's work: its share with half as much again,
// and at least two, so that one may fail.
func SubsetSize(n int, share float64) int {
	const headroom = 1.5
	size := int(float64(n)*share*headroom) + 1
	return max(min(size, n), min(2, n))
}

// isCached tells whether an entry's prefix is likely still in its engine's cache.
func isCached(r *Residence, now time.Time, e *Entry) bool {
	if r == nil {
		return true
	}
	horizon, ok := r.Horizon(now, e.Endpoint)
	return !ok || !e.LastUse.Before(horizon)
}
