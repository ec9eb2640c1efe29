package hitchrouter

import (
	"context"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// handleAdmit answers another router's message about slots.
func (rt *Router) handleAdmit(_ context.Context, from hitchfleet.Instance, body []byte) ([]byte, error) {
	p, err := hitchadmit.DecodePacket(body)
	if err != nil {
		return nil, err
	}
	return rt.admit(from, p).Encode()
}

// admit takes a message about slots, of another router or of this one.
func (rt *Router) admit(from hitchfleet.Instance, p hitchadmit.Packet) (reply hitchadmit.Packet) {
	now := rt.now()
	var due []hitchadmit.DeferredDecision
	if p.SlotRequest != nil {
		p.SlotRequest.Requester = from.ID
		var d hitchadmit.Decision
		d, due = rt.Owners.RequestSlot(now, *p.SlotRequest, due)
		reply.Decision = &d
	}
	if p.FirstToken != nil {
		due = rt.Owners.RecordFirstToken(now, *p.FirstToken, due)
	}
	if p.Release != nil {
		due = rt.Owners.ReleaseSlot(now, *p.Release, due)
	}
	for _, beat := range p.Heartbeats {
		beat.Requester = from.ID
		due = rt.Owners.HandleHeartbeat(now, beat, due)
	}
	if p.Handover != nil {
		rt.acceptHandover(*p.Handover)
	}
	rt.notify(due)
	if p.Decision != nil {
		rt.decided(*p.Decision)
	}
	return reply
}

func (rt *Router) acceptHandover(h hitchadmit.Handover) {
	accepted := rt.Owners.AcceptHandover(rt.now(), h)
	rt.log().Info("handover", "From", string(h.From), "Endpoint", string(h.Endpoint), "Accepted", accepted)
}

// notify passes decisions that fell due on to those who asked.
func (rt *Router) notify(due []hitchadmit.DeferredDecision) {
	for _, notice := range due {
		if notice.Requester == rt.Self.ID {
			rt.decided(notice.Decision)
			continue
		}
		rt.tellAdmit(notice.Requester, hitchadmit.Packet{Decision: &notice.Decision})
	}
}

// decided hands a decision to the request that waits for it. A grant that comes
// too late is released by the request's own release.
func (rt *Router) decided(d hitchadmit.Decision) {
	if answer, ok := rt.waiting.take(uint64(d.ID)); ok {
		answer <- d
	}
}

// tellAdmit sends a message about slots without waiting.
func (rt *Router) tellAdmit(to hitchfleet.InstanceID, p hitchadmit.Packet) {
	if to == rt.Self.ID {
		rt.admit(rt.Self, p)
		return
	}
	body, err := p.Encode()
	if err != nil {
		rt.log().Error("packet not encoded", "Error", err)
		return
	}
	rt.tell(to, KindAdmit, body)
}
