package hitchplace

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Request holds the properties of a request that determine its placement.
type Request struct {
	Organisation hitchfleet.OrganisationID
	// Chat is the ChatKey of the request's chat.
	Chat hitchfleet.Key
	// Zone is the router's own zone. Its endpoints are preferred when loads are
	// similar.
	Zone hitchfleet.AvailabilityZone
	// Version pins a model version; if empty, the version weights decide.
	Version string
	// Adapter is the adapter that the engine must have loaded. It is ignored if no
	// engine has it.
	Adapter string
	// Subset is the size of the organisation's subset, as from SubsetSize.
	Subset int
	// Entry is the chat's directory entry, or the zero value if it has none.
	Entry Entry
	// Evictions estimates whether the entry's prefix is still cached. If nil, the
	// prefix counts as cached.
	Evictions *EvictionTracker
}

// PlacementReason is the rule by which a candidate was chosen.
type PlacementReason uint8

// The placement reasons, best first.
const (
	// ByDirectory means that the chat's directory entry names the endpoint.
	ByDirectory PlacementReason = iota
	// BySubset means that the endpoint is in the organisation's subset.
	BySubset
	// ByOverflow means that the endpoint follows the subset in the organisation's
	// rendezvous order.
	ByOverflow
	// ByLoad means that the endpoint is the least loaded of a sample.
	ByLoad
	// ByColdTrial means that the endpoint is in cold start and needs requests to
	// warm up.
	ByColdTrial
)

// String returns the reason's name.
func (r PlacementReason) String() string {
	return [...]string{"Directory", "Subset", "Overflow", "Load", "ColdTrial"}[r]
}

// Candidate is an endpoint to try.
type Candidate struct {
	Endpoint hitchfleet.EndpointID
	Reason   PlacementReason
}

// The limits of one choice: the number of endpoints whose loads are compared, and
// the number of candidates.
const (
	loadSamples   = 4
	maxCandidates = 4
)

// Choose appends to dst the endpoints to try for a request, best first, and
// returns it. It doesn't allocate if dst has enough capacity.
//
// If the chat's prefix is cached at an endpoint of the pool, the candidates are
// that endpoint and the least loaded of a sample. Otherwise they are the members of
// the organisation's subset in the chat's rendezvous order, then the endpoints that
// follow in the organisation's rendezvous order, both only while their load is
// within the limit, and the least loaded of a sample. That one comes first if the
// prefix was cached but has been evicted, else last. A few new chats first try an
// endpoint in cold start.
//
//	candidates = pool.Choose(candidates[:0], request, now)
func (p *Pool) Choose(dst []Candidate, r Request, now time.Time) []Candidate {
	start := len(dst)
	c := p.newChoice(&r)
	i, found := p.index[r.Entry.Endpoint]
	switch {
	case found && !c.canContinue(i):
	case found && isCached(r.Evictions, now, &r.Entry):
		dst = append(dst, Candidate{Endpoint: r.Entry.Endpoint, Reason: ByDirectory})
		return c.appendLeastLoaded(dst, start)
	case found:
		return c.appendByRendezvous(c.appendLeastLoaded(dst, start), start)
	case p.hasCold && r.Entry.Endpoint == "":
		dst = c.appendColdTrial(dst)
	}
	return c.appendLeastLoaded(c.appendByRendezvous(dst, start), start)
}

// coldTrialInterval is the number of new chats per chat that is first sent to an
// endpoint in cold start. Without requests, an endpoint would never warm up.
const coldTrialInterval = 16

// coldTrialSalt makes the selection of cold trials independent of the other uses
// of a chat's hash.
const coldTrialSalt hitchfleet.Key = 0x636f6c64

// appendColdTrial appends an endpoint in cold start for one in coldTrialInterval
// new chats.
func (c *choice) appendColdTrial(dst []Candidate) []Candidate {
	if hitchfleet.Score(c.request.Chat, coldTrialSalt)%coldTrialInterval != 0 {
		return dst
	}
	var cold ranking
	for i := range c.pool.states {
		if c.pool.states[i].cold && c.matches(i) {
			cold.add(1, hitchfleet.Score(c.request.Chat, c.pool.keys[i]), i)
		}
	}
	if cold.n == 0 {
		return dst
	}
	return append(dst, Candidate{Endpoint: c.pool.endpointID(cold.items[0].index), Reason: ByColdTrial})
}

// choice is the state of one call of Choose.
type choice struct {
	pool    *Pool
	request *Request
	version int32
	adapter string
}

