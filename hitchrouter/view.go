package hitchrouter

import (
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// View is what a router knows of the fleet at one time. It is immutable.
type View struct {
	Index *hitchconfig.Index
	// Live are the routers that answer probes, this one included.
	Live []hitchfleet.Instance
	// Endpoints are all endpoints on the platform's list.
	Endpoints []hitchfleet.Endpoint
	// Listed counts the routers of this router's region on the platform's list.
	Listed int
	// Until is when the view is too old to grant slots on.
	Until time.Time
	// Stale is set while the router can't know that its configuration is current.
	Stale bool
}

// Endpoint returns an endpoint by its ID.
func (v *View) Endpoint(id hitchfleet.EndpointID) (hitchfleet.Endpoint, bool) {
	for _, e := range v.Endpoints {
		if e.ID == id {
			return e, true
		}
	}
	return hitchfleet.Endpoint{}, false
}

// Instance returns a live router by its ID.
func (v *View) Instance(id hitchfleet.InstanceID) (hitchfleet.Instance, bool) {
	for _, i := range v.Live {
		if i.ID == id {
			return i, true
		}
	}
	return hitchfleet.Instance{}, false
}

// WithUntil returns a copy that is good to grant on until another time.
func (v View) WithUntil(until time.Time) *View {
	v.Until = until
	return &v
}

func (v *View) zonesOut() []hitchfleet.AvailabilityZone {
	if v.Index == nil {
		return nil
	}
	return v.Index.Configuration().ZonesOut
}
