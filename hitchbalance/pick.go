package hitchbalance

import (
	"math"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// Reason is the reason for which an endpoint was picked.
type Reason uint8

// The reasons.
const (
	// ByCache means that the engine has the prompt's shared prefixes cached or is
	// prefilling them.
	ByCache Reason = iota
	// ByAffinity means that the endpoint is the first in the prompt's rendezvous order.
	ByAffinity
	// ByOverflow means that the endpoint comes later in that order, as those before it
	// were above the load or backlog bound.
	ByOverflow
	// ByLoad means that the endpoint has the least load.
	ByLoad
	// BySlot means that the owner of the service's queue assigned a slot there.
	BySlot
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"Cache", "Affinity", "Overflow", "Load", "Slot"}[r]
}

// Pick is the endpoint chosen for a request.
type Pick struct {
	Endpoint hitchfleet.Endpoint
	// Relay is the instance that sends the request on to an endpoint, at the address of
	// Endpoint; empty unless this instance is cut off from endpoints. Such a pick isn't made by
	// a Balancer.
	Relay  hitchfleet.InstanceID
	Reason Reason
	// Tier is the endpoint's tier. The better tiers had no endpoint for the request.
	Tier Tier
	// Load is the estimate of the endpoint's load, in requests.
	Load float64
	// LoadUpdatedAt is when the last digest or load report arrived.
	LoadUpdatedAt time.Time
	// MeanLoad is the mean load estimate of the service's endpoints.
	MeanLoad float64
	// CacheSource is an engine from whose cache the chosen one can likely copy prefixes of
	// the prompt; its ID is empty if there is none.
	CacheSource hitchfleet.Endpoint
	// PendingPrefix is the prefix of the prompt that the engine is prefilling for another
	// request; 0 if there is none. If this request were sent before the end of that
	// prefill, the engine would prefill the prefix twice.
	PendingPrefix hitchfleet.Key
	// newPrefixes are the prefixes that the engine neither had cached nor was
	// prefilling at the time of the pick.
	newPrefixes []hitchfleet.Key
	// isLongPrefill is set if newPrefixes isn't empty and at least longPrefillTokens of
	// the prompt's shared prefixes aren't cached.
	isLongPrefill bool
	// updates are the cache updates that the request causes. They are nil once queued.
	updates []hitchdigest.CachedPrefix
	id      uint64
	sentAt  time.Time
	// RetryAt is when an endpoint takes requests again, if none was picked as AllPaused or
	// AllAtQuota.
	RetryAt time.Time
	// UncachedTokens counts the prompt's tokens that the engine isn't known to have cached.
	UncachedTokens int
}

// Refusal is the reason why no endpoint was picked.
type Refusal uint8

// The refusals.
const (
	// NotRefused means that an endpoint was picked.
	NotRefused Refusal = iota
	// NoEndpoint means that no endpoint of the service may get requests.
	NoEndpoint
	// OtherVersions means that the service has endpoints, but none of the version to which
	// the request is limited.
	OtherVersions
	// AllTried means that the request was sent to every endpoint that may get requests.
	AllTried
	// AllCold means that the remaining endpoints are in cold start and at their rate
	// limit.
	AllCold
	// AllPaused means that the remaining endpoints asked for a pause, or are cold.
	AllPaused
	// AllAtQuota means that the remaining endpoints have got as many requests as they take, or
	// may get none for another reason.
	AllAtQuota
)

// String returns the refusal's name in logs.
func (r Refusal) String() string {
	return [...]string{"", "NoEndpoint", "OtherVersions", "AllTried", "AllCold", "AllPaused", "AllAtQuota"}[r]
}

// A prompt stays at its engine up to affinityBoundShare of the load bound that holds
// for all instances together, plus loadBoundSlack requests. The share is below 1
// because requests that other instances send before the next digest aren't known.
const (
	affinityBoundShare = 0.75
	loadBoundSlack     = 2.0
	defaultLoadFactor  = 2.0
)

// loadBound returns the load up to which an engine gets prompts by cache or affinity.
// The bound of the whole fleet is a multiple of the mean load. That mean includes the
// engines in zones that operators took out of service, although these get no
// requests. It doesn't include failed engines.
func (b *Balancer) loadBound(now time.Time, service hitchfleet.ServiceID, c candidates) float64 {
	factor := b.limits.LoadFactor
	if factor <= 0 {
		factor = defaultLoadFactor
	}
	zoneOut := b.zoneOutByService[service]
	sum := c.mean * float64(c.count)
	for _, e := range zoneOut {
		sum += b.load(now, e)
	}
	meanWithZonesOut := sum / float64(max(c.count+len(zoneOut), 1))
	return min(affinityBoundShare*factor*c.mean, factor*meanWithZonesOut) + loadBoundSlack
}

