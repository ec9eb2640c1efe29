package hitchorder

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// model simulates a store with leases, a few candidate routers and some engines.
type model struct {
	t                    rapid.TB
	now                  time.Time
	storeUnavailable     bool
	leases               map[int64]time.Time
	nextID               int64
	holderLease          int64 // the lease of HolderKey, 0 if the key doesn't exist
	fence                Fence
	fenceRev             int64
	routers              []*modelRouter
	engines              []*modelEngine
	cfg                  hitchconfig.Configuration
	holderNumbers        []uint64 // fencing numbers of the holders, in their order
	loads                []time.Time
	outdatedOrders       int
	log                  string
	weightStoreBusyUntil time.Time // the weight store refuses loads until then
}

type modelRouter struct {
	holder     Holder
	reconciler Reconciler
	paused     bool
	// sending are orders that were checked right before a pause, and are sent when
	// it ends.
	sending []Order
}

type modelEngine struct {
	endpoint      hitchfleet.Endpoint
	checksFencing bool
	highest       uint64
	seen          Observed
	readyAt       time.Time
}

func newModel(t rapid.TB, routers, engines int) *model {
	m := &model{t: t, now: start, leases: make(map[int64]time.Time)}
	m.cfg = hitchconfig.Configuration{}.WithRevision(1).WithRoute(m.route(hitchconfig.ModelVersion{Name: "v1", Weight: 1}))
	for i := range routers {
		m.routers = append(m.routers, &modelRouter{holder: Holder{Self: hitchfleet.InstanceID(fmt.Sprint("router-", i))}})
	}
	for i := range engines {
		id := hitchfleet.EndpointID(fmt.Sprint("engine-", i))
		e := &modelEngine{endpoint: hitchfleet.Endpoint{ID: id, Route: "m"}, checksFencing: i%2 == 0}
		e.seen = Observed{Endpoint: id, Versions: []HeldVersion{{"v1", true}}, Slots: 1}
		m.engines = append(m.engines, e)
		m.cfg = m.cfg.WithEndpoint(hitchconfig.EndpointRule{ID: id, ChecksFencing: e.checksFencing})
	}
	return m
}

func (m *model) route(versions ...hitchconfig.ModelVersion) hitchconfig.Route {
	return hitchconfig.Route{ID: "m", Kind: hitchconfig.EngineRoute, Versions: versions, TimeoutMilliseconds: 1000}
}

func (m *model) require(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

// advance advances the clock in steps of a second.
func (m *model) advance(seconds int) {
	for range seconds {
		m.now = m.now.Add(time.Second)
		for id, end := range m.leases {
			if !m.now.Before(end) {
				m.endLease(id)
			}
		}
		for _, e := range m.engines {
			e.finishLoading(m.now)
		}
		for _, r := range m.routers {
			if !r.paused {
				m.tick(r)
			}
		}
		m.checkInvariants()
	}
}

func (m *model) endLease(lease int64) {
	delete(m.leases, lease)
	if m.holderLease == lease {
		m.holderLease = 0
	}
}

// checkInvariants asserts that there is at most one holder, and that at least half of
// the engines are ready, apart from one for each outdated order that was carried out.
func (m *model) checkInvariants() {
	holding, ready := 0, 0
	for _, r := range m.routers {
		if r.holder.Grant(m.now).Number > 0 {
			holding++
		}
	}
	m.require(holding <= 1, "%d holders at once", holding)
	for _, e := range m.engines {
		if e.seen.isReady() {
			ready++
		}
	}
	m.require(ready+m.outdatedOrders >= len(m.engines)/2, "%d of %d engines ready, %d outdated orders: %s", ready, len(m.engines), m.outdatedOrders, m.log)
}

func (m *model) tick(r *modelRouter) {
	m.update(r, Message{Kind: CandidateChanged, Candidate: true})
	m.update(r, Message{Kind: TimePassed})
	var orders []Order
	var observed []Observed
	var endpoints []hitchfleet.Endpoint
	for _, e := range m.engines {
		seen := e.seen
		seen.AsOf = m.now
		observed = append(observed, seen)
		endpoints = append(endpoints, e.endpoint)
	}
	r.reconciler, orders = r.reconciler.Reconcile(r.holder.Grant(m.now), ComputeDesired(m.cfg, endpoints), observed, m.now)
	for _, o := range orders {
		m.require(r.holder.MaySend(o, m.now), "order without a grant: %v", o)
		r.sending = append(r.sending, o)
	}
	if !r.paused {
		m.sendOrders(r)
	}
}

// sendOrders delivers the orders that a router has checked.
func (m *model) sendOrders(r *modelRouter) {
	for _, o := range r.sending {
		result := m.deliver(o)
		r.reconciler = r.reconciler.RecordResult(result, m.now)
		if result.Kind == OrderFenced {
			m.update(r, Message{Kind: Fenced, Number: m.fence.Number})
		}
	}
	r.sending = nil
}

func (m *model) deliver(o Order) Result {
	i := slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.endpoint.ID == o.Endpoint })
	e := m.engines[i]
	if o.Number < m.fence.Number && !e.checksFencing {
		m.outdatedOrders++
	}
	if e.checksFencing && o.Number < e.highest {
		return Result{Order: o, Kind: OrderFenced}
	}
	if o.Number < m.fence.Number && e.checksFencing {
		m.outdatedOrders++ // this engine hasn't received the new number yet
	}
	e.highest = max(e.highest, o.Number)
	if o.isLoad() {
		if m.now.Before(m.weightStoreBusyUntil) {
			return Result{Order: o, Kind: OrderDeferred, RetryAt: m.weightStoreBusyUntil}
		}
		m.loads = append(m.loads, m.now)
	}
	m.log += fmt.Sprintf("%v %v\n", m.now.Sub(start), o)
	e.carryOut(o, m.now)
	return Result{Order: o, Kind: OrderAccepted}
}

