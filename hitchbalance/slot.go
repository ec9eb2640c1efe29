package hitchbalance

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchrecent"
)

const (
	// coldOwnerBurst is the burst of the requests that the owner of a service's queue assigns to an
	// endpoint in cold start.
	coldOwnerBurst = 1
	// maxSharedServices bounds the services that are said to be short of slots, which may be made up.
	maxSharedServices = 4096
)

// SlotCount returns the number of slots of a service's endpoints. It returns false unless they
// call for a common queue: they report the time that work takes, which one instance alone can't
// follow, or they were short of slots recently (ShareSlots).
func (b *Balancer) SlotCount(now time.Time, service hitchfleet.ServiceID) (count int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reportsTime, reportsLess := false, false
	for _, e := range b.byService[service] {
		reportsTime = reportsTime || e.reportsTime
		reportsLess = reportsLess || e.reportsLessThanTime
		count += e.slots()
	}
	return count, reportsTime && !reportsLess || now.Before(b.sharedUntil[service])
}

// ShareSlots records that a service was short of slots, until a time.
func (b *Balancer) ShareSlots(service hitchfleet.ServiceID, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sharedUntil == nil {
		b.sharedUntil = make(map[hitchfleet.ServiceID]time.Time)
	}
	isUnknown := func(id hitchfleet.ServiceID, _ time.Time) bool { return len(b.byService[id]) == 0 }
	if _, ok := b.sharedUntil[service]; ok || hitchrecent.HasRoom(b.sharedUntil, maxSharedServices, isUnknown) {
		b.sharedUntil[service] = later(until, b.sharedUntil[service])
	}
}

// slots returns the number of requests that an endpoint runs at once.
func (e *endpoint) slots() int {
	if e.reported.Slots > 0 {
		return e.reported.Slots
	}
	return e.Slots
}

// EndpointOfRun returns the endpoint of a service whose run has an ID, or an empty string if there
// is none.
func (b *Balancer) EndpointOfRun(service hitchfleet.ServiceID, run hitchfleet.RunID) hitchfleet.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.byService[service] {
		if e.run == run {
			return e.ID
		}
	}
	return ""
}

// ServiceEndpoints returns the endpoints of a service that may get requests, with the slots that
// they report.
func (b *Balancer) ServiceEndpoints(service hitchfleet.ServiceID) []hitchfleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]hitchfleet.Endpoint, 0, len(b.byService[service]))
	for _, e := range b.byService[service] {
		if !b.noticeOf(e).IsLeaving {
			listed := e.Endpoint
			listed.Slots = e.slots()
			list = append(list, listed)
		}
	}
	return list
}

// ReportedLoad is a load that an endpoint reported to this instance.
type ReportedLoad struct {
	Run  hitchfleet.RunID
	Load Load
	At   time.Time
}

// ReportedLoads returns the loads that the endpoints of a service reported.
func (b *Balancer) ReportedLoads(service hitchfleet.ServiceID) (loads []ReportedLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.byService[service] {
		if !e.reportedAt.IsZero() {
			loads = append(loads, ReportedLoad{Run: e.run, Load: e.reported, At: e.reportedAt})
		}
	}
	return loads
}

// UnusableRuns returns the runs of a service's endpoints that a request may not be sent to now.
// If none is left, it returns the reason, and when one takes requests again if that is known.
func (b *Balancer) UnusableRuns(now time.Time, r Request) (runs []hitchfleet.RunID, returnAt time.Time, refusal Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.hasSlot = true
	c, refusal := b.findCandidates(now, r)
	if refusal != NotRefused {
		return nil, c.returnAt, refusal
	}
	usable := b.usableForSlots()
	for _, e := range b.byService[r.Service] {
		if !slices.Contains(usable, e) {
			runs = append(runs, e.run)
		}
	}
	return runs, time.Time{}, NotRefused
}

// usableForSlots returns the candidates of the last findCandidates that may be assigned: those
// without overdue responses or failures, if there are any.
func (b *Balancer) usableForSlots() []*endpoint {
	if usable := slices.Concat(b.byTier[TierHealthy], b.byTier[TierOtherZone], b.byTier[TierUnreachableZone]); len(usable) > 0 {
		return usable
	}
	if overdue := b.byTier[TierOverdue]; len(overdue) > 0 {
		return overdue
	}
	return b.byTier[TierEjected]
}

// PickEndpoint picks the endpoint at which the owner of the service's queue has assigned a slot.
// The rate limit of a cold start is the owner's. It returns false if this instance can't use the
// endpoint now.
func (b *Balancer) PickEndpoint(now time.Time, r Request, run hitchfleet.RunID) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.hasSlot = true
	c, refusal := b.findCandidates(now, r)
	if refusal != NotRefused {
		return Pick{}, false
	}
	for _, e := range b.usableForSlots() {
		if e.run == run {
			return b.take(now, e, r, c, BySlot), true
		}
	}
	return Pick{}, false
}

// AllowCold reports whether the owner of a service's queue may assign one more request to an
// endpoint in cold start, and counts it.
func (b *Balancer) AllowCold(now time.Time, run hitchfleet.RunID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.byID {
		if e.run != run {
			continue
		}
		if !e.ownerColdLimit.isLimited {
			return true
		}
		isAllowed := e.ownerColdLimit.hasToken(now)
		if isAllowed {
			e.ownerColdLimit.takeToken()
		}
		return isAllowed
	}
	return false
}
