package hitchadmit

import (
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// grant is a granted slot that is in use.
type grant struct {
	requester hitchfleet.InstanceID
	tenant    *tenant
	cost      int64
	grantedAt time.Time
	deadline  time.Time
}

// expiringUsage is usage that is known until a deadline.
type expiringUsage struct {
	usage    Usage
	deadline time.Time
}

// endpoint is the state of one endpoint as a router knows it. The lock of its
// shard guards all but the published fields.
type endpoint struct {
	spec  hitchfleet.Endpoint
	pool  *pool
	owned bool
	// available is false while the endpoint leaves, isn't listed, or its zone
	// is out of service.
	available bool
	// handedOver is set once this router has handed the endpoint over to its
	// next owner.
	handedOver bool
	// takeoverUntil is the time until which this router, as a new owner, may
	// use only TakeoverShare of the bound.
	takeoverUntil time.Time

	grants  map[GrantID]grant
	granted Usage
	// usageByRequester is what each requester holds here by grants of other owners.
	usageByRequester map[hitchfleet.InstanceID]expiringUsage
	// usageFromOtherOwner is what another router reports, in a digest or a
	// handover, to have granted at this endpoint.
	usageFromOtherOwner expiringUsage
	// untrackedUsage is reported work that no grant accounts for, and the work
	// of expired grants.
	untrackedUsage expiringUsage
	// maxConcurrent is how many requests the endpoint runs at once, or 0 if
	// unknown.
	maxConcurrent int64
	// lastReportAsOf is the monotonic time of the state in the last load
	// report.
	lastReportAsOf time.Time
	// digestUsage is the load by the last digest, if another router owns the
	// endpoint.
	digestUsage expiringUsage
	// lastDigestAt is when the last digest arrived.
	lastDigestAt     time.Time
	history          history
	coldStart        coldStartTracker
	tenants          tenants
	queue            queue
	meanGrantSeconds float64 // moving average of grant durations

	// lastExpiryCheck is when deadlines were last checked.
	lastExpiryCheck time.Time

	// publishedLoad and publishedServing are read from other shards without the
	// lock.
	publishedLoad    atomic.Int64
	publishedServing atomic.Bool
	// The counted fields are this endpoint's part of the pool's sums.
	countedServing   bool
	countedLoad      int64
	countedAvailable bool
}

// grantedByOthers returns the usage that owners other than this one granted:
// the larger of the sum that requesters report and the amount that the other
// owner reports.
func (e *endpoint) grantedByOthers() Usage {
	var u Usage
	for _, other := range e.usageByRequester {
		u.Cost += other.usage.Cost
		u.Requests += other.usage.Requests
	}
	u.Cost = max(u.Cost, e.usageFromOtherOwner.usage.Cost)
	u.Requests = max(u.Requests, e.usageFromOtherOwner.usage.Requests)
	return u
}

// usage returns all known work at the endpoint.
func (e *endpoint) usage() Usage {
	if !e.owned {
		return e.digestUsage.usage
	}
	u := e.grantedByOthers()
	u.Cost += e.granted.Cost + e.untrackedUsage.usage.Cost
	u.Requests += e.granted.Requests + e.untrackedUsage.usage.Requests
	return u
}

// updatePool updates the pool's sums by the change since the last call.
func (e *endpoint) updatePool() {
	if e.pool == nil {
		return
	}
	serving := e.available && !e.excludedFromMean()
	var load int64
	if serving {
		load = e.usage().Cost
	}
	e.pool.totalLoad.Add(load - e.countedLoad)
	e.pool.serving.Add(countDelta(e.countedServing, serving))
	e.pool.available.Add(countDelta(e.countedAvailable, e.available))
	e.countedServing, e.countedLoad, e.countedAvailable = serving, load, e.available
	e.publishedLoad.Store(load)
	e.publishedServing.Store(serving)
}

// excludedFromMean reports whether the endpoint is left out of the mean load.
// An endpoint of another owner without a digest is included, which lowers the
// mean.
func (e *endpoint) excludedFromMean() bool {
	if e.owned {
		return e.coldStart.isColdOrUnknown()
	}
	return e.coldStart.phase == phaseCold
}

func countDelta(was, is bool) int64 {
	switch {
	case is && !was:
		return 1
	case was && !is:
		return -1
	default:
		return 0
	}
}

// setGrantedByOthers records the usage that a requester holds at the endpoint
// by grants of other owners.
func (e *endpoint) setGrantedByOthers(now time.Time, requester hitchfleet.InstanceID, u Usage) {
	if u.Cost <= 0 && u.Requests <= 0 {
		if len(e.usageByRequester) > 0 {
			delete(e.usageByRequester, requester)
		}
		return
	}
	if e.usageByRequester == nil {
		e.usageByRequester = make(map[hitchfleet.InstanceID]expiringUsage)
	}
	u = Usage{Cost: max(u.Cost, 0), Requests: max(u.Requests, 0)}
	e.usageByRequester[requester] = expiringUsage{usage: u, deadline: now.Add(GrantTTL)}
}

// addGrant records a grant and returns its deadline.
func (e *endpoint) addGrant(now time.Time, req *SlotRequest, t *tenant) time.Time {
	if e.grants == nil {
		e.grants = make(map[GrantID]grant)
	}
	g := grant{requester: req.Requester, tenant: t, cost: req.Cost, grantedAt: now, deadline: now.Add(GrantTTL)}
	e.grants[req.ID] = g
	e.granted.Cost += g.cost
	e.granted.Requests++
	e.tenants.update(t, func(t *tenant) {
		t.granted.Cost += g.cost
		t.granted.Requests++
	})
	e.history.record(now, e.granted)
	return g.deadline
}

// removeGrant removes a grant and its usage.
func (e *endpoint) removeGrant(now time.Time, id GrantID, g grant) {
	delete(e.grants, id)
	e.granted.Cost -= g.cost
	e.granted.Requests--
	e.tenants.update(g.tenant, func(t *tenant) {
		t.granted.Cost -= g.cost
		t.granted.Requests--
	})
	e.history.record(now, e.granted)
}

// grantSecondsGain is the weight of a new sample in the moving average of grant
// durations.
const grantSecondsGain = 0.1

// releaseGrant removes a grant whose work is done, and updates the mean grant
// duration.
func (e *endpoint) releaseGrant(now time.Time, id GrantID) {
	g, ok := e.grants[id]
	if !ok {
		return
	}
	e.removeGrant(now, id, g)
	seconds := now.Sub(g.grantedAt).Seconds()
	if e.meanGrantSeconds == 0 {
		e.meanGrantSeconds = seconds
	}
	e.meanGrantSeconds += grantSecondsGain * (seconds - e.meanGrantSeconds)
}

// expiryInterval is how often deadlines are checked.
const expiryInterval = 100 * time.Millisecond

// removeExpired removes what has passed its deadline. The request of an expired
// grant may still be running, so its cost counts as untracked usage until the
// next load report.
func (e *endpoint) removeExpired(now time.Time) {
	if now.Sub(e.lastExpiryCheck) < expiryInterval {
		return
	}
	e.lastExpiryCheck = now
	for id, g := range e.grants {
		if now.After(g.deadline) {
			e.removeGrant(now, id, g)
			e.untrackedUsage.usage.Cost += g.cost
			e.untrackedUsage.usage.Requests++
			e.untrackedUsage.deadline = now.Add(ReportTTL)
		}
	}
	for requester, other := range e.usageByRequester {
		if now.After(other.deadline) {
			delete(e.usageByRequester, requester)
		}
	}
	for _, u := range []*expiringUsage{&e.usageFromOtherOwner, &e.untrackedUsage, &e.digestUsage} {
		if now.After(u.deadline) {
			*u = expiringUsage{}
		}
	}
}

// applyReport applies a load report. Reported work that isn't accounted for by
// the grants at the time of the report counts as untracked; grants made since
// then are added to it.
func (e *endpoint) applyReport(now, asOf time.Time, r LoadReport) {
	if asOf.Before(e.lastReportAsOf) {
		return
	}
	e.lastReportAsOf, e.maxConcurrent = asOf, r.MaxConcurrent
	granted := e.history.usageAt(asOf)
	other := e.grantedByOthers()
	e.untrackedUsage = expiringUsage{
		usage: Usage{
			Cost:     max(r.Load-granted.Cost-other.Cost, 0),
			Requests: max(r.Requests-granted.Requests-other.Requests, 0),
		},
		deadline: now.Add(ReportTTL),
	}
	e.coldStart.observeReport(now, r, granted)
}
