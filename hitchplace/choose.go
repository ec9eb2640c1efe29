package hitchplace

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Request is what placement needs to know of one request.
type Request struct {
	Organisation hitchfleet.OrganisationID
	// Chat is its ChatKey.
	Chat hitchfleet.Key
	// Zone is the router's own, preferred where nothing else decides.
	Zone hitchfleet.AvailabilityZone
	// Version pins a model version; "" lets the weights decide.
	Version string
	// Adapter must be loaded, if any engine has it.
	Adapter string
	// Subset is the organisation's SubsetSize.
	Subset int
	// Entry is the chat's, if Directory.Get found one.
	Entry Entry
	// Residence tells whether the entry's prefix is still cached; nil means it is.
	Residence *Residence
}

// Why says what put a candidate in its place.
type Why uint8

// The reasons, the best first.
const (
	ByDirectory Why = iota
	BySubset
	ByOverflow
	ByLoad
	ByColdTrial
)

// String returns the reason's name.
func (w Why) String() string {
	return [...]string{"Directory", "Subset", "Overflow", "Load", "ColdTrial"}[w]
}

// Candidate is an endpoint to try.
type Candidate struct {
	Endpoint hitchfleet.EndpointID
	Why      Why
}

// The most endpoints that one choice ranks.
const (
	maxRanked     = 16
	loadSamples   = 4
	maxCandidates = 4
)

// ranked is the best endpoints by rendezvous hashing, best first.
type ranked struct {
	n     int
	items [maxRanked]struct {
		score uint64
		index int32
	}
}

// add keeps the endpoint if it is among the best limit.
func (r *ranked) add(limit int, score uint64, index int) {
	if r.n == limit && score <= r.items[r.n-1].score {
		return
	}
	if r.n < limit {
		r.n++
	}
	i := r.n - 1
	for i > 0 && r.items[i-1].score < score {
		r.items[i] = r.items[i-1]
		i--
	}
	r.items[i].score, r.items[i].index = score, int32(index)
}

// Choose appends to dst the endpoints to try for a request, best first, and
// returns it: the one that has the chat's prefix cached; those of the
// organisation's subset in the chat's rendezvous order while they are not above
// the load limit; the following ones in the organisation's order; and the least
// loaded of a few. With capacity in dst it doesn't allocate.
//
//	candidates = pool.Choose(candidates[:0], request, now)
func (p Pool) Choose(dst []Candidate, r Request, now time.Time) []Candidate {
	start := len(dst)
	c := choice{pool: p, request: &r, version: r.Version, adapter: r.Adapter}
	if c.version == "" {
		c.version = p.version(r.Chat)
	}
	c.relax()
	if r.Entry.Endpoint != "" && isCached(r.Residence, now, &r.Entry) {
		if i := p.find(r.Entry.Endpoint); i >= 0 && c.fits(&p.targets[i]) && !p.targets[i].Cold {
			dst = append(dst, Candidate{Endpoint: r.Entry.Endpoint, Why: ByDirectory})
		}
	}
	if p.cold && len(dst) == start && r.Entry.Endpoint == "" {
		dst = c.tryCold(dst)
	}
	dst = c.rank(dst, start)
	dst = c.leastLoaded(dst, start)
	if len(dst) == start {
		dst = c.allCold(dst)
	}
	return dst
}

// allCold appends endpoints in cold start in the chat's order. It is for a route
// that has no other: admission keeps the work there to what they bear.
func (c *choice) allCold(dst []Candidate) []Candidate {
	var cold ranked
	for i := range c.pool.targets {
		if t := &c.pool.targets[i]; t.Cold && c.fits(t) {
			cold.add(maxCandidates, hitchfleet.Score(c.request.Chat, t.key), i)
		}
	}
	for _, item := range cold.items[:cold.n] {
		dst = append(dst, Candidate{Endpoint: c.pool.targets[item.index].Endpoint.ID, Why: ByColdTrial})
	}
	return dst
}

// coldTrialEvery is how many new chats there are for each that tries an endpoint
// in cold start first. Without work no endpoint would get warm.
const coldTrialEvery = 16

// coldKey tells the draw of cold trials from the other uses of a chat's hash.
const coldKey hitchfleet.Key = 0x636f6c64

