// Package hitchbalance chooses the endpoint of a service for each request. It has no
// socket, clock or goroutine of its own: callers pass in the endpoints, their loads,
// the results of requests and the time.
//
// An engine is an endpoint that serves a language model. It prefills a prompt, that
// is, processes its tokens, before it generates the response, and caches the
// result, so that requests with a shared prefix are best sent to the same engine.
//
//	var b hitchbalance.Balancer
//	b.SetFleet(now, fleet)
//	pick, ok := b.Pick(now, request)
//	// ... send the request to pick.Endpoint ...
//	b.Finish(now, pick, hitchbalance.ResultOK)
package hitchbalance

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// Limits holds the bounds that all instances together must keep, and the heartbeat
// interval of endpoints.
type Limits struct {
	// ColdFactor and ColdSlack bound the requests per second to an endpoint in cold
	// start, to ColdFactor times its rate plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// LoadFactor bounds an endpoint's load as a multiple of the mean.
	LoadFactor float64
	// HeartbeatMilliseconds is the interval at which endpoints report to the store.
	HeartbeatMilliseconds int
}

// Fleet is the part of the fleet's state that a Balancer uses.
type Fleet struct {
	Self      hitchfleet.InstanceID
	Instances []hitchfleet.Instance
	// Endpoints may get new requests.
	Endpoints []hitchfleet.Endpoint
	// Leaving endpoints get no new requests, but engines may copy from their caches.
	Leaving []hitchfleet.Endpoint
	// InZonesOut are the endpoints of zones that operators took out of service. They get
	// no new requests, but count for the mean load.
	InZonesOut []hitchfleet.Endpoint
	Table      *hitchroute.Table
}

// Balancer chooses endpoints. The zero value has no endpoints. Its methods are safe
// for concurrent use.
type Balancer struct {
	mu               sync.Mutex
	limits           Limits
	self             hitchfleet.InstanceID
	ring             ring
	byID             map[hitchfleet.EndpointID]*endpoint
	byService        map[hitchfleet.ServiceID][]*endpoint
	zoneOutByService map[hitchfleet.ServiceID][]*endpoint
	// removed are endpoints that recently left the fleet. Some still serve for seconds,
	// and engines may copy from their caches.
	removed []*endpoint
	// absent are endpoints that left the fleet while requests to them were in flight. One
	// whose entry returns still serves these.
	absent map[hitchfleet.EndpointID]*endpoint
	byRef  map[hitchdigest.EndpointRef]*endpoint
	zones  map[hitchfleet.AvailabilityZone]*zoneHealth
	// prefixKeys, byTier and otherVersions are buffers of the present call of Pick.
	prefixKeys    []hitchfleet.Key
	byTier        [tierCount][]*endpoint
	otherVersions []*endpoint // left out because of their version
	// healthChanges are the changes since the last call of TakeHealthChanges.
	healthChanges []HealthChange
	// lastPickID counts the picks.
	lastPickID uint64
	// cacheUpdates are the cache updates for the next report.
	cacheUpdates []hitchdigest.CachedPrefix
	// urgentUpdates receives a value when cache updates shouldn't wait for the next
	// report.
	urgentUpdates chan struct{}
	// cacheChanged is closed when the known state of any engine's cache changes. It is
	// nil while no request waits for that.
	cacheChanged chan struct{}
	// digestAt is when the last digest arrived.
	digestAt time.Time
	// sharedUntil is until when the slots of services are shared, as they were short of them.
	sharedUntil map[hitchfleet.ServiceID]time.Time
	// notices holds what endpoints said about themselves.
	notices map[hitchfleet.EndpointID]endpointNotice
}

// SetLimits replaces the limits. LoadFactor takes effect at once, the others at the
// next SetFleet.
func (b *Balancer) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Load is an endpoint's load as it reported it.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// TimePercent is the time that work takes on the endpoint's machine now, in percent of the
	// usual time; 0 if the endpoint doesn't report it.
	TimePercent int
}

// endpoint is the state of one endpoint.
type endpoint struct {
	hitchfleet.Endpoint
	key hitchfleet.Key
	ref hitchdigest.EndpointRef
	run hitchfleet.RunID
	// ownInFlight counts this instance's requests in flight to the endpoint.
	ownInFlight int
	// reported is the endpoint's load at reportedAt, and ownInFlightAtReport the value
	// of ownInFlight at that time.
	reported            Load
	reportedAt          time.Time
	ownInFlightAtReport int
	fleetLoad           fleetLoad
	health              health
	outlier             outlier
	zone                *zoneHealth
	pending             pendingRequests
	cache               prefixCache
	// firstSeen is when the endpoint first appeared in the fleet, and removedAt when it
	// was removed, both as seen by this instance.
	firstSeen time.Time
	removedAt time.Time
	coldLimit coldLimiter
	// heldUntil is until when the endpoint has got as many requests as it takes, and returnAt
	// when a caller that is refused for that may return.
	heldUntil, returnAt time.Time
	// reportsTime is set once the endpoint has reported the time that work takes, and
	// reportsLessThanTime once it has reported a load without. Both outlast its restart.
	reportsTime, reportsLessThanTime bool
	// ownerColdLimit is that of all instances together, for the owner of the service's queue.
	ownerColdLimit coldLimiter
}

