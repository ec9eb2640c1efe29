package hitchedge

import (
	"slices"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// region holds the instances of this instance's region, as listed in a view.
type region struct {
	instances []hitchfleet.Instance
	// hubs are the instances that are hubs, the primary hub first.
	hubs []hitchfleet.Instance
}

// regionOf returns the region of an instance in a view.
func regionOf(self hitchfleet.Instance, view hitchview.View) *region {
	instances := hitchdigest.InRegion(view.Instances(), self.Region)
	return &region{instances: instances, hubs: hitchdigest.Hubs(instances)}
}

// isHub reports whether an instance is a hub of the region.
func (r *region) isHub(id hitchfleet.InstanceID) bool {
	return slices.ContainsFunc(r.hubs, func(i hitchfleet.Instance) bool { return i.ID == id })
}

// isPrimaryHub reports whether an instance is the hub that relays cache updates.
func (r *region) isPrimaryHub(id hitchfleet.InstanceID) bool {
	return len(r.hubs) > 0 && r.hubs[0].ID == id
}

// currentRegion returns the region in the current view, or an empty one before the
// first view.
func (e *Edge) currentRegion() *region {
	if r := e.region.Load(); r != nil {
		return r
	}
	return &region{}
}
