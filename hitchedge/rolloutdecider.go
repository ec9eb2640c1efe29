package hitchedge

import (
	"cmp"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchfleet"
)

// decidingRegion returns the region whose primary hub decides about rollouts: the first one by
// name that has instances.
func decidingRegion(instances []hitchfleet.Instance) hitchfleet.Region {
	if len(instances) == 0 {
		return ""
	}
	return slices.MinFunc(instances, func(a, b hitchfleet.Instance) int { return cmp.Compare(a.Region, b.Region) }).Region
}

// decidesRollouts reports whether this instance is the one that decides about rollouts, and since
// when it gets the counts of all instances: the first one of the hubs, and of those that watch the
// store in their place, that can take steps.
func (e *Edge) decidesRollouts(now time.Time) (since time.Time, ok bool) {
	self := e.Settings.Self
	r := e.currentRegion()
	deciders := slices.Concat(r.roles.Hubs, r.roles.Watchers)
	own := slices.IndexFunc(deciders, func(i hitchfleet.Instance) bool { return i.ID == self.ID })
	since = e.rollouts.setHub(now, own >= 0 && decidingRegion(e.gateway.View().Instances()) == self.Region)
	if since.IsZero() {
		return since, false
	}
	silence := max(minHubSilence, hubSilenceIntervals*sendInterval(len(r.instances)))
	return since, !slices.ContainsFunc(deciders[:own], func(i hitchfleet.Instance) bool { return !e.rollouts.isHubUnable(now, i.ID, silence) })
}

// rolloutHubs returns the instances that get counts: the hubs of this region, and if another
// region decides, those that are hubs there unless two of them have failed.
func (e *Edge) rolloutHubs(r *region) []hitchfleet.Instance {
	instances := e.gateway.View().Instances()
	deciding := decidingRegion(instances)
	if deciding == e.Settings.Self.Region {
		return slices.Concat(r.roles.Hubs, r.roles.Watchers)
	}
	ranked := hitchdigest.Rank(hitchdigest.InRegion(instances, deciding))
	hubs := hitchdigest.Hubs(ranked)
	rest := slices.DeleteFunc(ranked, func(i hitchfleet.Instance) bool {
		return slices.ContainsFunc(hubs, func(h hitchfleet.Instance) bool { return h.ID == i.ID })
	})
	return slices.Concat(hubs, hitchdigest.Hubs(rest))
}