// SetFleet replaces the state of the fleet. Endpoints that stay in the fleet keep
// their state in the Balancer.
func (b *Balancer) SetFleet(now time.Time, f Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self, b.ring = f.Self, newRing(f.Instances)
	old := b.byID
	b.byID = make(map[hitchfleet.EndpointID]*endpoint, len(f.Endpoints))
	b.byService = make(map[hitchfleet.ServiceID][]*endpoint)
	b.byRef = make(map[hitchdigest.EndpointRef]*endpoint, len(f.Endpoints))
	for _, e := range slices.Concat(f.Endpoints, f.Leaving, f.InZonesOut) {
		state := cmp.Or(old[e.ID], b.absent[e.ID])
		if state == nil || state.Born != e.Born || state.Addr != e.Addr || state.Version != e.Version {
			previous := state
			state = &endpoint{key: e.Key(), ref: hitchdigest.EndpointRefOf(e.ID), run: e.Run(), firstSeen: now}
			if previous != nil {
				state.reportsTime, state.reportsLessThanTime = previous.reportsTime, previous.reportsLessThanTime
			}
		}
		state.Endpoint, state.zone = e, b.zoneHealthOf(e.Zone)
		if f.Table != nil {
			b.updateColdLimit(now, state, f.Table.Service(e.Service))
		}
		b.byID[e.ID], b.byRef[state.ref] = state, state
	}
	for _, e := range f.Endpoints {
		b.byService[e.Service] = append(b.byService[e.Service], b.byID[e.ID])
	}
	b.zoneOutByService = make(map[hitchfleet.ServiceID][]*endpoint)
	for _, e := range f.InZonesOut {
		b.zoneOutByService[e.Service] = append(b.zoneOutByService[e.Service], b.byID[e.ID])
	}
	b.trackRemoved(now, old)
	b.trackAbsent(old)
	b.expireNotices(now)
	for _, list := range b.byService {
		slices.SortFunc(list, func(x, y *endpoint) int { return compareIDs(x.ID, y.ID) })
	}
}

// zoneHealthOf returns the health of a zone, which starts without failures.
func (b *Balancer) zoneHealthOf(zone hitchfleet.AvailabilityZone) *zoneHealth {
	if b.zones == nil {
		b.zones = make(map[hitchfleet.AvailabilityZone]*zoneHealth)
	}
	if b.zones[zone] == nil {
		b.zones[zone] = &zoneHealth{}
	}
	return b.zones[zone]
}

// trackRemoved adds the endpoints that left the fleet to b.removed if they likely
// still serve, and deletes those that left removedSourceTTL ago or earlier.
func (b *Balancer) trackRemoved(now time.Time, old map[hitchfleet.EndpointID]*endpoint) {
	heartbeat := time.Duration(b.limits.HeartbeatMilliseconds) * time.Millisecond
	b.removed = slices.DeleteFunc(b.removed, func(e *endpoint) bool { return now.Sub(e.removedAt) >= removedSourceTTL })
	for id, e := range old {
		if b.byID[id] == nil && e.health.likelyLeftGracefully(now, heartbeat) {
			e.removedAt = now
			b.removed = append(b.removed, e)
		}
	}
}

// trackAbsent keeps the endpoints that left the fleet and still have requests in flight.
func (b *Balancer) trackAbsent(old map[hitchfleet.EndpointID]*endpoint) {
	absent := make(map[hitchfleet.EndpointID]*endpoint)
	for _, endpoints := range []map[hitchfleet.EndpointID]*endpoint{b.absent, old} {
		for id, e := range endpoints {
			if b.byID[id] == nil && e.ownInFlight > 0 {
				absent[id] = e
			}
		}
	}
	b.absent = absent
}

// finishAbsent records that a request is no longer in flight to an endpoint that left.
func (b *Balancer) finishAbsent(p Pick) {
	if e := b.absent[p.Endpoint.ID]; e != nil && e.Born == p.Endpoint.Born {
		e.ownInFlight = max(e.ownInFlight-1, 0)
		e.pending.remove(p.id)
	}
}

