package hitchpeer

import (
	"slices"
	"strconv"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// ringCount is how many routers of its region each router probes: its successor
// on each of several rings, in which the routers stand in different orders. Their
// union is an expander graph with high probability (Suresh et al.: Stable and
// Consistent Membership at Scale with Rapid, 2018), so news needs a number of
// hops that is logarithmic in the number of routers.
const ringCount = 4

var ringKeys = func() (keys [ringCount]hitchfleet.Key) {
	for i := range keys {
		keys[i] = hitchfleet.KeyOf("ring", strconv.Itoa(i))
	}
	return keys
}()

// successor returns the candidate that follows self on a ring.
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

// rebuild chooses anew whom to probe and with whom to exchange news.
func (m *Members) rebuild(now time.Time) {
	var near []hitchfleet.InstanceID
	for _, id := range sortedKeys(m.table) {
		if mem := m.table[id]; !mem.gone() && mem.Region == m.Self.Region {
			near = append(near, id)
		}
	}
	m.targets = m.targets[:0]
	self := m.Self.Instance().Key()
	for _, ring := range ringKeys {
		id := successor(ring, self, near)
		if id != "" && !slices.Contains(m.targets, id) {
			m.targets = append(m.targets, id)
		}
	}
	m.rebuildRegions(now)
	m.rebuildProbes(now)
	neighbours := sortedKeys(m.probes)
	for _, id := range sortedKeys(m.listeners) {
		if mem, ok := m.table[id]; ok && mem.Status != Left && !slices.Contains(neighbours, id) {
			neighbours = append(neighbours, id)
		}
	}
	slices.Sort(neighbours)
	m.neighbours = neighbours
	m.out.setNeighbours(neighbours)
}

// rebuildProbes keeps the probes that are under way and spreads the new ones
// over the interval.
func (m *Members) rebuildProbes(now time.Time) {
	wanted := make(map[hitchfleet.InstanceID]bool)
	for _, id := range m.targets {
		wanted[id] = true
	}
	for _, watch := range m.regions {
		if watch.target != "" {
			wanted[watch.target] = true
		}
	}
	for id := range m.probes {
		if !wanted[id] {
			delete(m.probes, id)
			m.setUnanswered(id, false)
		}
	}
	for _, id := range sortedKeys(wanted) {
		if _, ok := m.probes[id]; !ok {
			m.probes[id] = probe{nextAt: now.Add(m.jitter(nearTiming.interval))}
		}
	}
}

func (m *Members) jitter(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most)))
}