// tryCold appends an endpoint in cold start for a few of the new chats.
func (c *choice) tryCold(dst []Candidate) []Candidate {
	if hitchfleet.Score(c.request.Chat, coldKey)%coldTrialEvery != 0 {
		return dst
	}
	var cold ranked
	for i := range c.pool.targets {
		if t := &c.pool.targets[i]; t.Cold && c.fits(t) {
			cold.add(1, hitchfleet.Score(c.request.Chat, t.key), i)
		}
	}
	if cold.n == 0 {
		return dst
	}
	id := c.pool.targets[cold.items[0].index].Endpoint.ID
	return append(dst, Candidate{Endpoint: id, Why: ByColdTrial})
}

// choice is the state of one Choose.
type choice struct {
	pool    Pool
	request *Request
	version string
	adapter string
}

// relax drops what no serving endpoint fulfils: the adapter first, then the
// version unless it was asked for.
func (c *choice) relax() {
	if c.adapter != "" && !c.any() {
		c.adapter = ""
	}
	if c.version != "" && c.request.Version == "" && !c.any() {
		c.version = ""
	}
}

func (c *choice) any() bool {
	for i := range c.pool.targets {
		if t := &c.pool.targets[i]; t.serving && c.fits(t) {
			return true
		}
	}
	return false
}

// fits tells whether an endpoint serves the version and the adapter.
func (c *choice) fits(t *target) bool {
	return (c.version == "" || t.Version == c.version) &&
		(c.adapter == "" || slices.Contains(t.Adapters, c.adapter))
}

// rank appends the endpoints by the organisation's order: first its subset in the
// chat's order, then the overflow.
func (c *choice) rank(dst []Candidate, start int) []Candidate {
	org := hitchfleet.Key(orgHash(c.request.Organisation))
	subset := min(max(c.request.Subset, 1), maxRanked-maxCandidates)
	var byOrg ranked
	for i := range c.pool.targets {
		t := &c.pool.targets[i]
		if t.serving && c.fits(t) {
			byOrg.add(subset+maxCandidates, hitchfleet.Score(org, t.key), i)
		}
	}
	var byChat ranked
	for _, item := range byOrg.items[:min(subset, byOrg.n)] {
		byChat.add(subset, hitchfleet.Score(c.request.Chat, c.pool.targets[item.index].key), int(item.index))
	}
	dst = c.take(dst, start, &byChat, 0, BySubset)
	return c.take(dst, start, &byOrg, min(subset, byOrg.n), ByOverflow)
}

// take appends the ranked endpoints from an index on that are below the limit.
func (c *choice) take(dst []Candidate, start int, r *ranked, from int, why Why) []Candidate {
	for _, item := range r.items[from:r.n] {
		t := &c.pool.targets[item.index]
		if len(dst)-start >= maxCandidates-1 {
			break
		}
		if t.Load <= c.pool.limit && !has(dst[start:], t.Endpoint.ID) {
			dst = append(dst, Candidate{Endpoint: t.Endpoint.ID, Why: why})
		}
	}
	return dst
}

// leastLoaded appends the least loaded of a few endpoints drawn by the chat's
// hash. Where loads are alike the router's own zone is preferred.
func (c *choice) leastLoaded(dst []Candidate, start int) []Candidate {
	targets := c.pool.targets
	best := -1
	for k := 0; k < len(targets) && (k < loadSamples || best < 0); k++ {
		at := hitchfleet.Score(c.request.Chat, loadKey) % uint64(len(targets))
		if k < loadSamples {
			at = hitchfleet.Score(c.request.Chat, loadKey+hitchfleet.Key(k)) % uint64(len(targets))
		} else {
			at = (at + uint64(k)) % uint64(len(targets))
		}
		t := &targets[at]
		if !t.serving || !c.fits(t) || has(dst[start:], t.Endpoint.ID) {
			continue
		}
		if best < 0 || c.cost(t) < c.cost(&targets[best]) {
			best = int(at)
		}
	}
	if best < 0 {
		return dst
	}
	return append(dst, Candidate{Endpoint: targets[best].Endpoint.ID, Why: ByLoad})
}

// loadKey tells the draw of the least loaded from the other uses of a chat's hash.
const loadKey hitchfleet.Key = 0x6c6f6164

// cost is a load with an eighth off in the router's own zone.
func (c *choice) cost(t *target) int64 {
	if t.Endpoint.Zone == c.request.Zone {
		return t.Load - t.Load/8
	}
	return t.Load
}

func has(list []Candidate, id hitchfleet.EndpointID) bool {
	for i := range list {
		if list[i].Endpoint == id {
			return true
		}
	}
	return false
}