// newChoice returns the state for a request. If no serving endpoint matches, it
// drops the adapter; if still none matches, it drops the version unless the
// request pins it.
func (p *Pool) newChoice(r *Request) choice {
	c := choice{pool: p, request: r, version: p.selectVersion(r), adapter: r.Adapter}
	if c.adapter != "" && !c.hasMatch() {
		c.adapter = ""
	}
	if c.version != anyVersion && r.Version == "" && !c.hasMatch() {
		c.version = anyVersion
	}
	return c
}

// hasMatch reports whether a serving endpoint has the version and the adapter.
func (c *choice) hasMatch() bool {
	for i := range c.pool.states {
		if c.pool.states[i].serving && c.matches(i) {
			return true
		}
	}
	return false
}

// matches reports whether an endpoint has the version and the adapter.
func (c *choice) matches(i int) bool {
	return (c.version == anyVersion || c.pool.states[i].version == c.version) &&
		(c.adapter == "" || slices.Contains(c.pool.targets[i].Adapters, c.adapter))
}

// canContinue reports whether the endpoint of the directory entry can serve the
// chat again.
func (c *choice) canContinue(i int32) bool {
	return !c.pool.states[i].cold && c.matches(int(i))
}

// appendByRendezvous appends the best endpoints in the organisation's rendezvous
// order: first the organisation's subset in the chat's rendezvous order, then the
// endpoints that follow the subset.
func (c *choice) appendByRendezvous(dst []Candidate, start int) []Candidate {
	org := hitchfleet.Key(orgHash(c.request.Organisation))
	subset := min(max(c.request.Subset, 1), maxRanked-maxCandidates)
	limit := subset + maxCandidates
	var byOrg ranking
	var minScore uint64
	for i, key := range c.pool.keys {
		score := hitchfleet.Score(org, key)
		if score > minScore && c.pool.states[i].serving && c.matches(i) {
			byOrg.add(limit, score, i)
			minScore = byOrg.minScore(limit)
		}
	}
	var byChat ranking
	for _, item := range byOrg.items[:min(subset, byOrg.n)] {
		byChat.add(subset, hitchfleet.Score(c.request.Chat, c.pool.keys[item.index]), int(item.index))
	}
	dst = c.appendUnderLimit(dst, start, byChat.items[:byChat.n], BySubset)
	return c.appendUnderLimit(dst, start, byOrg.items[min(subset, byOrg.n):byOrg.n], ByOverflow)
}

// appendUnderLimit appends the ranked endpoints whose load is within the limit.
func (c *choice) appendUnderLimit(dst []Candidate, start int, items []rankedItem, reason PlacementReason) []Candidate {
	for _, item := range items {
		if len(dst)-start >= maxCandidates-1 {
			break
		}
		id := c.pool.endpointID(item.index)
		if c.pool.states[item.index].load <= c.pool.loadLimit && !containsEndpoint(dst[start:], id) {
			dst = append(dst, Candidate{Endpoint: id, Reason: reason})
		}
	}
	return dst
}

// appendLeastLoaded appends the least loaded of a sample of endpoints selected by
// the chat's hash. If the sample has no eligible endpoint, it appends the next
// eligible one.
func (c *choice) appendLeastLoaded(dst []Candidate, start int) []Candidate {
	n := uint64(len(c.pool.states))
	best := int32(-1)
	for sample := uint64(0); sample < n && (sample < loadSamples || best < 0); sample++ {
		index := int32((hitchfleet.Score(c.request.Chat, loadSampleSalt) + sample) % n)
		if sample < loadSamples {
			index = int32(hitchfleet.Score(c.request.Chat, loadSampleSalt+hitchfleet.Key(sample)) % n)
		}
		if !c.pool.states[index].serving || !c.matches(int(index)) || containsEndpoint(dst[start:], c.pool.endpointID(index)) {
			continue
		}
		if best < 0 || c.effectiveLoad(index) < c.effectiveLoad(best) {
			best = index
		}
	}
	if best < 0 {
		return dst
	}
	return append(dst, Candidate{Endpoint: c.pool.endpointID(best), Reason: ByLoad})
}

// loadSampleSalt makes the load sample independent of the other uses of a chat's
// hash.
const loadSampleSalt hitchfleet.Key = 0x6c6f6164

// effectiveLoad returns the endpoint's load, reduced by an eighth in the router's
// own zone.
func (c *choice) effectiveLoad(i int32) int64 {
	load := c.pool.states[i].load
	if c.pool.targets[i].Endpoint.Zone == c.request.Zone {
		return load - load/8
	}
	return load
}

func containsEndpoint(list []Candidate, id hitchfleet.EndpointID) bool {
	for i := range list {
		if list[i].Endpoint == id {
			return true
		}
	}
	return false
}
