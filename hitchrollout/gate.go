package hitchrollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Group is a group of a service's endpoints.
type Group uint8

// The groups.
const (
	// AnyVersion is all endpoints that no ended rollout excludes.
	AnyVersion Group = iota
	// OldVersion is the endpoints of other versions than the new one.
	OldVersion
	// NewVersion is the endpoints of the new version; until all requests go there, only as many
	// as have the load of an old one.
	NewVersion
)

// String returns the group's name.
func (g Group) String() string { return [...]string{"Any", "Old", "New"}[g] }

// Times and limits of gates.
const (
	// contactTTL is how long the new version receives requests in phase Canary after the last
	// contact with a hub or the store, either of which may have had a stop.
	contactTTL = 2 * time.Second
	// minCanaries is how many endpoints of the new version receive requests at least, so that
	// faults of single ones can be told from those of the version.
	minCanaries = 4
)

// Gate decides which group of a service's endpoints an instance's attempts go to. The zero value
// lets everything through. Its methods are safe for concurrent use.
type Gate struct {
	// Random returns a number in [0, 1); math/rand/v2 if nil. It is set before the first call.
	Random func() float64

	mu     sync.Mutex
	order  *Order
	record *Record
	stop   *StopMsg
	// contactAt is the last contact with a hub or the store.
	contactAt time.Time
	// rampFrom is the share at rampAt, the start of a ramp; no ramp if rampAt is zero.
	rampFrom float64
	rampAt   time.Time
	// due is the sum of the shares of all requests so far, less those that went to the new
	// version. It starts at random, so that the instances of a fleet don't send their first
	// request there at the same time.
	due      float64
	isSeeded bool

	endpoints []hitchfleet.Endpoint
	// canaries are the ranks of the warm endpoints of the new version, until rankedUntil, when
	// the next one is warm.
	canaries    map[hitchfleet.EndpointID]int
	rankedUntil time.Time
	// oldCount and newCount are the numbers of listed endpoints that aren't leaving.
	oldCount, newCount int
}

// SetOrder sets the order and the record that the instance knows; nil if there is none. A record
// of an earlier order holds until the first one of the present order.
func (g *Gate) SetOrder(now time.Time, order *Order, record *Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isSame(g.order, order, Order.equal) && isSame(g.record, record, Record.Equal) {
		return
	}
	isNext := g.record != nil && record != nil && g.record.OrderRevision == record.OrderRevision
	switch {
	case isNext && record.Step < g.record.Step && g.record.Phase.IsEnded():
		// The store has lost the end, and the primary hub writes it again.
		record = g.record
	case !isNext:
		g.rampAt = time.Time{}
	case record.Step != g.record.Step:
		// An instance that starts in phase Moving has no ramp: the share was reached before.
		g.rampFrom, g.rampAt = g.share(now), now
	}
	g.order, g.record = order, record
	if g.stop != nil && record != nil && (record.OrderRevision > g.stop.OrderRevision || record.OrderRevision == g.stop.OrderRevision && record.Step > g.stop.Step) {
		g.stop = nil
	}
	g.rank(now)
}

// isSame reports whether two values are equal, or both nil.
func isSame[T any](a, b *T, equal func(a, b T) bool) bool {
	return a == b || a != nil && b != nil && equal(*a, *b)
}

// SetEndpoints sets the listed endpoints of the service.
func (g *Gate) SetEndpoints(now time.Time, endpoints []hitchfleet.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoints = endpoints
	g.rank(now)
}

// rank ranks the endpoints of the new version, and counts those of both groups.
func (g *Gate) rank(now time.Time) {
	g.oldCount, g.newCount, g.rankedUntil = 0, 0, time.Time{}
	var warm []hitchfleet.Endpoint
	for _, e := range g.endpoints {
		switch {
		case e.Leaving:
		case g.isOld(e):
			g.oldCount++
		case g.isNew(e):
			g.newCount++
			if !e.ColdUntil.After(now) {
				warm = append(warm, e)
			} else if g.rankedUntil.IsZero() || e.ColdUntil.Before(g.rankedUntil) {
				g.rankedUntil = e.ColdUntil
			}
		}
	}
	g.canaries = make(map[hitchfleet.EndpointID]int, len(warm))
	if version, ok := g.version(); ok {
		for n, e := range hitchfleet.Rank(nil, hitchfleet.KeyOf("rollout", version), warm, hitchfleet.Endpoint.Key) {
			g.canaries[e.Candidate.ID] = n
		}
	}
}

// version returns the new version of the order or, if there is none, of the record.
func (g *Gate) version() (version string, ok bool) {
	switch {
	case g.order != nil:
		return g.order.Version, true
	case g.record != nil:
		return g.record.Version, true
	default:
		return "", false
	}
}

// isExcluded reports whether the record keeps a version from receiving anything.
func (g *Gate) isExcluded(version string) bool {
	r := g.record
	if r == nil || g.order != nil && version == g.order.Version {
		return false
	}
	return slices.Contains(r.excluded(), version)
}

func (g *Gate) isNew(e hitchfleet.Endpoint) bool {
	version, ok := g.version()
	return ok && e.Version == version
}

func (g *Gate) isOld(e hitchfleet.Endpoint) bool {
	return !g.isNew(e) && !g.isExcluded(e.Version)
}

// current returns the record if it is of the order.
func (g *Gate) current() *Record {
	if g.record == nil || g.order != nil && !g.record.IsFor(*g.order) {
		return nil
	}
	return g.record
}

// phase returns the phase that the instance follows.
func (g *Gate) phase() Phase {
	r := g.current()
	switch {
	case r == nil || g.order == nil && !r.Phase.IsEnded():
		return Reverted // no record yet, or the order was removed
	case r.Phase.IsEnded():
		return r.Phase
	case g.stop != nil && g.stop.OrderRevision == r.OrderRevision && g.stop.Step >= r.Step:
		return g.stop.Phase
	default:
		return r.Phase
	}
}

