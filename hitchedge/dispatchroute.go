package hitchedge

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchingress"
)

// useOf returns what is known of a service, which is created on first use. It is called with mu
// held.
func (b *slotBroker) useOf(service hitchfleet.ServiceID) *slotUse {
	use := b.services[service]
	if use == nil {
		if b.services == nil {
			b.services, b.waiting = make(map[hitchfleet.ServiceID]*slotUse), make(map[hitchdispatch.RequestID]*slotWait)
		}
		use = &slotUse{held: make(map[hitchdispatch.RequestID]hitchingress.Slot)}
		b.services[service] = use
	}
	return use
}

// routeOf returns who owns a service's queue.
func (b *slotBroker) routeOf(now time.Time, service hitchfleet.ServiceID) slotRoute {
	b.mu.Lock()
	use := b.useOf(service)
	route := use.route
	b.mu.Unlock()
	if now.Sub(route.at) < slotRouteTTL && !route.at.IsZero() {
		return route
	}
	route = b.edge.slotRouteOf(now, service)
	b.mu.Lock()
	defer b.mu.Unlock()
	use.route = route
	return route
}

// slotRouteOf finds out who owns a service's queue. A service has one if its endpoints call for
// it (hitchbalance.Balancer.SlotCount) and have no more slots than there are instances.
func (e *Edge) slotRouteOf(now time.Time, service hitchfleet.ServiceID) slotRoute {
	route := slotRoute{at: now}
	slots, ok := e.balancer.SlotCount(now, service)
	if !ok || slots == 0 {
		return route
	}
	if table := e.gateway.View().Table; table == nil || table.Service(service).Slots > 0 {
		return route // an engine has a limit of its own
	}
	live := e.liveInstances()
	if slots > len(live) {
		return route
	}
	candidates := live
	if e.gateway.IsDraining() {
		candidates = live[1:]
	}
	route.owners, route.share = slotOwners(service, candidates), max(slots/len(live), 1)
	return route
}

// slotOwners returns the owners of a service's queue among the live instances: those with the
// largest links, which have the largest share of a core, by rendezvous hashing.
func slotOwners(service hitchfleet.ServiceID, live []hitchfleet.Instance) (owners []hitchfleet.Instance) {
	live = slices.DeleteFunc(slices.Clone(live), func(i hitchfleet.Instance) bool { return i.Leaving })
	for len(owners) < ownerCount && len(live) > 0 {
		largest := slices.MaxFunc(live, func(a, b hitchfleet.Instance) int { return a.LinkMegabits - b.LinkMegabits }).LinkMegabits
		var group, rest []hitchfleet.Instance
		for _, i := range live {
			if i.LinkMegabits == largest {
				group = append(group, i)
			} else {
				rest = append(rest, i)
			}
		}
		owners = append(owners, hitchfleet.Owners(hitchfleet.KeyOf(string(service)), group, ownerCount-len(owners))...)
		live = rest
	}
	return owners
}

// AssignsSlots reports whether the slots of a service are assigned by the owner of its queue.
func (b *slotBroker) AssignsSlots(service hitchfleet.ServiceID) bool {
	return len(b.routeOf(time.Now(), service).owners) > 0
}

// nextOwner returns the first owner that may be asked.
func (b *slotBroker) nextOwner(now time.Time, service hitchfleet.ServiceID) (hitchfleet.Instance, bool) {
	self := b.edge.Settings.Self.ID
	for _, owner := range b.routeOf(now, service).owners {
		if !b.edge.restingOwners.isResting(now, owner.ID) && (owner.ID != self || b.edge.currency.isSettled(now)) {
			return owner, true
		}
	}
	return hitchfleet.Instance{}, false
}
