package hitchadmit

import (
	"sync/atomic"

	"citronhitch.example/citronhitch/hitchfleet"
)

// alternativeSamples is how many random endpoints are compared to find an
// alternative. Comparing a few random ones distributes the requests of many
// routers better than the endpoint with the least load, which all of them would
// choose (Mitzenmacher: The Power of Two Choices in Randomized Load Balancing,
// 2001).
const alternativeSamples = 4

// poolKey identifies a pool.
type poolKey struct {
	region hitchfleet.Region
	route  hitchfleet.RouteID
}

// pool is the endpoints of one route in one region, over which the mean load is
// taken. Its sums change by atomic additions, so that requests at several
// shards don't wait for each other.
type pool struct {
	// totalLoad is the known work of serving endpoints, in the units of
	// SlotRequest.Cost.
	totalLoad atomic.Int64
	// serving counts the available endpoints that aren't cold; available counts
	// all that neither leave nor are in a zone out of service.
	serving   atomic.Int64
	available atomic.Int64
	members   atomic.Pointer[[]member]
}

// member is an endpoint of a pool. Other shards may read only its published
// fields.
type member struct {
	id       hitchfleet.EndpointID
	endpoint *endpoint
}

// alternative returns an endpoint that can take the request, other than the
// requested one, or "".
func (p *pool) alternative(req *SlotRequest, factor float64, floor, capacity int64) hitchfleet.EndpointID {
	members := p.members.Load()
	if members == nil || len(*members) < 2 {
		return ""
	}
	bound := LoadBound(factor*SettledShare, int64(SettledShare*float64(floor)), p.totalLoad.Load(), req.Cost, p.serving.Load())
	limit := min(bound, capacity)
	var best hitchfleet.EndpointID
	var bestLoad int64
	for i := range alternativeSamples {
		index := hitchfleet.Score(hitchfleet.Key(req.ID), hitchfleet.Key(i)) % uint64(len(*members))
		m := &(*members)[index]
		load := m.endpoint.publishedLoad.Load()
		if !m.endpoint.publishedServing.Load() || m.id == req.Endpoint || load+req.Cost > limit {
			continue
		}
		if best == "" || load < bestLoad {
			best, bestLoad = m.id, load
		}
	}
	return best
}
