package hitchdigest

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// simInstance is one instance of a simulated region.
type simInstance struct {
	hitchfleet.Instance
	election Election
	tracker  ReportTracker
	liveness Liveness
	removals Removals
	roles    Roles
	isDown   bool
	// heardAt is when the last status of a hub arrived.
	heardAt time.Time
}

// simRegion simulates the messages of a region, in which links may fail.
type simRegion struct {
	instances []*simInstance
	ranked    []hitchfleet.Instance
	now       time.Time
	// isCut reports whether messages from one zone to another are lost. It may be nil.
	isCut func(from, to hitchfleet.AvailabilityZone) bool
	// removed are the instances that a primary hub removed.
	removed []hitchfleet.InstanceID
}

func newSimRegion(n, zones int) *simRegion {
	r := &simRegion{now: start}
	all := fleet(n, zones, 3*zones)
	r.ranked = Rank(all)
	for _, i := range all {
		r.instances = append(r.instances, &simInstance{Instance: i, heardAt: start})
	}
	return r
}

func (r *simRegion) byID(id hitchfleet.InstanceID) *simInstance {
	return r.instances[slices.IndexFunc(r.instances, func(i *simInstance) bool { return i.ID == id })]
}

// reaches reports whether a message between two instances arrives.
func (r *simRegion) reaches(from, to *simInstance) bool {
	return !from.isDown && !to.isDown && (r.isCut == nil || !r.isCut(from.Zone, to.Zone))
}

const simInterval = 600 * time.Millisecond

// run plays a period: in each interval, all instances send their reports to the hubs,
// and the hubs their statuses to all instances.
func (r *simRegion) run(period time.Duration) {
	for end := r.now.Add(period); r.now.Before(end); r.now = r.now.Add(simInterval) {
		for _, i := range r.instances {
			i.roles = i.election.Roles(r.now, i.ID, r.ranked, func(id hitchfleet.InstanceID) bool { return i.liveness.IsSilent(r.now, id) })
			for _, hub := range i.roles.Hubs {
				if to := r.byID(hub.ID); r.reaches(i, to) {
					to.tracker.RecordReport(r.now, i.ID)
				}
			}
		}
		for _, hub := range r.instances {
			if contains(hub.roles.Hubs, hub.ID) && !hub.isDown {
				r.sendStatus(hub)
			}
		}
		r.removeSilent()
	}
}

func (r *simRegion) sendStatus(hub *simInstance) {
	status := HubStatus{From: hub.ID, Zone: hub.Zone, IsStoreReachable: true, Silence: hub.tracker.Silence(r.now, r.ranked)}
	for _, i := range r.instances {
		if i != hub && !r.reaches(hub, i) {
			continue
		}
		i.heardAt = r.now
		i.election.RecordHubStatus(r.now, status)
		if contains(i.roles.Hubs, hub.ID) {
			i.liveness.RecordHubStatus(r.now, status)
		}
	}
}

// removeSilent lets each primary hub remove the instances that are due.
func (r *simRegion) removeSilent() {
	for _, i := range r.instances {
		due := i.removals.Due(r.now, &i.liveness, r.ranked, func(hitchfleet.InstanceID) (hitchfleet.Revision, bool) { return 1, true })
		if len(due) > 0 && len(i.roles.Hubs) > 0 && i.roles.Hubs[0].ID == i.ID && !i.isDown {
			r.removed = append(r.removed, due...)
		}
	}
}

// down takes the instances down that a function selects.
func (r *simRegion) down(isDown func(*simInstance) bool) {
	for _, i := range r.instances {
		i.isDown = i.isDown || isDown(i)
	}
}

// cutBetween returns a cut between two zones, in both directions.
func cutBetween(a, b hitchfleet.AvailabilityZone) func(from, to hitchfleet.AvailabilityZone) bool {
	return func(from, to hitchfleet.AvailabilityZone) bool { return from == a && to == b || from == b && to == a }
}

// TestCutBetweenTwoZones covers two zones that can't reach each other while all others
// reach both. Whether the zones have hubs or not, each instance still hears a hub, no
// live instance is removed from the fleet, and the zones that reach both list all.
func TestCutBetweenTwoZones(t *testing.T) {
	hubs := newSimRegion(60, 5).ranked
	hubZones := []hitchfleet.AvailabilityZone{Hubs(hubs)[0].Zone, Hubs(hubs)[1].Zone}
	var otherZones []hitchfleet.AvailabilityZone
	for _, i := range fleet(5, 5, 0) {
		if !slices.Contains(hubZones, i.Zone) {
			otherZones = append(otherZones, i.Zone)
		}
	}
	tests := map[string][2]hitchfleet.AvailabilityZone{
		"both zones have a hub":     {hubZones[0], hubZones[1]},
		"the primary hub's zone":    {hubZones[0], otherZones[0]},
		"the other hub's zone":      {hubZones[1], otherZones[0]},
		"neither of them has a hub": {otherZones[0], otherZones[1]},
	}
	for name, cut := range tests {
		t.Run(name, func(t *testing.T) {
			r := newSimRegion(60, 5)
			r.run(3 * time.Second)
			r.isCut = cutBetween(cut[0], cut[1])
			r.run(20 * time.Second)
			qt.Assert(t, r.removed, qt.HasLen, 0)
			for _, i := range r.instances {
				qt.Assert(t, r.now.Sub(i.heardAt) <= hubTimeout, qt.IsTrue, qt.Commentf("%s in %s", i.ID, i.Zone))
				if i.Zone == cut[0] || i.Zone == cut[1] {
					continue
				}
				for _, other := range r.instances {
					qt.Assert(t, i.liveness.IsSilent(r.now, other.ID), qt.IsFalse, qt.Commentf("%s in %s omits %s in %s", i.ID, i.Zone, other.ID, other.Zone))
				}
			}
			r.isCut = nil
			r.run(3 * time.Second)
			for _, i := range r.instances {
				qt.Assert(t, i.roles.Hubs, qt.DeepEquals, Hubs(r.ranked))
			}
		})
	}
}

