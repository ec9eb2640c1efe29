package hitchedge

import (
	"slices"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchview"
)

// region is what a view says of the instances of this one's region.
type region struct {
	instances []hitchfleet.Instance
	// hubs are some of them, the first one first.
	hubs []hitchfleet.Instance
}

// regionOf returns the region of an instance in a view.
func regionOf(self hitchfleet.Instance, v hitchview.View) *region {
	instances := hitchdigest.InRegion(v.Instances(), self.Region)
	return &region{instances: instances, hubs: hitchdigest.Hubs(instances)}
}

// hasHub tells whether an instance is a hub.
func (r *region) hasHub(id hitchfleet.InstanceID) bool {
	return slices.ContainsFunc(r.hubs, func(i hitchfleet.Instance) bool { return i.ID == id })
}

// isFirstHub tells whether an instance is the hub that relays news.
func (r *region) isFirstHub(id hitchfleet.InstanceID) bool {
	return len(r.hubs) > 0 && r.hubs[0].ID == id
}

// neighbours returns the region of the present view.
func (e *Edge) neighbours() *region {
	if r := e.region.Load(); r != nil {
		return r
	}
	return &region{}
}