func (e *modelEngine) carryOut(o Order, now time.Time) {
	e.seen.Versions = slices.Clone(e.seen.Versions)
	held, _ := e.seen.versionState(o.Name)
	switch {
	case o.Kind == LoadVersion && !held && len(e.seen.Versions) < e.seen.slots():
		e.seen.Versions = append(e.seen.Versions, HeldVersion{Name: o.Name})
		e.readyAt = now.Add(8 * time.Second)
	case o.Kind == UnloadVersion:
		e.seen.Versions = slices.DeleteFunc(e.seen.Versions, func(l HeldVersion) bool { return l.Name == o.Name })
	}
}

func (e *modelEngine) finishLoading(now time.Time) {
	for i := range e.seen.Versions {
		if !e.seen.Versions[i].Ready && !now.Before(e.readyAt) {
			e.seen.Versions = slices.Clone(e.seen.Versions)
			e.seen.Versions[i].Ready = true
		}
	}
}

// update sends a holder a message, and the results of the store calls that it makes.
func (m *model) update(r *modelRouter, msg Message) {
	was := r.holder.Phase()
	next, actions := r.holder.Update(msg, m.now)
	r.holder = next
	if was != Holding && next.Phase() == Holding {
		n := next.Grant(m.now).Number
		m.require(len(m.holderNumbers) == 0 || n > m.holderNumbers[len(m.holderNumbers)-1], "number %d after %v", n, m.holderNumbers)
		m.holderNumbers = append(m.holderNumbers, n)
	}
	for _, a := range actions {
		if result := m.storeResult(a); result.Kind != TimePassed {
			m.update(r, result)
		}
	}
}

func (m *model) storeResult(a Action) Message {
	if m.storeUnavailable {
		if a.Kind == RenewLease {
			return Message{Kind: RenewFailed, Lease: a.Lease}
		}
		return Message{Kind: CallFailed}
	}
	switch a.Kind {
	case ReadHolder:
		return Message{Kind: HolderRead, Exists: m.holderLease != 0}
	case GrantLease:
		m.nextID++
		m.leases[m.nextID] = a.Deadline
		return Message{Kind: LeaseGranted, Lease: m.nextID, Deadline: a.Deadline}
	case ClaimHolder:
		if _, live := m.leases[a.Lease]; !live || m.holderLease != 0 {
			return Message{Kind: CallFailed}
		}
		m.holderLease = a.Lease
		return Message{Kind: HolderClaimed}
	case ReadFence:
		return Message{Kind: FenceRead, Fence: m.fence, Revision: m.fenceRev}
	case WriteFence:
		if a.Revision != m.fenceRev {
			return Message{Kind: CallFailed}
		}
		m.fence, m.fenceRev = a.Fence, m.fenceRev+1
		return Message{Kind: FenceWritten}
	case RenewLease:
		if _, live := m.leases[a.Lease]; !live {
			return Message{Kind: LeaseExpired, Lease: a.Lease}
		}
		m.leases[a.Lease] = m.now.Add(leaseTTL)
		return Message{Kind: LeaseRenewed, Lease: a.Lease, Deadline: m.now.Add(leaseTTL)}
	default:
		m.endLease(a.Lease)
		return Message{}
	}
}
