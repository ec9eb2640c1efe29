package hitchrouter

import (
	"context"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// handleAdmit serves an admission packet from another router.
func (rt *Router) handleAdmit(_ context.Context, from hitchfleet.Instance, body []byte) ([]byte, error) {
	p, err := hitchadmit.DecodePacket(body)
	if err != nil {
		return nil, err
	}
	return rt.handleAdmissionPacket(from, p).Encode()
}

// handleAdmissionPacket applies an admission packet from another router or from this
// one, and returns the response to its sender.
func (rt *Router) handleAdmissionPacket(from hitchfleet.Instance, p hitchadmit.Packet) (response hitchadmit.Packet) {
	now := rt.now()
	var deferred []hitchadmit.DeferredDecision
	if p.Quota != nil {
		rt.receiveQuota(now, from.ID, *p.Quota)
	}
	if p.SlotRequest != nil {
		p.SlotRequest.Requester = from.ID
		d, isRefused := rt.refuseAboveQuota(now, *p.SlotRequest)
		if !isRefused {
			d, deferred = rt.Admission.RequestSlot(now, *p.SlotRequest, deferred)
		}
		response.Decision = &d
	}
	if p.FirstToken != nil {
		deferred = rt.Admission.RecordFirstToken(now, *p.FirstToken, deferred)
	}
	if p.Release != nil {
		deferred = rt.Admission.ReleaseSlot(now, *p.Release, deferred)
	}
	for _, beat := range p.Heartbeats {
		beat.Requester = from.ID
		deferred = rt.Admission.HandleHeartbeat(now, beat, deferred)
	}
	if p.Handover != nil {
		rt.acceptEndpointHandover(*p.Handover)
	}
	rt.deliverDecisions(deferred)
	if p.Decision != nil {
		rt.deliverDecision(*p.Decision)
	}
	return response
}

func (rt *Router) acceptEndpointHandover(h hitchadmit.Handover) {
	accepted := rt.Admission.AcceptHandover(rt.now(), h)
	rt.log().Info("endpoint handover received", "From", string(h.From), "Endpoint", string(h.Endpoint), "Accepted", accepted)
}

// deliverDecisions sends each deferred decision to the router that requested the slot.
func (rt *Router) deliverDecisions(deferred []hitchadmit.DeferredDecision) {
	for _, d := range deferred {
		if d.Requester == rt.Self.ID {
			rt.deliverDecision(d.Decision)
			continue
		}
		rt.sendAdmissionPacket(d.Requester, hitchadmit.Packet{Decision: &d.Decision})
	}
}

// deliverDecision passes a decision to the request that waits for it. A grant that
// arrives after the request stopped waiting needs no action: the request has already
// sent a release for it.
func (rt *Router) deliverDecision(d hitchadmit.Decision) {
	if waiter, ok := rt.pendingDecisions.take(uint64(d.ID)); ok {
		waiter <- d
	}
}

// sendAdmissionPacket sends an admission packet without waiting for a response.
func (rt *Router) sendAdmissionPacket(to hitchfleet.InstanceID, p hitchadmit.Packet) {
	if to == rt.Self.ID {
		rt.handleAdmissionPacket(rt.Self, p)
		return
	}
	body, err := p.Encode()
	if err != nil {
		rt.log().Error("admission packet could not be encoded", "Error", err)
		return
	}
	rt.sendAsync(to, KindAdmit, body)
}
