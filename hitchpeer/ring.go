package hitchpeer

import (
	"slices"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// ringCount is the number of routers of its region that each router probes: its
// successor on each of several rings, which order the routers differently. The union
// of the rings is an expander graph with high probability (Suresh et al.: Stable and
// Consistent Membership at Scale with Rapid, 2018), so the number of hops that an
// update needs is logarithmic in the number of routers.
const ringCount = 4

var ringKeys = func() (keys [ringCount]hitchfleet.Key) {
	for i := range keys {
		keys[i] = hitchfleet.KeyOf("ring", strconv.Itoa(i))
	}
	return keys
}()

// successor returns the candidate that is next after self on a ring.
func successor(ring, self hitchfleet.Key, candidates []hitchfleet.InstanceID) hitchfleet.InstanceID {
	var next hitchfleet.InstanceID
	var nearest uint64
	own := hitchfleet.Score(ring, self)
	for _, id := range candidates {
		// Unsigned subtraction wraps around, as the ring does.
		distance := hitchfleet.Score(ring, hitchfleet.KeyOf(string(id))) - own
		if next == "" || distance < nearest {
			next, nearest = id, distance
		}
	}
	return next
}

// rebuildNeighbours recomputes the routers to probe and the neighbours to exchange
// updates with.
func (m *Members) rebuildNeighbours(now time.Time) {
	var sameRegion []hitchfleet.InstanceID
	for _, id := range sortedKeys(m.table) {
		if mem := m.table[id]; !mem.isGone() && mem.Region == m.Self.Region {
			sameRegion = append(sameRegion, id)
		}
	}
	m.ringTargets = m.ringTargets[:0]
	self := m.Self.Instance().Key()
	for _, ring := range ringKeys {
		id := successor(ring, self, sameRegion)
		if id != "" && !slices.Contains(m.ringTargets, id) {
			m.ringTargets = append(m.ringTargets, id)
		}
	}
	m.chooseRegionTargets(now)
	m.rebuildProbes(now)
	neighbours := sortedKeys(m.probes)
	for _, id := range sortedKeys(m.probers) {
		if mem, ok := m.table[id]; ok && mem.Status != Left && !slices.Contains(neighbours, id) {
			neighbours = append(neighbours, id)
		}
	}
	slices.Sort(neighbours)
	m.neighbours = neighbours
	m.outbox.setNeighbours(neighbours)
}

// rebuildProbes keeps running probes, deletes those of previous targets and starts new
// ones at random times within the interval.
func (m *Members) rebuildProbes(now time.Time) {
	wanted := make(map[hitchfleet.InstanceID]bool)
	for _, id := range m.ringTargets {
		wanted[id] = true
	}
	for _, state := range m.regions {
		if state.target != "" {
			wanted[state.target] = true
		}
	}
	for id := range m.probes {
		if !wanted[id] {
			delete(m.probes, id)
			m.setProbeFailing(id, false)
		}
	}
	for _, id := range sortedKeys(wanted) {
		if _, ok := m.probes[id]; !ok {
			m.probes[id] = probe{nextProbeAt: now.Add(m.jitter(nearTiming.interval))}
		}
	}
}

func (m *Members) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit)))
}
