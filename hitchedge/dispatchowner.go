package hitchedge

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchrecent"
)

// Times of an owner's queues.
const (
	// minExpireDelay and maxExpireDelay limit how often the queues are looked at.
	minExpireDelay = time.Millisecond
	maxExpireDelay = 10 * time.Millisecond
	// queueIdleTime is after how long without a message a queue is dropped.
	queueIdleTime = 5 * time.Minute
	// silentQueueTime is after how long without questions another instance may have decided.
	silentQueueTime = 4 * time.Second
	// endpointsInterval is how often a queue gets the endpoints anew, as some say in responses
	// that they leave.
	endpointsInterval = 500 * time.Millisecond
	// shareInterval is how often the owner of a queue in which requests have waited tells all
	// instances that the service's slots are shared.
	shareInterval = hitchingress.SharedSlotsTTL / 3
	// loggedQueueTime is from which wait on an assigned slot is logged.
	loggedQueueTime = 250 * time.Millisecond
	// maxDecisionsPerMsg limits the decisions in a datagram to its size.
	maxDecisionsPerMsg = 60
)

// slotOwner holds the queues that this instance owns, or decides about in place of their owner.
type slotOwner struct {
	edge *Edge
	// wake receives a value when the first queue is created.
	wake chan struct{}

	mu     sync.Mutex
	queues map[hitchfleet.ServiceID]*slotQueue
	// askers are the instances that have asked.
	askers map[hitchfleet.InstanceID]slotAsker
}

// slotAsker is an instance that has asked for a slot.
type slotAsker struct {
	addr netip.AddrPort
	// sequence is that of its newest holding.
	sequence uint32
}

// slotQueue is the queue of a service.
type slotQueue struct {
	service     hitchfleet.ServiceID
	scheduler   hitchdispatch.Scheduler
	usedAt      time.Time
	endpointsAt time.Time
	// askedAt is when a request arrived last, waitedAt when one waited, and sharedAt when all
	// instances were told that the slots are shared.
	askedAt, waitedAt, sharedAt time.Time
	isSecond                    atomic.Bool
}

// queueOf returns the queue of a service, which is created if wanted. It returns nil if there is
// none, or this instance can't decide: it doesn't know the endpoints, or was paused and has yet to
// learn what is in use.
func (o *slotOwner) queueOf(now time.Time, service hitchfleet.ServiceID, create bool) *slotQueue {
	isSettled := o.edge.currency.isSettled(now)
	o.mu.Lock()
	if !isSettled {
		clear(o.queues)
		o.mu.Unlock()
		return nil
	}
	q := o.queues[service]
	if q != nil {
		q.usedAt = now
	}
	o.mu.Unlock()
	if q != nil || !create {
		return q
	}
	return o.createQueue(now, service)
}

// createQueue creates the queue of a service, and asks all instances what they use of it.
func (o *slotOwner) createQueue(now time.Time, service hitchfleet.ServiceID) *slotQueue {
	endpoints := o.edge.balancer.ServiceEndpoints(service)
	if len(endpoints) == 0 {
		return nil
	}
	q := &slotQueue{service: service, usedAt: now, endpointsAt: now, sharedAt: now}
	q.scheduler.AllowCold = o.edge.balancer.AllowCold
	o.mu.Lock()
	if existing := o.queues[service]; existing != nil {
		o.mu.Unlock()
		return existing
	}
	if o.queues == nil {
		o.queues = make(map[hitchfleet.ServiceID]*slotQueue)
	}
	o.queues[service] = q
	o.mu.Unlock()
	q.scheduler.SetEndpoints(now, endpoints)
	for _, l := range o.edge.balancer.ReportedLoads(service) {
		q.scheduler.Observe(now, l.At, l.Run, hitchingress.SlotLoad(l.Load))
	}
	self := o.edge.Settings.Self.ID
	q.scheduler.Hold(now, self, o.edge.slotBroker.holding(service, true))
	o.askHoldings(service)
	o.edge.Log.Info("owner of a service's queue", "Service", service, "Endpoints", len(endpoints))
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return q
}

// askHoldings asks all instances what they use of a service.
func (o *slotOwner) askHoldings(service hitchfleet.ServiceID) {
	if socket := o.edge.socket.Load(); socket != nil {
		msg := &hitchdigest.SlotMsg{From: o.edge.Settings.Self.ID, HoldingsOf: service}
		o.edge.send(socket, hitchdigest.Packet{Slot: msg}, o.edge.liveInstances()[1:]...)
	}
}

// handle handles what an instance tells the owner.
func (o *slotOwner) handle(now time.Time, m *hitchdigest.SlotMsg, from netip.AddrPort) {
	for _, r := range m.Results {
		o.complete(now, r.Service, r.Result())
	}
	for _, w := range m.Withdrawals {
		o.withdraw(now, w.Service, hitchdispatch.Key{From: w.From, ID: w.ID})
	}
	if h := m.Holding; h != nil {
		o.hold(now, h.Service, h.From, h.Holding)
	}
	if r := m.Request; r != nil {
		o.recordAsker(r.From, slotAsker{addr: from, sequence: r.Holding.Sequence})
		o.submit(now, r.Service, r.Request(now), r.Holding)
	}
}