// TestZoneLosesPower covers the loss of each zone: its instances are silent for all
// others within seconds and then removed, and no other one is.
func TestZoneLosesPower(t *testing.T) {
	for _, zone := range []hitchfleet.AvailabilityZone{"zone-0", "zone-1", "zone-2", "zone-3", "zone-4"} {
		t.Run(string(zone), func(t *testing.T) {
			r := newSimRegion(60, 5)
			r.run(3 * time.Second)
			r.down(func(i *simInstance) bool { return i.Zone == zone })
			r.run(hubTimeout + silenceTimeout + 3*simInterval)
			for _, i := range r.instances {
				for _, other := range r.instances {
					if !i.isDown {
						qt.Assert(t, i.liveness.IsSilent(r.now, other.ID), qt.Equals, other.isDown, qt.Commentf("%s as seen by %s", other.ID, i.ID))
					}
				}
			}
			r.run(removalDelay + 3*simInterval)
			slices.Sort(r.removed)
			removed := slices.Compact(r.removed)
			qt.Assert(t, removed, qt.HasLen, 12)
			for _, id := range removed {
				qt.Assert(t, r.byID(id).Zone, qt.Equals, zone)
			}
		})
	}
}

// TestMostInstancesLosePower covers the loss of all but a few instances, which are in
// one zone: they leave the others out after some seconds.
func TestMostInstancesLosePower(t *testing.T) {
	r := newSimRegion(9, 3)
	r.run(3 * time.Second)
	r.down(func(i *simInstance) bool { return i.Zone != "zone-0" })
	r.run(4*hubTimeout + silenceTimeout + doubtDelay)
	for _, i := range r.instances {
		for _, other := range r.instances {
			if !i.isDown {
				qt.Assert(t, i.liveness.IsSilent(r.now, other.ID), qt.Equals, other.isDown, qt.Commentf("%s as seen by %s", other.ID, i.ID))
			}
		}
	}
	r.run(unconfirmedRemovalDelay + 3*simInterval)
	qt.Assert(t, len(r.removed) > 0, qt.IsTrue)
}

// TestLargeRegionLosesMostZones covers the loss of three of five zones: the two that are
// left leave all lost instances out within seconds.
func TestLargeRegionLosesMostZones(t *testing.T) {
	r := newSimRegion(195, 5)
	r.run(3 * time.Second)
	r.down(func(i *simInstance) bool { return i.Zone != "zone-0" && i.Zone != "zone-3" })
	r.run(3*hubTimeout + silenceTimeout + doubtDelay)
	for _, i := range r.instances {
		for _, other := range r.instances {
			if !i.isDown {
				qt.Assert(t, i.liveness.IsSilent(r.now, other.ID), qt.Equals, other.isDown, qt.Commentf("%s as seen by %s", other.ID, i.ID))
			}
		}
	}
}

// maxDirectoryDelay is how long directories of a large deployment may name an instance that
// lost power.
const maxDirectoryDelay = 8 * time.Second

// TestFastInstancesLosePower covers the loss of all instances with fast links, which come
// first in the ranking: the others leave them out in time.
func TestFastInstancesLosePower(t *testing.T) {
	r := newSimRegion(195, 5)
	r.run(3 * time.Second)
	r.down(func(i *simInstance) bool { return i.LinkMegabits == r.ranked[0].LinkMegabits })
	r.run(maxDirectoryDelay)
	for _, i := range r.instances {
		for _, other := range r.instances {
			if !i.isDown {
				qt.Assert(t, i.liveness.IsSilent(r.now, other.ID), qt.Equals, other.isDown, qt.Commentf("%s as seen by %s", other.ID, i.ID))
			}
		}
	}
}

// TestZoneIsCutOff covers a zone that reaches no other one and whose instances hear only
// themselves: they go on naming all others for as long as a short cut lasts, and
// neither side removes anyone.
func TestZoneIsCutOff(t *testing.T) {
	const alone = "zone-0"
	r := newSimRegion(60, 5)
	r.run(3 * time.Second)
	r.isCut = func(from, to hitchfleet.AvailabilityZone) bool { return (from == alone) != (to == alone) }
	for d := time.Duration(0); d < silenceTimeout+doubtDelay; d += simInterval {
		r.run(simInterval)
		for _, i := range r.instances {
			for _, other := range r.instances {
				if i.Zone == alone {
					qt.Assert(t, i.liveness.IsSilent(r.now, other.ID), qt.IsFalse, qt.Commentf("%s omits %s after %v", i.ID, other.ID, d))
				}
			}
		}
	}
}

// TestInstancesJoin covers instances that are added to a running fleet: only those that
// become hubs change anything for the others.
func TestInstancesJoin(t *testing.T) {
	r := newSimRegion(60, 5)
	r.down(func(i *simInstance) bool { return slices.Index(r.instances, i) >= 40 })
	listed := r.ranked
	r.ranked = slices.DeleteFunc(slices.Clone(listed), func(i hitchfleet.Instance) bool { return r.byID(i.ID).isDown })
	r.run(3 * time.Second)
	r.ranked = listed
	for _, i := range r.instances {
		i.isDown = false
	}
	r.run(3 * time.Second)
	qt.Assert(t, r.removed, qt.HasLen, 0)
	for _, i := range r.instances {
		qt.Assert(t, i.roles.Hubs, qt.DeepEquals, Hubs(r.ranked))
	}
}
