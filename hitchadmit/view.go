package hitchadmit

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// view is the last FleetView, in the form that decisions need.
type view struct {
	fleet      FleetView
	limits     Limits
	receivedAt time.Time
	// validUntil is FleetView.ValidUntil by the view's clock. expired is set
	// once it has passed.
	validUntil time.Time
	expired    bool
	settled    bool
	// previousExpired is set if the view before this one had expired.
	previousExpired bool
	weights         map[hitchfleet.OrganisationID]float64
	candidates      candidates
}

func newView(now time.Time, fleet FleetView, l Limits) *view {
	v := &view{
		fleet:      fleet,
		limits:     l,
		receivedAt: now,
		weights:    make(map[hitchfleet.OrganisationID]float64, len(fleet.Weights)),
		candidates: newCandidates(fleet.LiveRouters),
	}
	v.settled = 2*v.liveInRegion() > fleet.ListedRouters
	for _, w := range fleet.Weights {
		if w.Weight > 0 {
			v.weights[w.Organisation] = w.Weight
		}
	}
	return v
}

// equals reports whether the fleet view and the limits are those of v, apart
// from ValidUntil.
func (v *view) equals(fleet *FleetView, l *Limits) bool {
	current := &v.fleet
	return current.Self == fleet.Self && current.ListedRouters == fleet.ListedRouters && v.limits == *l &&
		slices.Equal(current.LiveRouters, fleet.LiveRouters) && slices.Equal(current.Endpoints, fleet.Endpoints) &&
		slices.Equal(current.ZonesOut, fleet.ZonesOut) && slices.Equal(current.Weights, fleet.Weights)
}

func (v *view) liveInRegion() int {
	self := slices.IndexFunc(v.fleet.LiveRouters, func(i hitchfleet.Instance) bool { return i.ID == v.fleet.Self })
	if self < 0 {
		return 0
	}
	n := 0
	for i := range v.fleet.LiveRouters {
		if v.fleet.LiveRouters[i].Region == v.fleet.LiveRouters[self].Region {
			n++
		}
	}
	return n
}

func (v *view) weight(id hitchfleet.OrganisationID) float64 {
	if w, ok := v.weights[id]; ok {
		return w
	}
	return 1
}

// isCurrent reports whether the router may grant on the view at a time by the
// caller's clock. It is false as well if that clock was set back to a time
// before the view was received.
func (v *view) isCurrent(now time.Time) bool {
	return v != nil && !v.expired && !now.Before(v.receivedAt) && now.Before(v.fleet.ValidUntil)
}

// isFresh is like isCurrent, and checks the monotonic time of the view's clock
// too.
func (v *view) isFresh(now, monotonic time.Time) bool {
	return v.isCurrent(now) && monotonic.Before(v.validUntil)
}

func (v *view) isAvailable(e hitchfleet.Endpoint) bool {
	return !e.Leaving && !slices.Contains(v.fleet.ZonesOut, e.Zone)
}

// owns reports whether Self is an endpoint's owner in this view.
func (v *view) owns(e hitchfleet.Endpoint) bool {
	i := v.candidates.ownerIndex(e.ID, e.Region)
	return i >= 0 && v.fleet.LiveRouters[i].ID == v.fleet.Self
}

// Owner returns the router that decides on an endpoint: the first by rendezvous
// hashing among the live routers of the endpoint's region that aren't leaving,
// or among those of all regions if the region has none.
func Owner(id hitchfleet.EndpointID, region hitchfleet.Region, live []hitchfleet.Instance) (owner hitchfleet.Instance, ok bool) {
	i := newCandidates(live).ownerIndex(id, region)
	if i < 0 {
		return owner, false
	}
	return live[i], true
}

// candidates are the routers that may own endpoints, with their hashes.
type candidates []candidate

type candidate struct {
	key    hitchfleet.Key
	index  int
	region hitchfleet.Region
}

func newCandidates(live []hitchfleet.Instance) candidates {
	all := make(candidates, 0, len(live))
	for i := range live {
		if !live[i].Leaving {
			all = append(all, candidate{key: live[i].Key(), index: i, region: live[i].Region})
		}
	}
	return all
}

// ownerIndex returns the index of an endpoint's owner, or -1.
func (c candidates) ownerIndex(id hitchfleet.EndpointID, region hitchfleet.Region) int {
	key := hitchfleet.KeyOf(string(id))
	best, foundInRegion := -1, false
	var bestScore uint64
	for i := range c {
		inRegion := c[i].region == region
		if foundInRegion && !inRegion {
			continue
		}
		score := hitchfleet.Score(key, c[i].key)
		if best < 0 || (inRegion && !foundInRegion) || score > bestScore {
			best, bestScore = c[i].index, score
		}
		foundInRegion = foundInRegion || inRegion
	}
	return best
}
