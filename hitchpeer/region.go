package hitchpeer

import (
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// A region is out of reach once this many of its routers, of different zones if
// it has several, have failed to answer one after the other. Nothing is spread
// about it: the claims about its routers stay, so that the return of a region
// floods nothing.
const (
	unreachableMisses  = 2
	regionRetrySpacing = 5 * time.Second
)

// regionWatch is what this router knows of its way to another region.
type regionWatch struct {
	// target is the router of the region that is probed from here.
	target hitchfleet.InstanceID
	// avoid is the zone of the router that failed last.
	avoid       hitchfleet.AvailabilityZone
	rotation    uint64
	misses      int
	unreachable bool
}

// judges tells whether this router may call another one dead. Regions judge
// their own routers, unless the router is alone in its region.
func (m *Members) judges(record Record) bool {
	if record.Region == m.Self.Region {
		return true
	}
	for _, mem := range m.table {
		if mem.Region == record.Region && mem.ID != record.ID && !mem.gone() {
			return false
		}
	}
	return true
}

// rebuildRegions chooses a router to probe in each other region.
func (m *Members) rebuildRegions(_ time.Time) {
	best := make(map[hitchfleet.Region]uint64)
	chosen := make(map[hitchfleet.Region]hitchfleet.InstanceID)
	for id, mem := range m.table {
		if mem.gone() || mem.Region == m.Self.Region {
			continue
		}
		key := m.Self.Instance().Key() + hitchfleet.Key(m.regions[mem.Region].rotation)
		score := hitchfleet.Score(key, hitchfleet.KeyOf(string(id))) >> 1
		if mem.Zone != m.regions[mem.Region].avoid {
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
		watch := m.regions[region]
		watch.target = id
		m.regions[region] = watch
	}
}

// regionMissed counts a router of another region that didn't answer, and turns
// to the next one.
func (m *Members) regionMissed(now time.Time, missed member) {
	region := missed.Region
	watch := m.regions[region]
	watch.avoid = missed.Zone
	watch.misses++
	watch.rotation++
	watch.unreachable = watch.unreachable || watch.misses >= unreachableMisses
	m.regions[region] = watch
	m.rebuild(now)
	next := now
	if watch.unreachable {
		next = now.Add(regionRetrySpacing)
	}
	m.probes[m.regions[region].target] = probe{nextAt: next}
}

// heard notes that a router of a region reached us.
func (m *Members) heard(from hitchfleet.InstanceID) {
	region := m.table[from].Region
	watch, ok := m.regions[region]
	if !ok || watch.misses == 0 {
		return
	}
	watch.misses = 0
	watch.unreachable = false
	m.regions[region] = watch
}
