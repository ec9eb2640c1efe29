package hitchrouter

import (
	"time"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
)

// View is a router's view of the fleet at one time. It is immutable.
type View struct {
	Index *hitchconfig.Index
	// LiveRouters are the routers that respond to probes, including this one.
	LiveRouters []hitchfleet.Instance
	// Endpoints are all endpoints on the platform's instance list.
	Endpoints []hitchfleet.Endpoint
	// ListedRouters is the number of routers of this router's region on the platform's
	// instance list.
	ListedRouters int
	// ValidUntil is the time after which the view is too old to grant slots.
	ValidUntil time.Time
	// IsConfigStale is set while the router's configuration may be out of date.
	IsConfigStale bool
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
	for _, i := range v.LiveRouters {
		if i.ID == id {
			return i, true
		}
	}
	return hitchfleet.Instance{}, false
}

// WithValidUntil returns a copy that is valid for granting slots until another time.
func (v View) WithValidUntil(until time.Time) *View {
	v.ValidUntil = until
	return &v
}

func (v *View) zonesOut() []hitchfleet.AvailabilityZone {
	if v.Index == nil {
		return nil
	}
	return v.Index.Configuration().ZonesOut
}
