package hitchadmit

import (
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// view is what the last Members say, in the form that decisions need.
type view struct {
	members Members
	limits  Limits
	asOf    time.Time
	// until is Members.Until by the clock of views, and over is set once it passed.
	until   time.Time
	over    bool
	settled bool
	// lapsed is set if the view before this one was too old to grant on.
	lapsed  bool
	weights map[hitchfleet.OrganisationID]float64
	owners  candidates
}

func newView(now time.Time, m Members, l Limits) *view {
	v := &view{
		members: m,
		limits:  l,
		asOf:    now,
		weights: make(map[hitchfleet.OrganisationID]float64, len(m.Weights)),
		owners:  newCandidates(m.Live),
	}
	v.settled = 2*v.liveInRegion() > m.Listed
	for _, w := range m.Weights {
		if w.Weight > 0 {
			v.weights[w.Organisation] = w.Weight
		}
	}
	return v
}

// isSame tells whether members and limits are those of the view, but for Until.
func (v *view) isSame(m *Members, l *Limits) bool {
	was := &v.members
	return was.Self == m.Self && was.Listed == m.Listed && v.limits == *l &&
		slices.Equal(was.Live, m.Live) && slices.Equal(was.Endpoints, m.Endpoints) &&
		slices.Equal(was.ZonesOut, m.ZonesOut) && slices.Equal(was.Weights, m.Weights)
}

func (v *view) liveInRegion() int {
	self := slices.IndexFunc(v.members.Live, func(i hitchfleet.Instance) bool { return i.ID == v.members.Self })
	if self < 0 {
		return 0
	}
	n := 0
	for i := range v.members.Live {
		if v.members.Live[i].Region == v.members.Live[self].Region {
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

// isCurrent tells whether the view may be granted on at a time by the caller's
// clock. A clock set back before the view was taken makes it stale as well.
func (v *view) isCurrent(now time.Time) bool {
	return v != nil && !v.over && !now.Before(v.asOf) && now.Before(v.members.Until)
}

// fresh is isCurrent with the time by the clock of views too.
func (v *view) fresh(now, steady time.Time) bool {
	return v.isCurrent(now) && steady.Before(v.until)
}

func (v *view) isOpen(e hitchfleet.Endpoint) bool {
	return !e.Leaving && !slices.Contains(v.members.ZonesOut, e.Zone)
}

// owns tells whether Self is an endpoint's owner in this view.
func (v *view) owns(e hitchfleet.Endpoint) bool {
	i := v.owners.first(e.ID, e.Region)
	return i >= 0 && v.members.Live[i].ID == v.members.Self
}

// Owner returns the router that decides on an endpoint: the first by rendezvous
// hashing of the live routers in the endpoint's region that don't leave; of all
// live routers, if the region has none.
func Owner(id hitchfleet.EndpointID, region hitchfleet.Region, live []hitchfleet.Instance) (owner hitchfleet.Instance, ok bool) {
	i := newCandidates(live).first(id, region)
	if i < 0 {
		return owner, false
	}
	return live[i], true
}

// candidates are the hashes of the routers that may own endpoints.
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

// first returns the index of an endpoint's owner, or -1.
func (c candidates) first(id hitchfleet.EndpointID, region hitchfleet.Region) int {
	key := hitchfleet.KeyOf(string(id))
	best, near := -1, false
	var bestScore uint64
	for i := range c {
		isNear := c[i].region == region
		if near && !isNear {
			continue
		}
		score := hitchfleet.Score(key, c[i].key)
		if best < 0 || (isNear && !near) || score > bestScore {
			best, bestScore = c[i].index, score
		}
		near = near || isNear
	}
	return best
}