// recordAsker records an instance that asks.
func (o *slotOwner) recordAsker(id hitchfleet.InstanceID, a slotAsker) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.askers == nil {
		o.askers = make(map[hitchfleet.InstanceID]slotAsker)
	}
	isUnlisted := func(id hitchfleet.InstanceID, _ slotAsker) bool { return !o.edge.strangers.lists(id) }
	if _, ok := o.askers[id]; ok || hitchrecent.HasRoom(o.askers, maxNames, isUnlisted) {
		o.askers[id] = a
	}
}

// releaseSilent frees the slots of instances that the hubs list as silent: what they sent to
// endpoints has ended, or nobody waits for it.
func (o *slotOwner) releaseSilent(now time.Time, q *slotQueue) {
	o.mu.Lock()
	askers := maps.Clone(o.askers)
	o.mu.Unlock()
	for id, a := range askers {
		if o.edge.liveness.IsSilent(now, id) {
			o.deliver(now, q, q.scheduler.Hold(now, id, hitchdispatch.Holding{Sequence: a.sequence + 1, IsWhole: true}))
		}
	}
}

// submit adds a request to the queue of a service. It returns false if this instance can't decide;
// then the next owner is asked.
func (o *slotOwner) submit(now time.Time, service hitchfleet.ServiceID, r hitchdispatch.Request, h hitchdispatch.Holding) bool {
	q := o.queueOf(now, service, true)
	if q == nil {
		return false
	}
	decisions := o.beginQuestion(now, q)
	decisions = append(decisions, q.scheduler.Submit(now, r)...)
	o.deliver(now, q, append(decisions, q.scheduler.Hold(now, r.From, h)...))
	return true
}

// beginQuestion records that a request has arrived. If other instances may have decided since the
// last one, all are asked what they use.
func (o *slotOwner) beginQuestion(now time.Time, q *slotQueue) (decisions []hitchdispatch.Decision) {
	isSecond := o.isSecond(now, q.service)
	wasSecond := q.isSecond.Swap(isSecond)
	o.mu.Lock()
	askedAt := q.askedAt
	q.askedAt = now
	o.mu.Unlock()
	if isSecond != wasSecond {
		decisions = q.scheduler.SetSecond(now, isSecond)
	}
	if !askedAt.IsZero() && (isSecond != wasSecond || isSecond && now.Sub(askedAt) >= silentQueueTime) {
		o.askHoldings(q.service)
	}
	return decisions
}

// isSecond reports whether this instance decides in place of another one.
func (o *slotOwner) isSecond(now time.Time, service hitchfleet.ServiceID) bool {
	owners := o.edge.slotBroker.routeOf(now, service).owners
	return len(owners) > 0 && owners[0].ID != o.edge.Settings.Self.ID
}

// complete records that a slot is free.
func (o *slotOwner) complete(now time.Time, service hitchfleet.ServiceID, r hitchdispatch.Result) {
	if q := o.queueOf(now, service, false); q != nil {
		o.deliver(now, q, q.scheduler.Complete(now, r))
	}
}

// withdraw removes a request.
func (o *slotOwner) withdraw(now time.Time, service hitchfleet.ServiceID, key hitchdispatch.Key) {
	if q := o.queueOf(now, service, false); q != nil {
		o.deliver(now, q, q.scheduler.Withdraw(now, key))
	}
}

// hold records what an instance uses.
func (o *slotOwner) hold(now time.Time, service hitchfleet.ServiceID, from hitchfleet.InstanceID, h hitchdispatch.Holding) {
	if q := o.queueOf(now, service, false); q != nil {
		o.deliver(now, q, q.scheduler.Hold(now, from, h))
	}
}

// updateEndpoints gives the queues the endpoints of the present view.
func (o *slotOwner) updateEndpoints(now time.Time) {
	for _, q := range o.all() {
		o.updateQueueEndpoints(now, q)
	}
}

func (o *slotOwner) updateQueueEndpoints(now time.Time, q *slotQueue) {
	o.mu.Lock()
	q.endpointsAt = now
	o.mu.Unlock()
	o.deliver(now, q, q.scheduler.SetEndpoints(now, o.edge.balancer.ServiceEndpoints(q.service)))
}

// all returns the queues.
func (o *slotOwner) all() []*slotQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.queues))
}

