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

// model is a store with leases, a few candidates and some engines.
type model struct {
	t        rapid.TB
	now      time.Time
	storeOut bool
	leases   map[int64]time.Time
	nextID   int64
	holder   int64 // lease that HolderKey lives by
	fence    Fence
	fenceRev int64
	routers  []*modelRouter
	engines  []*modelEngine
	cfg      hitchconfig.Configuration
	taken    []uint64 // numbers of those that came to hold
	loads    []time.Time
	strays   int
	log      string
	busyTill time.Time // the weight store
}

type modelRouter struct {
	holder     Holder
	reconciler Reconciler
	paused     bool
	// sending are orders that were checked right before a pause, and go out when
	// it ends.
	sending []Order
}

type modelEngine struct {
	endpoint hitchfleet.Endpoint
	checks   bool
	highest  uint64
	seen     Observed
	readyAt  time.Time
}

func newModel(t rapid.TB, routers, engines int) *model {
	m := &model{t: t, now: start, leases: make(map[int64]time.Time)}
	m.cfg = hitchconfig.Configuration{}.WithRevision(1).WithRoute(m.route(hitchconfig.ModelVersion{Name: "v1", Weight: 1}))
	for i := range routers {
		m.routers = append(m.routers, &modelRouter{holder: Holder{Self: hitchfleet.InstanceID(fmt.Sprint("router-", i))}})
	}
	for i := range engines {
		id := hitchfleet.EndpointID(fmt.Sprint("engine-", i))
		e := &modelEngine{endpoint: hitchfleet.Endpoint{ID: id, Route: "m"}, checks: i%2 == 0}
		e.seen = Observed{Endpoint: id, Versions: []Loaded{{"v1", true}}, Slots: 1}
		m.engines = append(m.engines, e)
		m.cfg = m.cfg.WithEndpoint(hitchconfig.EndpointRule{ID: id, ChecksFencing: e.checks})
	}
	return m
}

func (m *model) route(versions ...hitchconfig.ModelVersion) hitchconfig.Route {
	return hitchconfig.Route{ID: "m", Kind: hitchconfig.EngineRoute, Versions: versions, TimeoutMilliseconds: 1000}
}

func (m *model) must(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

// pass lets time go on, a second at a time.
func (m *model) pass(seconds int) {
	for range seconds {
		m.now = m.now.Add(time.Second)
		for id, end := range m.leases {
			if !m.now.Before(end) {
				m.end(id)
			}
		}
		for _, e := range m.engines {
			e.finish(m.now)
		}
		for _, r := range m.routers {
			if !r.paused {
				m.tick(r)
			}
		}
		m.check()
	}
}

func (m *model) end(lease int64) {
	delete(m.leases, lease)
	if m.holder == lease {
		m.holder = 0
	}
}

// check holds at every moment: one holder, and a route in service.
func (m *model) check() {
	holding, ready := 0, 0
	for _, r := range m.routers {
		if r.holder.Grant(m.now).Number > 0 {
			holding++
		}
	}
	m.must(holding <= 1, "%d holders at once", holding)
	for _, e := range m.engines {
		if e.seen.isReady() {
			ready++
		}
	}
	m.must(ready+m.strays >= len(m.engines)/2, "%d of %d engines ready, %d strays: %s", ready, len(m.engines), m.strays, m.log)
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
	r.reconciler, orders = r.reconciler.Reconcile(r.holder.Grant(m.now), DesiredOf(m.cfg, endpoints), observed, m.now)
	for _, o := range orders {
		m.must(r.holder.MayOrder(o, m.now), "order without a grant: %v", o)
		r.sending = append(r.sending, o)
	}
	if !r.paused {
		m.flush(r)
	}
}

// flush delivers the orders that a router has checked.
func (m *model) flush(r *modelRouter) {
	for _, o := range r.sending {
		a := m.deliver(o)
		r.reconciler = r.reconciler.Answered(a, m.now)
		if a.Kind == OrderFenced {
			m.update(r, Message{Kind: Fenced, Number: m.fence.Number})
		}
	}
	r.sending = nil
}

func (m *model) deliver(o Order) Answer {
	i := slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.endpoint.ID == o.Endpoint })
	e := m.engines[i]
	if o.Number < m.fence.Number && !e.checks {
		m.strays++
	}
	if e.checks && o.Number < e.highest {
		return Answer{Order: o, Kind: OrderFenced}
	}
	if o.Number < m.fence.Number && e.checks {
		m.strays++ // this engine hasn't heard of the new number yet
	}
	e.highest = max(e.highest, o.Number)
	if o.loads() {
		if m.now.Before(m.busyTill) {
			return Answer{Order: o, Kind: OrderLater, RetryAt: m.busyTill}
		}
		m.loads = append(m.loads, m.now)
	}
	m.log += fmt.Sprintf("%v %v\n", m.now.Sub(start), o)
	e.carryOut(o, m.now)
	return Answer{Order: o, Kind: OrderTaken}
}

func (e *modelEngine) carryOut(o Order, now time.Time) {
	e.seen.Versions = slices.Clone(e.seen.Versions)
	held, _ := e.seen.has(o.Name)
	switch {
	case o.Kind == LoadVersion && !held && len(e.seen.Versions) < e.seen.slots():
		e.seen.Versions = append(e.seen.Versions, Loaded{Name: o.Name})
		e.readyAt = now.Add(8 * time.Second)
	case o.Kind == UnloadVersion:
		e.seen.Versions = slices.DeleteFunc(e.seen.Versions, func(l Loaded) bool { return l.Name == o.Name })
	}
}

func (e *modelEngine) finish(now time.Time) {
	for i := range e.seen.Versions {
		if !e.seen.Versions[i].Ready && !now.Before(e.readyAt) {
			e.seen.Versions = slices.Clone(e.seen.Versions)
			e.seen.Versions[i].Ready = true
		}
	}
}

// update tells a holder, and answers its calls of the store.
func (m *model) update(r *modelRouter, msg Message) {
	was := r.holder.Phase()
	next, actions := r.holder.Update(msg, m.now)
	r.holder = next
	if was != Holding && next.Phase() == Holding {
		n := next.Grant(m.now).Number
		m.must(len(m.taken) == 0 || n > m.taken[len(m.taken)-1], "number %d after %v", n, m.taken)
		m.taken = append(m.taken, n)
	}
	for _, a := range actions {
		if answer := m.answer(a); answer.Kind != TimePassed {
			m.update(r, answer)
		}
	}
}

func (m *model) answer(a Action) Message {
	if m.storeOut {
		if a.Kind == RenewLease {
			return Message{Kind: RenewFailed, Lease: a.Lease}
		}
		return Message{Kind: CallFailed}
	}
	switch a.Kind {
	case ReadHolder:
		return Message{Kind: HolderSeen, Exists: m.holder != 0}
	case GrantLease:
		m.nextID++
		m.leases[m.nextID] = a.Deadline
		return Message{Kind: LeaseGranted, Lease: m.nextID, Deadline: a.Deadline}
	case Claim:
		if _, live := m.leases[a.Lease]; !live || m.holder != 0 {
			return Message{Kind: CallFailed}
		}
		m.holder = a.Lease
		return Message{Kind: Claimed}
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
			return Message{Kind: LeaseLapsed, Lease: a.Lease}
		}
		m.leases[a.Lease] = m.now.Add(leaseFor)
		return Message{Kind: LeaseRenewed, Lease: a.Lease, Deadline: m.now.Add(leaseFor)}
	default:
		m.end(a.Lease)
		return Message{}
	}
}
