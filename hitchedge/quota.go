package hitchedge

import (
	"net"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchquota"
)

// sendQuotas sends which endpoints name a quota: to the hubs, or from a hub to all.
func (e *Edge) sendQuotas(socket *net.UDPConn, r *region) {
	now := time.Now()
	self := e.Settings.Self.ID
	if due := e.gateway.Quotas.Due(now, r.isHub(self)); len(due) > 0 {
		e.send(socket, hitchdigest.Packet{Quotas: &hitchquota.NoticesMsg{From: self, Notices: due}}, e.recipients(now, r)...)
	}
}