// Pick chooses an endpoint for a request. The request counts for the endpoint's load
// until Finish.
func (b *Balancer) Pick(now time.Time, r Request) (Pick, Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, refusal := b.findCandidates(now, r)
	if refusal != NotRefused {
		return Pick{RetryAt: c.returnAt}, refusal
	}
	e, reason := b.choose(now, c.best, r, b.loadBound(now, r.Service, c))
	return b.take(now, e, r, c, reason), NotRefused
}

// take counts a request for the load of the endpoint that was chosen for it.
func (b *Balancer) take(now time.Time, e *endpoint, r Request, c candidates, reason Reason) Pick {
	p := Pick{Endpoint: e.Endpoint, Reason: reason, Tier: c.tier, Load: b.load(now, e), LoadUpdatedAt: later(b.digestAt, e.reportedAt), MeanLoad: c.mean}
	if key, ok := r.Prompt.Affinity(); ok {
		if reason == BySlot {
			b.prefixKeys = r.Prompt.appendPrefixKeys(b.prefixKeys[:0])
		}
		p.CacheSource = b.cacheSource(now, e, key, b.prefixKeys)
		b.recordPrompt(now, e, &p, r.Prompt)
		if r.NeedsPermit == nil || !r.NeedsPermit(e.Endpoint) {
			b.announce(&p)
		}
	}
	if now.Before(e.ColdUntil) && !r.hasSlot {
		e.coldLimit.takeToken()
	}
	e.ownInFlight++
	b.lastPickID++
	p.id, p.sentAt = b.lastPickID, now
	e.pending = append(e.pending, pendingRequest{pickID: p.id, sentAt: now})
	e.health.recordRequest(now)
	e.outlier.health.recordRequest(now)
	e.zone.recordRequest(now)
	return p
}

// choose returns the best of the candidates for a request, and why it is the best.
func (b *Balancer) choose(now time.Time, candidates []*endpoint, r Request, bound float64) (*endpoint, Reason) {
	if key, ok := r.Prompt.Affinity(); ok {
		b.prefixKeys = r.Prompt.appendPrefixKeys(b.prefixKeys[:0])
		return b.chooseByAffinity(now, candidates, key, r.BacklogSlackTokens, bound)
	}
	return b.leastLoaded(now, candidates, r.Zone), ByLoad
}

// chooseByAffinity returns the first candidate in the key's rendezvous order that is
// within the load and backlog bounds. Candidates that have the prompt's shared
// prefixes cached or are prefilling them come before all others. An engine that
// joins therefore gets prompts only as the load requires, and takes none from engines
// that have them cached.
func (b *Balancer) chooseByAffinity(now time.Time, candidates []*endpoint, key hitchfleet.Key, slackTokens int, bound float64) (*endpoint, Reason) {
	maxBacklog := b.backlogBound(now, candidates, slackTokens)
	var cached, preferred, withinBounds topScored
	for _, e := range candidates {
		score := hitchfleet.Score(key, e.key)
		preferred.consider(e, score)
		if b.load(now, e) > bound || e.cache.backlog.tokens(now, b.prefixKeys) > maxBacklog {
			continue
		}
		withinBounds.consider(e, score)
		if e.cache.knownDepth(b.prefixKeys, now) == len(b.prefixKeys) {
			cached.consider(e, score)
		}
	}
	switch {
	case cached.endpoint != nil:
		return cached.endpoint, ByCache
	case withinBounds.endpoint == nil:
		return b.leastLoaded(now, candidates, ""), ByLoad
	case withinBounds.endpoint == preferred.endpoint:
		return withinBounds.endpoint, ByAffinity
	default:
		return withinBounds.endpoint, ByOverflow
	}
}

// backlogBound returns the largest backlog, in tokens, with which an engine may get
// the prompt of the present Pick.
func (b *Balancer) backlogBound(now time.Time, candidates []*endpoint, slackTokens int) int {
	if slackTokens <= 0 {
		return math.MaxInt
	}
	least := math.MaxInt
	for _, e := range candidates {
		least = min(least, e.cache.backlog.tokens(now, b.prefixKeys))
	}
	return least + slackTokens
}

// topScored holds the endpoint with the highest score so far.
type topScored struct {
	endpoint *endpoint
	score    uint64
}

func (t *topScored) consider(e *endpoint, score uint64) {
	if t.endpoint == nil || score > t.score {
		t.endpoint, t.score = e, score
	}
}

// leastLoaded returns the candidate with the least load. It adds otherZonePenalty to
// the load of candidates outside the zone, so that the zone is preferred at equal load.
func (b *Balancer) leastLoaded(now time.Time, candidates []*endpoint, zone hitchfleet.AvailabilityZone) *endpoint {
	var best *endpoint
	var least float64
	for _, e := range candidates {
		load := b.load(now, e)
		if e.Zone != zone {
			load += otherZonePenalty
		}
		if best == nil || load < least {
			best, least = e, load
		}
	}
	return best
}

// otherZonePenalty is the load added to endpoints in other zones, in requests.
const otherZonePenalty = 0.5

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
