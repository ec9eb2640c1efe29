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

// The bounds of one choice.
const (
	loadSamples   = 4
	maxCandidates = 4
)

// Choose appends to dst the endpoints to try for a request, best first, and
// returns it. If the chat's prefix is cached at an endpoint that serves, that one
// comes first, then the least loaded of a few. If the prefix was evicted there, the
// least loaded of a few comes first. Then come the members of the organisation's
// subset in the chat's rendezvous order while they are not above the load limit;
// the following ones in the organisation's order; and the least loaded of a few.
// With capacity in dst it doesn't allocate.
//
//	candidates = pool.Choose(candidates[:0], request, now)
func (p *Pool) Choose(dst []Candidate, r Request, now time.Time) []Candidate {
	start := len(dst)
	c := p.choice(&r)
	i, known := p.index[r.Entry.Endpoint]
	switch {
	case known && !c.isUsable(i):
	case known && isCached(r.Residence, now, &r.Entry):
		dst = append(dst, Candidate{Endpoint: r.Entry.Endpoint, Why: ByDirectory})
		return c.leastLoaded(dst, start)
	case known:
		return c.rank(c.leastLoaded(dst, start), start)
	case p.cold && r.Entry.Endpoint == "":
		dst = c.tryCold(dst)
	}
	return c.leastLoaded(c.rank(dst, start), start)
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
	for i := range c.pool.fast {
		if c.pool.fast[i].cold && c.fits(i) {
			cold.add(1, hitchfleet.Score(c.request.Chat, c.pool.keys[i]), i)
		}
	}
	if cold.n == 0 {
		return dst
	}
	return append(dst, Candidate{Endpoint: c.pool.id(cold.items[0].index), Why: ByColdTrial})
}

// choice is the state of one Choose.
type choice struct {
	pool    *Pool
	request *Request
	version int32
	adapter string
}

// choice starts a choice. It drops what no serving endpoint fulfils: the adapter
// first, then the version unless it was asked for.
func (p *Pool) choice(r *Request) choice {
	c := choice{pool: p, request: r, version: p.versionOf(r), adapter: r.Adapter}
	if c.adapter != "" && !c.any() {
		c.adapter = ""
	}
	if c.version != anyVersion && r.Version == "" && !c.any() {
		c.version = anyVersion
	}
	return c
}

func (c *choice) any() bool {
	for i := range c.pool.fast {
		if c.pool.fast[i].serving && c.fits(i) {
			return true
		}
	}
	return false
}

// fits tells whether an endpoint serves the version and the adapter.
func (c *choice) fits(i int) bool {
	return (c.version == anyVersion || c.pool.fast[i].version == c.version) &&
		(c.adapter == "" || slices.Contains(c.pool.targets[i].Adapters, c.adapter))
}

// isUsable tells whether the entry's endpoint can go on with the chat.
func (c *choice) isUsable(i int32) bool {
	return !c.pool.fast[i].cold && c.fits(int(i))
}

// rank appends the endpoints by the organisation's order: first its subset in the
// chat's order, then the overflow.
func (c *choice) rank(dst []Candidate, start int) []Candidate {
	org := hitchfleet.Key(orgHash(c.request.Organisation))
	subset := min(max(c.request.Subset, 1), maxRanked-maxCandidates)
	limit := subset + maxCandidates
	var byOrg ranked
	var least uint64
	for i, key := range c.pool.keys {
		score := hitchfleet.Score(org, key)
		if score > least && c.pool.fast[i].serving && c.fits(i) {
			byOrg.add(limit, score, i)
			least = byOrg.least(limit)
		}
	}
	var byChat ranked
	for _, item := range byOrg.items[:min(subset, byOrg.n)] {
		byChat.add(subset, hitchfleet.Score(c.request.Chat, c.pool.keys[item.index]), int(item.index))
	}
	dst = c.take(dst, start, byChat.items[:byChat.n], BySubset)
	return c.take(dst, start, byOrg.items[min(subset, byOrg.n):byOrg.n], ByOverflow)
}

// take appends the ranked endpoints that are below the load limit.
func (c *choice) take(dst []Candidate, start int, items []rankedItem, why Why) []Candidate {
	for _, item := range items {
		if len(dst)-start >= maxCandidates-1 {
			break
		}
		id := c.pool.id(item.index)
		if c.pool.fast[item.index].load <= c.pool.limit && !has(dst[start:], id) {
			dst = append(dst, Candidate{Endpoint: id, Why: why})
		}
	}
	return dst
}

// leastLoaded appends the least loaded of a few endpoints drawn by the chat's
// hash, or the first that serves if none of those does.
func (c *choice) leastLoaded(dst []Candidate, start int) []Candidate {
	n := uint64(len(c.pool.fast))
	best := int32(-1)
	for k := uint64(0); k < n && (k < loadSamples || best < 0); k++ {
		at := int32((hitchfleet.Score(c.request.Chat, loadKey) + k) % n)
		if k < loadSamples {
			at = int32(hitchfleet.Score(c.request.Chat, loadKey+hitchfleet.Key(k)) % n)
		}
		if !c.pool.fast[at].serving || !c.fits(int(at)) || has(dst[start:], c.pool.id(at)) {
			continue
		}
		if best < 0 || c.cost(at) < c.cost(best) {
			best = at
		}
	}
	if best < 0 {
		return dst
	}
	return append(dst, Candidate{Endpoint: c.pool.id(best), Why: ByLoad})
}

// loadKey tells the draw of the least loaded from the other uses of a chat's hash.
const loadKey hitchfleet.Key = 0x6c6f6164

// cost is a load with an eighth off in the router's own zone.
func (c *choice) cost(i int32) int64 {
	load := c.pool.fast[i].load
	if c.pool.targets[i].Endpoint.Zone == c.request.Zone {
		return load - load/8
	}
	return load
}

func has(list []Candidate, id hitchfleet.EndpointID) bool {
	for i := range list {
		if list[i].Endpoint == id {
			return true
		}
	}
	return false
}
