package hitchedge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
	"citronhitch.example/citronhitch/hitchrecent"
)

// Times of questions for slots.
const (
	// slotRouteTTL is how long the owners of a service's queue, and whether it has one, are kept.
	slotRouteTTL = 100 * time.Millisecond
	// ownQueueCheck is how often a request in this instance's own queue checks whether this
	// instance still owns it.
	ownQueueCheck = 250 * time.Millisecond
	// minAskDelay and maxAskDelay limit when an owner may want to be asked again.
	minAskDelay = 20 * time.Millisecond
	maxAskDelay = time.Second
	// maxUnanswered is how many questions without an answer count as silence, although the owner
	// answers others.
	maxUnanswered = 4
	// lateWake is by how much a timer is late if this instance itself had no processor time.
	lateWake = 15 * time.Millisecond
	// maxToldWaiting is how many requests that wait fit into a datagram.
	maxToldWaiting = 300
	// maxHeardAge is after how long an owner makes room for another among those that answered.
	maxHeardAge = 10 * time.Second
	// maxRepeats is the largest number of repeated questions that is sent.
	maxRepeats = 255
)

// slotBroker asks the owners of the queues of services with few slots. Its methods are the
// functions of a hitchingress.SlotBroker.
type slotBroker struct {
	edge *Edge

	mu       sync.Mutex
	lastID   hitchdispatch.RequestID
	sequence uint32
	services map[hitchfleet.ServiceID]*slotUse
	waiting  map[hitchdispatch.RequestID]*slotWait
	// heardAt is when an owner last sent a decision.
	heardAt map[hitchfleet.InstanceID]time.Time
}

// slotUse is what this instance uses of a service's slots.
type slotUse struct {
	route slotRoute
	held  map[hitchdispatch.RequestID]hitchingress.Slot
	// own counts the slots in use that no owner assigned.
	own int
	// isTold is set if the owners were told that something is held.
	isTold bool
}

// slotRoute is who owns a service's queue.
type slotRoute struct {
	at time.Time
	// owners are the first and the second one. They are empty if the service has no queue.
	owners []hitchfleet.Instance
	// share is this instance's equal share of the slots.
	share int
}

// slotWait is a request that waits for a decision.
type slotWait struct {
	service hitchfleet.ServiceID
	id      hitchdispatch.RequestID
	// owner is the instance that was asked.
	owner hitchfleet.InstanceID
	// decisions receives the owner's decisions, and the zero value if it rests now.
	decisions chan hitchdispatch.Decision
}

// initSlots connects the components that share slots.
func (e *Edge) initSlots() {
	e.slotBroker.edge, e.slotOwner.edge = e, e
	e.slotBroker.lastID = hitchdispatch.RequestID(rand.Uint64() >> 1)
	// After a restart it is larger than before, as fewer than 60 holdings are told per second.
	e.slotBroker.sequence = uint32(time.Now().UnixMilli() / 16)
	e.slotOwner.wake = make(chan struct{}, 1)
	b := &e.slotBroker
	e.gateway.Slots = hitchingress.SlotBroker{
		AssignsSlots: b.AssignsSlots, Acquire: b.Acquire, TakeOwn: b.TakeOwn, Release: b.Release, Withdraw: b.Withdraw,
	}
}

// Acquire waits for the decision about a request. Its kind is zero if no owner responds, or ctx
// ends.
func (b *slotBroker) Acquire(ctx context.Context, service hitchfleet.ServiceID, r hitchdispatch.Request) hitchingress.SlotAnswer {
	for ctx.Err() == nil {
		owner, ok := b.nextOwner(time.Now(), service)
		if !ok {
			break
		}
		d, ok := b.askSlotOwner(ctx, service, owner, r)
		if !ok {
			continue
		}
		answer := hitchingress.SlotAnswer{Kind: d.Kind, Reason: d.Reason, ReturnAt: d.ReturnAt, Owner: owner.ID}
		switch {
		case d.Kind == hitchdispatch.Assigned:
			answer.Slot = hitchingress.Slot{Service: service, ID: d.ID, Run: d.Run, Owner: owner.ID}
		case d.Reason == hitchdispatch.ReasonNoEndpoint:
			answer.Kind = 0 // this instance knows of one
		}
		return answer
	}
	return hitchingress.SlotAnswer{}
}

