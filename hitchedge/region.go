package hitchedge

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// region holds the instances of this instance's region, as listed in a view, and their
// roles.
type region struct {
	instances []hitchfleet.Instance
	// ranked are the instances in the order in which they become hubs.
	ranked []hitchfleet.Instance
	roles  hitchdigest.Roles
}

// regionOf returns the region of an instance in a view. Its roles are those in which no
// hub has failed.
func regionOf(self hitchfleet.Instance, view hitchview.View) *region {
	instances := hitchdigest.InRegion(view.Instances(), self.Region)
	ranked := hitchdigest.Rank(instances)
	return &region{instances: instances, ranked: ranked, roles: hitchdigest.Roles{Hubs: hitchdigest.Hubs(ranked)}}
}

// withRoles returns the region with other roles.
func (r *region) withRoles(roles hitchdigest.Roles) *region {
	next := *r
	next.roles = roles
	return &next
}

// isHub reports whether an instance is a hub of the region.
func (r *region) isHub(id hitchfleet.InstanceID) bool {
	return slices.ContainsFunc(r.roles.Hubs, func(i hitchfleet.Instance) bool { return i.ID == id })
}

// isPrimaryHub reports whether an instance is the hub that relays cache updates and
// removes silent instances from the fleet.
func (r *region) isPrimaryHub(id hitchfleet.InstanceID) bool {
	return len(r.roles.Hubs) > 0 && r.roles.Hubs[0].ID == id
}

// currentRegion returns the region in the current view, or an empty one before the
// first view.
func (e *Edge) currentRegion() *region {
	if r := e.region.Load(); r != nil {
		return r
	}
	return &region{}
}

// updateRoles elects the hubs of the region anew, since hubs may have failed or
// recovered.
func (e *Edge) updateRoles(now time.Time) *region {
	e.regionMu.Lock()
	defer e.regionMu.Unlock()
	return e.setRegion(now, e.currentRegion())
}

// setRegion replaces the region, with the roles that hold now. It is called with
// regionMu held.
func (e *Edge) setRegion(now time.Time, r *region) *region {
	old := e.currentRegion().roles
	isSilent := func(id hitchfleet.InstanceID) bool { return e.liveness.IsSilent(now, id) }
	r = r.withRoles(e.election.Roles(now, e.Settings.Self.ID, r.ranked, isSilent))
	e.region.Store(r)
	if !slices.Equal(old.Hubs, r.roles.Hubs) || len(old.Watchers) != len(r.roles.Watchers) {
		e.Log.Info("hubs changed", "Hubs", instanceIDs(r.roles.Hubs), "Watchers", instanceIDs(r.roles.Watchers))
	}
	return r
}

func instanceIDs(instances []hitchfleet.Instance) []hitchfleet.InstanceID {
	ids := make([]hitchfleet.InstanceID, len(instances))
	for n, i := range instances {
		ids[n] = i.ID
	}
	return ids
}
