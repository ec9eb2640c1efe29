package hitchedge

import (
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
)

// ownersOf returns the owner that assigned a slot, and the present one if it is another.
func (b *slotBroker) ownersOf(now time.Time, service hitchfleet.ServiceID, assignedBy hitchfleet.InstanceID) (owners []hitchfleet.Instance) {
	present, ok := b.nextOwner(now, service)
	if ok {
		owners = append(owners, present)
	}
	if assignedBy == "" || ok && present.ID == assignedBy {
		return owners
	}
	if i, ok := b.instance(assignedBy); ok {
		owners = append(owners, i)
	}
	return owners
}

// sendRequest sends a question to another instance.
func (b *slotBroker) sendRequest(service hitchfleet.ServiceID, owner hitchfleet.Instance, r hitchdispatch.Request) {
	msg := r.Message(time.Now(), service, b.holding(service, false))
	b.send(&hitchdigest.SlotMsg{Request: &msg}, owner)
}

func (b *slotBroker) send(msg *hitchdigest.SlotMsg, to hitchfleet.Instance) {
	if socket := b.edge.socket.Load(); socket != nil {
		b.edge.send(socket, hitchdigest.Packet{Slot: msg}, to)
	}
}

// holding returns what this instance uses of a service's slots, and all requests that wait for one
// if it is to be whole.
func (b *slotBroker) holding(service hitchfleet.ServiceID, isWhole bool) hitchdispatch.Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	h := hitchdispatch.Holding{Sequence: b.sequence, IsWhole: isWhole}
	use := b.useOf(service)
	for id, slot := range use.held {
		h.Held = append(h.Held, hitchdispatch.Held{ID: id, Run: slot.Run})
	}
	if !isWhole {
		return h
	}
	for id, w := range b.waiting {
		if w.service == service {
			h.Waiting = append(h.Waiting, id)
		}
	}
	if len(h.Waiting) > maxToldWaiting {
		h.Waiting, h.IsWhole = nil, false
	}
	return h
}

// tellHoldings tells the owners of queues what this instance uses, as messages may be lost, and
// once that it uses nothing any longer.
func (b *slotBroker) tellHoldings(now time.Time) {
	for _, service := range b.heldServices() {
		for _, owner := range b.routeOf(now, service).owners {
			if owner.ID == b.edge.Settings.Self.ID || !b.edge.restingOwners.isResting(now, owner.ID) {
				b.tellHolding(now, service, owner)
			}
		}
	}
}

// heldServices returns the services whose slots this instance uses or waits for, or did when it
// told that last.
func (b *slotBroker) heldServices() (services []hitchfleet.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isWaiting := make(map[hitchfleet.ServiceID]bool)
	for _, w := range b.waiting {
		isWaiting[w.service] = true
	}
	for service, use := range b.services {
		isUsed := len(use.held) > 0 || isWaiting[service]
		if isUsed || use.isTold {
			services = append(services, service)
		}
		use.isTold = isUsed
	}
	return services
}

// tellHolding tells one owner what this instance uses.
func (b *slotBroker) tellHolding(now time.Time, service hitchfleet.ServiceID, owner hitchfleet.Instance) {
	holding := b.holding(service, true)
	if owner.ID == b.edge.Settings.Self.ID {
		b.edge.slotOwner.hold(now, service, owner.ID, holding)
		return
	}
	b.send(&hitchdigest.SlotMsg{Holding: &hitchdispatch.HoldingMsg{Service: service, From: b.edge.Settings.Self.ID, Holding: holding}}, owner)
}

// answerHoldings tells a new owner what this instance uses, if that isn't nothing.
func (b *slotBroker) answerHoldings(now time.Time, service hitchfleet.ServiceID, from hitchfleet.InstanceID) {
	holding := b.holding(service, true)
	if len(holding.Held) == 0 && len(holding.Waiting) == 0 {
		return
	}
	if i, ok := b.instance(from); ok {
		b.tellHolding(now, service, i)
	}
}