// ObserveLoad records an endpoint's reported load.
func (b *Balancer) ObserveLoad(now time.Time, id hitchfleet.EndpointID, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byID[id]; e != nil {
		e.reported, e.reportedAt, e.ownInFlightAtReport = l, now, e.ownInFlight
		e.reportsTime, e.reportsLessThanTime = l.TimePercent > 0, l.TimePercent == 0
	}
}

// InFlight returns how many requests of this instance are picked for an endpoint and not
// finished.
func (b *Balancer) InFlight(id hitchfleet.EndpointID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byID[id]; e != nil {
		return e.ownInFlight
	}
	return 0
}

// InFlightOf returns how many requests of this instance are picked for the endpoints for which
// isIncluded returns true, and not finished. Endpoints that have left the fleet count too.
func (b *Balancer) InFlightOf(isIncluded func(hitchfleet.Endpoint) bool) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, endpoints := range []map[hitchfleet.EndpointID]*endpoint{b.byID, b.absent} {
		for _, e := range endpoints {
			if e.ownInFlight > 0 && isIncluded(e.Endpoint) {
				n += e.ownInFlight
			}
		}
	}
	return n
}

// Hold keeps requests from the endpoint of a pick until a time, as it has got as many as it
// takes. Callers that are refused for that may return at returnAt.
func (b *Balancer) Hold(p Pick, until, returnAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.endpointOf(p); e != nil {
		e.heldUntil, e.returnAt = until, returnAt
	}
}

// Result is the result of a request to an endpoint.
type Result uint8

// The results.
const (
	// ResultOK means that the response was complete.
	ResultOK Result = iota
	// ResultFailed means that the endpoint responded with an error, or that its
	// response was invalid.
	ResultFailed
	// ResultRefused means that the endpoint responded that it didn't run the request.
	ResultRefused
	// ResultNoResponse means that no connection was established or no byte arrived in
	// time: the endpoint is stuck or unreachable.
	ResultNoResponse
	// ResultConnectionLost means that the endpoint refused or closed the connection.
	ResultConnectionLost
	// ResultAbandoned means that the caller disconnected or its deadline passed.
	ResultAbandoned
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"OK", "Failed", "Refused", "Silent", "Lost", "Abandoned"}[r]
}

// Finish records the result of a picked request, which is no longer in flight.
func (b *Balancer) Finish(now time.Time, p Pick, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpointOf(p)
	if e == nil {
		b.finishAbsent(p)
		return
	}
	e.ownInFlight = max(e.ownInFlight-1, 0)
	switch r {
	case ResultOK, ResultFailed, ResultRefused:
		b.recordResponse(now, e, p.id)
	case ResultNoResponse:
		b.recordFailure(now, p.sentAt, e)
		b.recordZoneFailure(now, p.sentAt, e)
	case ResultConnectionLost:
		b.recordFailure(now, p.sentAt, e)
	}
	switch r {
	case ResultOK, ResultFailed:
		b.recordResult(now, p, e, r == ResultFailed)
	case ResultRefused:
		if b.hasRoom(now, e) {
			b.recordResult(now, p, e, true)
		}
	}
	e.pending.remove(p.id)
	if r == ResultOK {
		b.recordPrefill(now, e, p)
	} else {
		b.dropPrefill(now, e, p)
	}
}

// endpointOf returns the endpoint of a pick, or nil if it has left the fleet,
// restarted or changed its version since.
func (b *Balancer) endpointOf(p Pick) *endpoint {
	if e := b.byID[p.Endpoint.ID]; e != nil && e.Born == p.Endpoint.Born && e.Version == p.Endpoint.Version {
		return e
	}
	return nil
}

// load estimates the number of requests in flight from all instances to an endpoint:
// the sum of the last digest, or else the load that the endpoint reported, corrected
// by the requests that this instance started and finished since then.
func (b *Balancer) load(now time.Time, e *endpoint) float64 {
	switch {
	case now.Sub(b.digestAt) < digestTTL:
		sum := 0
		if now.Sub(e.fleetLoad.updatedAt) < digestTTL {
			sum = e.fleetLoad.inFlight
		}
		return float64(max(sum+e.ownInFlight-e.fleetLoad.ownReported, e.ownInFlight))
	case now.Sub(e.reportedAt) < reportTTL:
		return float64(max(e.reported.Running+e.reported.Waiting+e.ownInFlight-e.ownInFlightAtReport, e.ownInFlight))
	default:
		return float64(e.ownInFlight)
	}
}

// reportTTL is how long an endpoint's reported load is used.
const reportTTL = 3 * time.Second

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