// askSlotOwner asks an owner until it has decided. It returns false if the owner doesn't respond,
// has been replaced, or ctx ends; the request is then no longer in its queue.
//
// A question without an answer may be lost, or wait in the queue. It is sent again after
// answerTimeout; then an owner that runs confirms that the request waits, and says when it is to
// be asked again.
func (b *slotBroker) askSlotOwner(ctx context.Context, service hitchfleet.ServiceID, owner hitchfleet.Instance, r hitchdispatch.Request) (hitchdispatch.Decision, bool) {
	w := b.open(service, owner.ID)
	r.Key, r.Zone = hitchdispatch.Key{From: b.edge.Settings.Self.ID, ID: w.id}, b.edge.Settings.Self.Zone
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	unanswered := 0
	for silent := 0; silent < answerTries; {
		isSilent, askedAt, delay := false, time.Now(), ownQueueCheck
		switch {
		case owner.ID != b.edge.Settings.Self.ID:
			b.sendRequest(service, owner, r)
			isSilent, delay = true, answerTimeout
		case r.Repeats == 0 && !b.edge.slotOwner.submit(askedAt, service, r, b.holding(service, false)):
			silent = answerTries
			continue
		}
		timer.Reset(delay)
		wakeAt := askedAt.Add(delay)
		r.Repeats = min(r.Repeats, maxRepeats-1) + 1
		for isWaiting := true; isWaiting; {
			select {
			case d := <-w.decisions:
				switch d.Kind {
				case hitchdispatch.Queued:
					silent, unanswered, isSilent = 0, 0, false
					delay = min(max(time.Until(d.AskAt), minAskDelay), maxAskDelay)
					timer.Reset(delay)
					wakeAt = time.Now().Add(delay)
				case 0: // the owner rests
					isWaiting = false
				default:
					return d, true
				}
			case <-timer.C:
				now := time.Now()
				if isWaiting = now.Sub(wakeAt) > lateWake; isWaiting { // the answer may be there and unread
					timer.Reset(lateWake)
					wakeAt = now.Add(lateWake)
				}
			case <-ctx.Done():
				return b.giveUp(w)
			}
		}
		if isSilent {
			unanswered++
		}
		if isSilent && (unanswered >= maxUnanswered || !b.heardSince(askedAt, owner.ID)) {
			silent++
		}
		if next, ok := b.nextOwner(time.Now(), service); !ok || next.ID != owner.ID {
			return b.giveUp(w)
		}
	}
	d, ok := b.giveUp(w)
	if !ok {
		b.restOwner(owner.ID)
	}
	return d, ok
}

// restOwner records that an owner didn't respond, and tells the other requests in its queue.
func (b *slotBroker) restOwner(owner hitchfleet.InstanceID) {
	b.edge.restingOwners.rest(time.Now(), owner)
	b.edge.Log.Info("no answer from an owner", "Question", "slot", "Owner", owner)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.waiting {
		if w.owner == owner {
			select {
			case w.decisions <- hitchdispatch.Decision{}:
			default:
			}
		}
	}
}

// heardSince reports whether an owner has sent a decision since a time: it runs, and a question or
// its answer was lost.
func (b *slotBroker) heardSince(at time.Time, owner hitchfleet.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heardAt[owner].After(at)
}

// recordHeard records that an owner has sent a decision.
func (b *slotBroker) recordHeard(now time.Time, owner hitchfleet.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heardAt == nil {
		b.heardAt = make(map[hitchfleet.InstanceID]time.Time)
	}
	isOld := func(_ hitchfleet.InstanceID, at time.Time) bool { return now.Sub(at) > maxHeardAge }
	if _, ok := b.heardAt[owner]; ok || hitchrecent.HasRoom(b.heardAt, maxNames, isOld) {
		b.heardAt[owner] = now
	}
}

// open registers a request that is in an owner's queue from now on. Its ID is new: an owner
// ignores one that was withdrawn before.
func (b *slotBroker) open(service hitchfleet.ServiceID, owner hitchfleet.InstanceID) *slotWait {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.useOf(service)
	b.lastID++
	w := &slotWait{service: service, id: b.lastID, owner: owner, decisions: make(chan hitchdispatch.Decision, 4)}
	b.waiting[w.id] = w
	return w
}

// giveUp ends the wait of a request and withdraws it, unless it has got a slot meanwhile.
func (b *slotBroker) giveUp(w *slotWait) (hitchdispatch.Decision, bool) {
	if d, ok := b.lastDecision(w); ok {
		return d, true
	}
	b.withdraw(w.service, w.id, w.owner)
	return hitchdispatch.Decision{}, false
}

// lastDecision ends the wait of a request. It returns false if it has got no slot.
func (b *slotBroker) lastDecision(w *slotWait) (hitchdispatch.Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, w.id)
	for {
		select {
		case d := <-w.decisions:
			if d.Kind == hitchdispatch.Assigned {
				return d, true
			}
		default:
			return hitchdispatch.Decision{}, false
		}
	}
}

// receive passes decisions of an owner to the requests that wait for them. A slot that no request
// waits for any longer is handed back.
func (b *slotBroker) receive(owner hitchfleet.InstanceID, decisions []hitchdispatch.Decision) {
	for _, d := range decisions {
		if service, isUnwanted := b.receiveOne(owner, d); isUnwanted {
			b.edge.Log.Info("slot assigned too late", "Service", service, "Owner", owner)
			b.withdraw(service, d.ID, owner)
		}
	}
}

