package hitchedge

import (
	"net"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquarantine"
)

// sendSuspicions sends what is known of parts of prompts at which endpoints crash: to the
// hubs, or, from a hub, to all instances of the region. Callers are directed to all regions,
// so that the primary hub also tells the hubs of the others.
func (e *Edge) sendSuspicions(socket *net.UDPConn, r *region) {
	now := time.Now()
	self := e.Settings.Self
	isHub := r.isHub(self.ID)
	due := e.gateway.Quarantine.Due(now, isHub)
	if len(due) == 0 {
		return
	}
	recipients := r.roles.Hubs
	if isHub {
		recipients = slices.Concat(r.instances, e.unlisted.Instances(now, r.instances))
	}
	if r.isPrimaryHub(self.ID) {
		recipients = append(recipients, hubsOfOtherRegions(self.Region, e.gateway.View().Instances())...)
	}
	e.send(socket, hitchdigest.Packet{Suspicions: &hitchquarantine.SuspicionsMsg{From: self.ID, Suspicions: due}}, recipients...)
}

// hubsOfOtherRegions returns the hubs of all regions but one, as they are unless hubs have
// failed.
func hubsOfOtherRegions(own hitchfleet.Region, instances []hitchfleet.Instance) (hubs []hitchfleet.Instance) {
	seen := map[hitchfleet.Region]bool{own: true}
	for _, i := range instances {
		if !seen[i.Region] {
			seen[i.Region] = true
			hubs = append(hubs, hitchdigest.Hubs(hitchdigest.Rank(hitchdigest.InRegion(instances, i.Region)))...)
		}
	}
	return hubs
}
