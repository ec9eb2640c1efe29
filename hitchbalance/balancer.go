// Package hitchbalance decides which endpoint of a service gets a request. It
// has no socket, clock or goroutine of its own: it is told of endpoints, loads
// and results, and the time.
//
//	var b hitchbalance.Balancer
//	b.SetFleet(now, fleet)
//	pick, ok := b.Pick(now, request)
//	// ... send the request to pick.Endpoint ...
//	b.Settle(now, pick, hitchbalance.ResultOK)
package hitchbalance

import (
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// Limits are the bounds that all instances keep together.
type Limits struct {
	// ColdFactor and ColdSlack bound the requests in one second at an endpoint in
	// cold start: the factor times its rate, and the slack on top.
	ColdFactor float64
	ColdSlack  float64
	// LoadFactor bounds an endpoint's load as a multiple of the mean.
	LoadFactor float64
	// HeartbeatMilliseconds is how often endpoints report to the store.
	HeartbeatMilliseconds int
}

// Fleet is what a Balancer needs to know of the fleet.
type Fleet struct {
	Self      hitchfleet.InstanceID
	Instances []hitchfleet.Instance
	// Endpoints may get new work.
	Endpoints []hitchfleet.Endpoint
	// Leaving endpoints get no new work, but others may copy what they cache.
	Leaving []hitchfleet.Endpoint
	// Out are the endpoints of zones that operators took out. They get no new work,
	// but count for the mean load.
	Out   []hitchfleet.Endpoint
	Table *hitchroute.Table
}

// Balancer chooses endpoints. The zero value knows no endpoint. Its methods are
// safe for several goroutines.
type Balancer struct {
	mu        sync.Mutex
	limits    Limits
	self      hitchfleet.InstanceID
	ring      ring
	byID      map[hitchfleet.EndpointID]*endpoint
	byService map[hitchfleet.ServiceID][]*endpoint
	outBy     map[hitchfleet.ServiceID][]*endpoint
	// gone are endpoints that left the fleet lately: some go on for seconds, and
	// others may copy what they cache.
	gone  []*endpoint
	byRef map[hitchdigest.Ref]*endpoint
	paths map[hitchfleet.AvailabilityZone]*path
	// chain and byTier belong to the present Pick.
	chain  []hitchfleet.Key
	byTier [tiers][]*endpoint
	// beliefs are the changes that wait to be told.
	beliefs []Belief
	// tickets counts the picks.
	tickets uint64
	// news are the cached prefixes for the next report.
	news []hitchdigest.Cached
	// urgent gets a value when news can't wait for the next report.
	urgent chan struct{}
	// cacheChanged is closed when what is known of caches changes; nil if nobody
	// waits for that.
	cacheChanged chan struct{}
	// learnedAt is when a digest came last.
	learnedAt time.Time
}

// SetLimits replaces the bounds. They count from the next SetFleet on.
func (b *Balancer) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Load is what an endpoint says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// endpoint is the state of one endpoint.
type endpoint struct {
	hitchfleet.Endpoint
	key hitchfleet.Key
	ref hitchdigest.Ref
	// own counts this instance's requests in flight.
	own int
	// reported is the endpoint's load at reportedAt, and ownThen the value of own
	// at that time.
	reported   Load
	reportedAt time.Time
	ownThen    int
	shared     shared
	health     health
	path       *path
	waits      waits
	cached     cachedParts
	// joined is when this instance first heard of the endpoint, and goneAt when it
	// heard that it is gone.
	joined time.Time
	goneAt time.Time
	cold   coldGate
}

// SetFleet replaces what is known of the fleet. Endpoints that stay keep their
// state.
func (b *Balancer) SetFleet(now time.Time, f Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self, b.ring = f.Self, ringOf(f.Instances)
	old := b.byID
	b.byID = make(map[hitchfleet.EndpointID]*endpoint, len(f.Endpoints))
	b.byService = make(map[hitchfleet.ServiceID][]*endpoint)
	b.byRef = make(map[hitchdigest.Ref]*endpoint, len(f.Endpoints))
	for _, e := range slices.Concat(f.Endpoints, f.Leaving, f.Out) {
		state := old[e.ID]
		if state == nil || state.Born != e.Born || state.Addr != e.Addr {
			state = &endpoint{key: e.Key(), ref: hitchdigest.RefOf(e.ID), joined: now}
		}
		state.Endpoint, state.path = e, b.pathTo(e.Zone)
		if f.Table != nil {
			b.limitCold(now, state, f.Table.Service(e.Service))
		}
		b.byID[e.ID], b.byRef[state.ref] = state, state
	}
	for _, e := range f.Endpoints {
		b.byService[e.Service] = append(b.byService[e.Service], b.byID[e.ID])
	}
	b.outBy = make(map[hitchfleet.ServiceID][]*endpoint)
	for _, e := range f.Out {
		b.outBy[e.Service] = append(b.outBy[e.Service], b.byID[e.ID])
	}
	b.keepGone(now, old)
	for _, list := range b.byService {
		slices.SortFunc(list, func(x, y *endpoint) int { return compareIDs(x.ID, y.ID) })
	}
}

// pathTo returns what is known of the way to a zone.
func (b *Balancer) pathTo(zone hitchfleet.AvailabilityZone) *path {
	if b.paths == nil {
		b.paths = make(map[hitchfleet.AvailabilityZone]*path)
	}
	if b.paths[zone] == nil {
		b.paths[zone] = &path{}
	}
	return b.paths[zone]
}

// keepGone notes which endpoints have left the fleet and forgets those that left
// long ago.
func (b *Balancer) keepGone(now time.Time, old map[hitchfleet.EndpointID]*endpoint) {
	heartbeat := time.Duration(b.limits.HeartbeatMilliseconds) * time.Millisecond
	b.gone = slices.DeleteFunc(b.gone, func(e *endpoint) bool { return now.Sub(e.goneAt) >= goneSourceLife })
	for id, e := range old {
		if b.byID[id] == nil && e.health.leftInOrder(now, heartbeat) {
			e.goneAt = now
			b.gone = append(b.gone, e)
		}
	}
}

// Observe takes in what an endpoint says of its load.
func (b *Balancer) Observe(now time.Time, id hitchfleet.EndpointID, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byID[id]; e != nil {
		e.reported, e.reportedAt, e.ownThen = l, now, e.own
	}
}

// Result is what became of a request at an endpoint.
type Result uint8

// The results.
const (
	// ResultOK is a whole answer.
	ResultOK Result = iota
	// ResultFailed is an answer that says that the endpoint failed.
	ResultFailed
	// ResultRefused means that the endpoint said that it didn't run the request.
	ResultRefused
	// ResultSilent means that no connection could be made in time, or that no byte
	// came: the endpoint is stuck or the way to it is cut.
	ResultSilent
	// ResultLost means that the endpoint refused or broke the connection.
	ResultLost
	// ResultAbandoned means that the caller left or its time was over.
	ResultAbandoned
)

// String returns the result's name as it stands in logs.
func (r Result) String() string {
	return [...]string{"OK", "Failed", "Refused", "Silent", "Lost", "Abandoned"}[r]
}

// Settle ends what Pick began.
func (b *Balancer) Settle(now time.Time, p Pick, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointOf(p)
	if e == nil {
		return
	}
	e.own = max(e.own-1, 0)
	switch r {
	case ResultOK, ResultFailed, ResultRefused:
		b.answered(now, e, p.ticket)
	case ResultSilent:
		b.fail(now, p.sentAt, e)
		b.failPath(now, p.sentAt, e)
	case ResultLost:
		b.fail(now, p.sentAt, e)
	}
	e.waits.end(p.ticket)
	if r == ResultOK {
		b.read(now, e, p)
	} else {
		b.unread(now, e, p.brings)
	}
}

// endpointOf returns the endpoint of a pick, or nil if it has left or started
// anew since.
func (b *Balancer) endpointOf(p Pick) *endpoint {
	if e := b.byID[p.Endpoint.ID]; e != nil && e.Born == p.Endpoint.Born {
		return e
	}
	return nil
}

// load estimates the requests of all instances at the endpoint: the last digest's
// sum, or else the endpoint's own word, with what this instance began and ended
// since.
func (b *Balancer) load(now time.Time, e *endpoint) float64 {
	switch {
	case now.Sub(b.learnedAt) < digestLife:
		sum := 0
		if now.Sub(e.shared.at) < digestLife {
			sum = e.shared.inFlight
		}
		return float64(max(sum+e.own-e.shared.reportedOwn, e.own))
	case now.Sub(e.reportedAt) < reportLife:
		return float64(max(e.reported.Running+e.reported.Waiting+e.own-e.ownThen, e.own))
	default:
		return float64(e.own)
	}
}

// reportLife is how long an endpoint's word on its load counts.
const reportLife = 3 * time.Second

func compareIDs(a, b hitchfleet.EndpointID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
