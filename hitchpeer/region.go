package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// A region is unreachable from this router once unreachableFailures of its routers in
// a row have failed to answer, in different zones if it has several. No updates are
// sent about that: the records of its routers don't change, so that a region that
// becomes reachable again causes no flood of updates.
const (
	unreachableFailures = 2
	regionRetryInterval = 5 * time.Second
)

// regionState is the reachability of another region from this router.
type regionState struct {
	// target is the router of the region that this router probes.
	target hitchfleet.InstanceID
	// avoidZone is the zone of the router that failed last. The next target is in
	// another zone if possible.
	avoidZone hitchfleet.AvailabilityZone
	// rotation is part of the hash that chooses the target. It increases with each
	// failure, so that another router is chosen.
	rotation    uint64
	failures    int
	unreachable bool
}

// mayDeclareDead reports whether this router may suspect another one and declare it
// dead. Only routers of the same region may, unless the other one is alone in its
// region.
func (m *Members) mayDeclareDead(record Record) bool {
	if record.Region == m.Self.Region {
		return true
	}
	for _, mem := range m.table {
		if mem.Region == record.Region && mem.ID != record.ID && !mem.isGone() {
			return false
		}
	}
	return true
}

// chooseRegionTargets chooses a router to probe in each other region, by rendezvous
// hashing.
func (m *Members) chooseRegionTargets(_ time.Time) {
	best := make(map[hitchfleet.Region]uint64)
	chosen := make(map[hitchfleet.Region]hitchfleet.InstanceID)
	for id, mem := range m.table {
		if mem.isGone() || mem.Region == m.Self.Region {
			continue
		}
		key := m.Self.Instance().Key() + hitchfleet.Key(m.regions[mem.Region].rotation)
		score := hitchfleet.Score(key, hitchfleet.KeyOf(string(id))) >> 1
		// The highest bit prefers routers outside avoidZone.
		if mem.Zone != m.regions[mem.Region].avoidZone {
			score += 1 << 63
		}
		if score >= best[mem.Region] {
			best[mem.Region], chosen[mem.Region] = score, id
		}
	}
	for region := range m.regions {
		if chosen[region] == "" {
			delete(m.regions, region)
		}
	}
	for region, id := range chosen {
		state := m.regions[region]
		state.target = id
		m.regions[region] = state
	}
}

// recordRegionFailure counts a router of another region that failed to answer, and
// chooses another target in that region.
func (m *Members) recordRegionFailure(now time.Time, failed member) {
	region := failed.Region
	state := m.regions[region]
	state.avoidZone = failed.Zone
	state.failures++
	state.rotation++
	state.unreachable = state.unreachable || state.failures >= unreachableFailures
	m.regions[region] = state
	m.rebuildNeighbours(now)
	next := now
	if state.unreachable {
		next = now.Add(regionRetryInterval)
	}
	m.probes[m.regions[region].target] = probe{nextProbeAt: next}
}

// markRegionReachable resets the failures of a region from which a router sent
// something.
func (m *Members) markRegionReachable(from hitchfleet.InstanceID) {
	region := m.table[from].Region
	state, ok := m.regions[region]
	if !ok || state.failures == 0 {
		return
	}
	state.failures = 0
	state.unreachable = false
	m.regions[region] = state
}
