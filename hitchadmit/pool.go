package hitchadmit

import (
	"sync/atomic"

	"citronhitch.example/citronhitch/hitchfleet"
)

// alternativeSamples is how many endpoints are compared to name an alternative.
// Few random choices spread the asks of many routers better than the one least
// load that all of them see (Mitzenmacher: The Power of Two Choices in Randomized
// Load Balancing, 2001).
const alternativeSamples = 4

// poolKey names the endpoints that a mean is taken over.
type poolKey struct {
	region hitchfleet.Region
	route  hitchfleet.RouteID
}

// pool is the endpoints of one route in one region. Its sums change by atomic
// additions, so that asks at several shards don't wait for each other.
type pool struct {
	// total is the known work of serving endpoints, in the units of Ask.Cost.
	total atomic.Int64
	// serving counts the open endpoints that aren't cold; open counts all that are
	// neither leaving nor in a zone out.
	serving atomic.Int64
	open    atomic.Int64
	members atomic.Pointer[[]member]
}

// member is an endpoint of a pool with the fields that other shards may read.
type member struct {
	id       hitchfleet.EndpointID
	endpoint *endpoint
}

// alternative returns an endpoint with room for the ask other than the asked
// one, or "".
func (p *pool) alternative(a *Ask, factor float64, floor, capacity int64) hitchfleet.EndpointID {
	members := p.members.Load()
	if members == nil || len(*members) < 2 {
		return ""
	}
	bound := Bound(factor*SettledShare, int64(SettledShare*float64(floor)), p.total.Load(), a.Cost, p.serving.Load())
	limit := min(bound, capacity)
	var best hitchfleet.EndpointID
	var bestLoad int64
	for i := range alternativeSamples {
		pick := hitchfleet.Score(hitchfleet.Key(a.ID), hitchfleet.Key(i)) % uint64(len(*members))
		m := &(*members)[pick]
		load := m.endpoint.publishedLoad.Load()
		if !m.endpoint.publishedOpen.Load() || m.id == a.Endpoint || load+a.Cost > limit {
			continue
		}
		if best == "" || load < bestLoad {
			best, bestLoad = m.id, load
		}
	}
	return best
}