// receiveOne passes a decision on. It returns true if the decision has assigned a slot that no
// request waits for.
func (b *slotBroker) receiveOne(owner hitchfleet.InstanceID, d hitchdispatch.Decision) (hitchfleet.ServiceID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.waiting[d.ID]
	if w == nil || w.owner != owner {
		return b.unwanted(owner, d)
	}
	if d.Kind == hitchdispatch.Assigned {
		b.useOf(w.service).held[d.ID] = hitchingress.Slot{Service: w.service, ID: d.ID, Run: d.Run, Owner: owner}
	}
	if d.Kind != hitchdispatch.Queued {
		delete(b.waiting, d.ID)
	}
	select {
	case w.decisions <- d:
	default: // full of confirmations, as nothing follows another decision
		select {
		case <-w.decisions:
		default:
		}
		w.decisions <- d
	}
	return "", false
}

// unwanted returns the service at which a decision has assigned a slot to no request. It is called
// with mu held.
func (b *slotBroker) unwanted(owner hitchfleet.InstanceID, d hitchdispatch.Decision) (hitchfleet.ServiceID, bool) {
	if d.Kind != hitchdispatch.Assigned {
		return "", false
	}
	for service, use := range b.services {
		if slot, ok := use.held[d.ID]; ok {
			return service, slot.Owner != owner
		}
	}
	for service := range b.services {
		if b.edge.balancer.EndpointOfRun(service, d.Run) != "" {
			return service, true
		}
	}
	return "", false
}

// TakeOwn takes a slot without an owner. It returns false if this instance uses its equal share.
func (b *slotBroker) TakeOwn(service hitchfleet.ServiceID, run hitchfleet.RunID) (hitchingress.Slot, bool) {
	share := b.routeOf(time.Now(), service).share
	b.mu.Lock()
	defer b.mu.Unlock()
	use := b.useOf(service)
	if use.own >= max(share, 1) {
		return hitchingress.Slot{}, false
	}
	use.own++
	b.lastID++
	slot := hitchingress.Slot{Service: service, ID: b.lastID, Run: run}
	use.held[slot.ID] = slot
	return slot, true
}

// forget removes a slot from those in use. That follows the message that it is free: a holding
// without it that overtakes the message would look like one whose end was lost.
func (b *slotBroker) forget(slot hitchingress.Slot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	use := b.useOf(slot.Service)
	delete(use.held, slot.ID)
	if slot.Owner == "" {
		use.own--
	}
}

// Release tells the owner of a slot that it is free. If the queue has another owner now, that one
// is told too.
func (b *slotBroker) Release(slot hitchingress.Slot, result hitchdispatch.Result) {
	defer b.forget(slot)
	now := time.Now()
	result.Key = hitchdispatch.Key{From: b.edge.Settings.Self.ID, ID: slot.ID}
	for _, owner := range b.ownersOf(now, slot.Service, slot.Owner) {
		if owner.ID == b.edge.Settings.Self.ID {
			b.edge.slotOwner.complete(now, slot.Service, result)
			continue
		}
		b.send(&hitchdigest.SlotMsg{Results: []hitchdispatch.ResultMsg{result.Message(slot.Service)}}, owner)
	}
}

// Withdraw hands back a slot that wasn't used.
func (b *slotBroker) Withdraw(slot hitchingress.Slot) {
	defer b.forget(slot)
	b.withdraw(slot.Service, slot.ID, slot.Owner)
}

// withdraw tells the owner that was asked that a request needs no slot.
func (b *slotBroker) withdraw(service hitchfleet.ServiceID, id hitchdispatch.RequestID, owner hitchfleet.InstanceID) {
	self := b.edge.Settings.Self.ID
	if owner == self {
		b.edge.slotOwner.withdraw(time.Now(), service, hitchdispatch.Key{From: self, ID: id})
	} else if i, ok := b.instance(owner); ok {
		b.send(&hitchdigest.SlotMsg{Withdrawals: []hitchdispatch.WithdrawMsg{{Service: service, From: self, ID: id}}}, i)
	}
}

// instance returns another instance in the view.
func (b *slotBroker) instance(id hitchfleet.InstanceID) (hitchfleet.Instance, bool) {
	for _, i := range b.edge.gateway.View().Instances() {
		if i.ID == id {
			return i, true
		}
	}
	return hitchfleet.Instance{}, false
}

// handleSlotMsg handles a datagram about slots.
func (e *Edge) handleSlotMsg(now time.Time, m *hitchdigest.SlotMsg, from netip.AddrPort) {
	if len(m.Decisions) > 0 {
		decisions := make([]hitchdispatch.Decision, len(m.Decisions))
		for n, d := range m.Decisions {
			decisions[n] = d.Decision(now, e.Settings.Self.ID)
		}
		e.slotBroker.recordHeard(now, m.From)
		e.slotBroker.receive(m.From, decisions)
	}
	if m.HoldingsOf != "" {
		e.balancer.ShareSlots(m.HoldingsOf, now.Add(hitchingress.SharedSlotsTTL))
		e.slotBroker.answerHoldings(now, m.HoldingsOf, m.From)
	}
	e.slotOwner.handle(now, m, from)
}