// run rejects requests whose time is over, until ctx ends. It waits while there is no queue.
func (o *slotOwner) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		delay, ok := o.expire(time.Now())
		if !ok {
			select {
			case <-o.wake:
			case <-ctx.Done():
			}
			continue
		}
		timer.Reset(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// expire looks at all queues, and returns after how long to do so again. It returns false if there
// is none.
func (o *slotOwner) expire(now time.Time) (delay time.Duration, ok bool) {
	delay = maxExpireDelay
	for _, q := range o.all() {
		ok = true
		o.deliver(now, q, q.scheduler.Expire(now))
		o.renewSharing(now, q)
		if at, isDue := q.scheduler.NextAt(now); isDue {
			delay = min(delay, at.Sub(now))
		}
		o.mu.Lock()
		isDue := now.Sub(q.endpointsAt) >= endpointsInterval
		if now.Sub(q.usedAt) >= queueIdleTime {
			delete(o.queues, q.service)
		}
		o.mu.Unlock()
		if isDue {
			o.updateQueueEndpoints(now, q)
			o.releaseSilent(now, q)
		}
	}
	return max(delay, minExpireDelay), ok
}

// renewSharing tells all instances from time to time that the slots of a service are shared, while
// requests have to wait for them.
func (o *slotOwner) renewSharing(now time.Time, q *slotQueue) {
	isWaiting := q.scheduler.Stats().Waiting > 0
	o.mu.Lock()
	if isWaiting {
		q.waitedAt = now
	}
	isDue := now.Sub(q.waitedAt) < shareInterval && now.Sub(q.sharedAt) >= shareInterval
	if isDue {
		q.sharedAt = now
	}
	o.mu.Unlock()
	if isDue {
		o.edge.balancer.ShareSlots(q.service, now.Add(hitchingress.SharedSlotsTTL))
		o.askHoldings(q.service)
	}
}

// deliver sends decisions to the instances that they are for, those for one instance together.
func (o *slotOwner) deliver(now time.Time, q *slotQueue, decisions []hitchdispatch.Decision) {
	self := o.edge.Settings.Self.ID
	for _, d := range decisions {
		o.logDecision(now, q, d)
	}
	slices.SortStableFunc(decisions, func(a, b hitchdispatch.Decision) int { return cmp.Compare(a.From, b.From) })
	for len(decisions) > 0 {
		to, n := decisions[0].From, 1
		for n < min(len(decisions), maxDecisionsPerMsg) && decisions[n].From == to {
			n++
		}
		if to == self {
			o.edge.slotBroker.receive(self, decisions[:n])
		} else {
			o.sendDecisions(now, to, decisions[:n])
		}
		decisions = decisions[n:]
	}
}

// sendDecisions sends decisions to another instance.
func (o *slotOwner) sendDecisions(now time.Time, to hitchfleet.InstanceID, decisions []hitchdispatch.Decision) {
	o.mu.Lock()
	asker, ok := o.askers[to]
	o.mu.Unlock()
	socket := o.edge.socket.Load()
	if !ok || socket == nil {
		return
	}
	msg := hitchdigest.SlotMsg{From: o.edge.Settings.Self.ID, Decisions: make([]hitchdispatch.DecisionMsg, len(decisions))}
	for n, d := range decisions {
		msg.Decisions[n] = d.Message(now)
	}
	o.edge.sendTo(socket, hitchdigest.Packet{Slot: &msg}, asker.addr)
}

// logDecision logs a rejection, or a slot that was waited for, with the figures that it is based on.
func (o *slotOwner) logDecision(now time.Time, q *slotQueue, d hitchdispatch.Decision) {
	in := d.Inputs
	waited := age(now, in.SubmittedAt)
	if d.Kind == hitchdispatch.Queued || d.Kind == hitchdispatch.Assigned && waited < loggedQueueTime {
		return
	}
	o.edge.Log.Info("slot decided", "Service", q.service, "Decision", d.Kind, "Reason", d.Reason, "From", d.From, "ID", d.Key.ID,
		"Organisation", in.Organisation, "Rank", in.Rank, "Waited", waited, "Waiting", in.Waiting, "Endpoint", o.edge.balancer.EndpointOfRun(q.service, d.Run), "InUse", in.InUse, "Slots", in.Slots,
		"TimePercent", in.TimePercent, "TimeAge", age(now, in.TimeAt), "ExpectedIn", until(now, in.ExpectedAt), "ReturnIn", until(now, d.ReturnAt), "IsSecond", q.isSecond.Load())
}

// until returns the time until a later one, and 0 if there is none.
func until(now, then time.Time) time.Duration {
	if then.IsZero() {
		return 0
	}
	return then.Sub(now)
}

// writeMetrics writes the sizes and counts of the queues.
func (o *slotOwner) writeMetrics(w io.Writer) error {
	for _, q := range o.all() {
		s := q.scheduler.Stats()
		_, err := fmt.Fprintf(w, "citronhitch_queue_waiting{service=%[1]q} %[2]d\ncitronhitch_queue_slots_in_use{service=%[1]q} %[3]d\ncitronhitch_queue_slots{service=%[1]q} %[4]d\n"+
			"citronhitch_queue_assigned_total{service=%[1]q} %[5]d\ncitronhitch_queue_mended_total{service=%[1]q} %[6]d\n", q.service, s.Waiting, s.InUse, s.Slots, s.Assigned, s.Mended)
		for reason, n := range s.Rejected {
			if n > 0 && err == nil {
				_, err = fmt.Fprintf(w, "citronhitch_queue_rejected_total{service=%q,reason=%q} %d\n", q.service, hitchdispatch.Reason(reason), n)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}
