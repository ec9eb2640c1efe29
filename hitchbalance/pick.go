package hitchbalance

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Why says what decided a pick.
type Why uint8

// The reasons.
const (
	// ByCache is an engine that has the prompt's shared parts cached.
	ByCache Why = iota
	// ByAffinity is the first endpoint of the prompt's rendezvous order.
	ByAffinity
	// ByOverflow is a later one, as those before were above the load bound.
	ByOverflow
	// ByLoad is the endpoint with the least load.
	ByLoad
)

// String returns the reason's name as it stands in logs.
func (w Why) String() string {
	return [...]string{"Cache", "Affinity", "Overflow", "Load"}[w]
}

// Pick is an endpoint for a request.
type Pick struct {
	Endpoint hitchfleet.Endpoint
	Why      Why
	// Tier is the endpoint's; no better one had an endpoint left.
	Tier Tier
	// Load is the estimate that decided, in requests.
	Load float64
	// LoadAt is when the estimate was last told by others.
	LoadAt time.Time
	// Mean is the mean estimate over the endpoints that may get the request.
	Mean float64
	// Source is an engine that likely caches what the chosen one lacks of the
	// prompt; its ID is empty if there is none.
	Source hitchfleet.Endpoint
	// Awaits is the prefix of the prompt that the engine reads for another request
	// just now; 0 if there is none. Sent at once, it would be read twice.
	Awaits hitchfleet.Key
	// brings are the prefixes that the request is the first to bring.
	brings []hitchfleet.Key
	// isLong tells that reading them takes long enough for others to know.
	isLong bool
	ticket uint64
	sentAt time.Time
	// Unread counts the prompt's tokens that the engine isn't known to cache.
	Unread int
}

// Refusal says why no endpoint was picked.
type Refusal uint8

// The refusals.
const (
	// NotRefused means that an endpoint was picked.
	NotRefused Refusal = iota
	// NoEndpoint means that no endpoint of the service may get work.
	NoEndpoint
	// AllTried means that the request was at every endpoint that may get work.
	AllTried
	// AllCold means that the endpoints left are in cold start, with as much work
	// as they bear.
	AllCold
)

// String returns the refusal's name as it stands in logs.
func (r Refusal) String() string {
	return [...]string{"", "NoEndpoint", "AllTried", "AllCold"}[r]
}

// Placement keeps a prompt to its engine up to this part of the load bound that
// all instances keep together, and the slack on top, in requests: what the others
// send before the next digest isn't known.
const (
	affinityShare     = 0.75
	affinitySlack     = 2.0
	defaultLoadFactor = 2.0
)

// loadBound returns the load up to which an engine gets prompts that are cached
// there or come to it by rendezvous. Engines in zones that operators took out are
// part of the mean that operators hold the fleet to, though they have no work;
// engines that are lost aren't.
func (b *Balancer) loadBound(now time.Time, service hitchfleet.ServiceID, c candidates) float64 {
	factor := b.limits.LoadFactor
	if factor <= 0 {
		factor = defaultLoadFactor
	}
	out := b.outBy[service]
	sum := c.mean * float64(c.counted)
	for _, e := range out {
		sum += b.load(now, e)
	}
	meanOfAll := sum / float64(max(c.counted+len(out), 1))
	return min(affinityShare*factor*c.mean, factor*meanOfAll) + affinitySlack
}

// Pick chooses an endpoint and counts the request there until Settle.
func (b *Balancer) Pick(now time.Time, r Request) (Pick, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, refusal := b.open(now, r)
	if refusal != NotRefused {
		return Pick{}, refusal
	}
	e, why := b.choose(now, c.list, r, b.loadBound(now, r.Service, c))
	p := Pick{Endpoint: e.Endpoint, Why: why, Tier: c.tier, Load: b.load(now, e), LoadAt: later(b.learnedAt, e.reportedAt), Mean: c.mean}
	if key, ok := r.Prompt.Affinity(); ok {
		p.Source = b.source(now, e, key, b.chain)
		b.begin(now, e, &p, r.Prompt)
	}
	if now.Before(e.ColdUntil) {
		e.cold.take()
	}
	e.own++
	b.tickets++
	p.ticket, p.sentAt = b.tickets, now
	e.waits = append(e.waits, wait{ticket: p.ticket, sentAt: now})
	e.health.begin(now)
	e.path.begin(now)
	return p, NotRefused
}

// choose returns the endpoint for a request among the open ones.
func (b *Balancer) choose(now time.Time, open []*endpoint, r Request, bound float64) (*endpoint, Why) {
	if key, ok := r.Prompt.Affinity(); ok {
		b.chain = r.Prompt.chain(b.chain[:0])
		return b.byAffinity(now, open, key, r.SlackTokens, bound)
	}
	return b.leastLoaded(now, open, r.Zone), ByLoad
}

// byAffinity returns the first endpoint of the key's rendezvous order that is
// within the load bound, of those that cache the prompt's shared parts if there
// are any. An engine that joins so gets prompts as the load asks for it, and takes
// none from engines that have them cached.
func (b *Balancer) byAffinity(now time.Time, open []*endpoint, key hitchfleet.Key, slack int, bound float64) (*endpoint, Why) {
	mostBacklog := b.mostBacklog(now, open, slack)
	var holder, first, within ranking
	for _, e := range open {
		score := hitchfleet.Score(key, e.key)
		first.take(e, score)
		if b.load(now, e) > bound || e.cached.backlog.tokens(now, b.chain) > mostBacklog {
			continue
		}
		within.take(e, score)
		if e.cached.depth(b.chain, now) == len(b.chain) {
			holder.take(e, score)
		}
	}
	switch {
	case holder.best != nil:
		return holder.best, ByCache
	case within.best == nil:
		return b.leastLoaded(now, open, ""), ByLoad
	case within.best == first.best:
		return within.best, ByAffinity
	default:
		return within.best, ByOverflow
	}
}

// mostBacklog returns the backlog up to which an engine gets the present prompt.
func (b *Balancer) mostBacklog(now time.Time, open []*endpoint, slack int) int {
	if slack <= 0 {
		return math.MaxInt
	}
	least := math.MaxInt
	for _, e := range open {
		least = min(least, e.cached.backlog.tokens(now, b.chain))
	}
	return least + slack
}

// ranking keeps the endpoint with the highest score.
type ranking struct {
	best  *endpoint
	score uint64
}

func (r *ranking) take(e *endpoint, score uint64) {
	if r.best == nil || score > r.score {
		r.best, r.score = e, score
	}
}

// leastLoaded returns the endpoint with the least load, one in the zone if
// several have as little.
func (b *Balancer) leastLoaded(now time.Time, open []*endpoint, zone hitchfleet.AvailabilityZone) *endpoint {
	var best *endpoint
	var least float64
	for _, e := range open {
		load := b.load(now, e)
		if e.Zone != zone {
			load += otherZoneLoad
		}
		if best == nil || load < least {
			best, least = e, load
		}
	}
	return best
}

// otherZoneLoad is what an endpoint in another zone counts more, in requests.
const otherZoneLoad = 0.5

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