// share returns the share of first attempts that go to the new version now.
func (g *Gate) share(now time.Time) float64 {
	switch g.phase() {
	case Completed:
		return 1
	case Reverted:
		return 0
	case Canary:
		if now.Sub(g.contactAt) > contactTTL {
			return 0
		}
		return g.record.Share
	}
	to, ramp := g.record.RampShare, time.Duration(g.record.RampMilliseconds)*time.Millisecond
	passed := now.Sub(g.rampAt)
	if g.rampAt.IsZero() || passed >= ramp {
		return to
	}
	return g.rampFrom + (to-g.rampFrom)*float64(max(passed, 0))/float64(ramp)
}

// Contact records that a hub's digest or a response of the store has come.
func (g *Gate) Contact(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contactAt = now
}

// Stop applies a stop notice. It reports whether this reduces what the instance sends to the new
// version.
func (g *Gate) Stop(_ time.Time, msg StopMsg) (isApplied bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if msg.Phase != Canary && msg.Phase != Reverted {
		return false
	}
	if r := g.record; r != nil && (r.OrderRevision > msg.OrderRevision || r.OrderRevision == msg.OrderRevision && (r.Step > msg.Step || r.Phase.IsEnded())) {
		return false
	}
	if s := g.stop; s != nil && (s.OrderRevision > msg.OrderRevision || s.OrderRevision == msg.OrderRevision && (s.Step > msg.Step || s.Phase == Reverted)) {
		return false
	}
	before := g.phase()
	g.stop = &msg
	return g.phase() != before
}

// Choose returns the group for the first attempt of a request. Each call counts as one request.
func (g *Gate) Choose(now time.Time) Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.order == nil && g.record == nil || g.current() != nil && g.record.Phase.IsEnded():
		return AnyVersion
	case g.oldCount == 0 && g.newCount > 0:
		return NewVersion
	case g.newCount == 0:
		return OldVersion
	}
	g.refresh(now)
	share := g.share(now)
	if len(g.canaries) == 0 && share < 1 {
		return OldVersion
	}
	if !g.isSeeded {
		random := rand.Float64
		if g.Random != nil {
			random = g.Random
		}
		g.due, g.isSeeded = random(), true
	}
	// The floor of share times n plus the random start rises by one with this request.
	if g.due += share; g.due < 1 {
		return OldVersion
	}
	g.due--
	return NewVersion
}

// refresh ranks the endpoints again once another one is warm.
func (g *Gate) refresh(now time.Time) {
	if !g.rankedUntil.IsZero() && !now.Before(g.rankedUntil) {
		g.rank(now)
	}
}

// Retry returns the group for another attempt of a request of which no event has reached the
// caller. Until all requests go to the new version, it is the old one.
func (g *Gate) Retry(now time.Time) Group {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.order == nil && g.record == nil || g.current() != nil && g.record.Phase.IsEnded():
		return AnyVersion
	case g.newCount > 0 && (g.oldCount == 0 || g.share(now) >= 1):
		return NewVersion
	default:
		return OldVersion
	}
}

// Allows reports whether an attempt of a group may go to an endpoint.
func (g *Gate) Allows(now time.Time, e hitchfleet.Endpoint, group Group) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.order == nil && g.record == nil {
		return true
	}
	if phase := g.phase(); group == AnyVersion || g.oldCount == 0 && g.newCount == 0 {
		return g.allowsAny(phase, e)
	}
	switch group {
	case OldVersion:
		return g.isOld(e)
	default:
		if !g.isNew(e) {
			return false
		}
		share := g.share(now)
		if share >= 1 || g.oldCount == 0 {
			return true
		}
		g.refresh(now)
		rank, ok := g.canaries[e.ID]
		return ok && rank < max(minCanaries, int(share*float64(g.oldCount)))
	}
}

// allowsAny reports whether an attempt may go to an endpoint if it is of no group. What a rollout
// excludes is used if nothing else is listed.
func (g *Gate) allowsAny(phase Phase, e hitchfleet.Endpoint) bool {
	isRefused := func(e hitchfleet.Endpoint) bool {
		return g.isExcluded(e.Version) || phase != Completed && g.isNew(e)
	}
	return !isRefused(e) || !slices.ContainsFunc(g.endpoints, func(e hitchfleet.Endpoint) bool { return !e.Leaving && !isRefused(e) })
}

// AllowsStream reports whether a stream that began at the endpoint's version may go on there.
// Streams end where they began, whatever the phase, until the platform stops the endpoint.
func (g *Gate) AllowsStream(_ time.Time, e hitchfleet.Endpoint) bool { return !e.Leaving }

// IsActive reports whether there is an order to count for, and to which version.
func (g *Gate) IsActive() (version string, isActive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.order == nil || g.current() != nil && g.record.Phase.IsEnded() {
		return "", false
	}
	return g.order.Version, true
}

// Share returns the share of first attempts that go to the new version now, for logs.
func (g *Gate) Share(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.order == nil && g.record == nil {
		return 0
	}
	return g.share(now)
}

// InForce returns what the instance follows, with the phase of a stop if that is less.
func (g *Gate) InForce(now time.Time) InForce {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.current()
	switch {
	case g.order == nil && r != nil && !r.Phase.IsEnded():
		// The order may be missing here only, so that this is no news of a stop.
		return InForce{}
	case r != nil:
		return InForce{OrderRevision: r.OrderRevision, Step: r.Step, Phase: g.phase(), IsFull: g.share(now) >= 1}
	case g.order != nil:
		return InForce{OrderRevision: g.order.Revision}
	default:
		return InForce{}
	}
}
