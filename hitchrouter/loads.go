package hitchrouter

import (
	"maps"
	"sync"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// loadTable holds the newest load of each endpoint. The zero value is empty.
type loadTable struct {
	mu    sync.Mutex
	loads map[hitchfleet.EndpointID]hitchadmit.EndpointLoad
}

func (t *loadTable) learn(loads []hitchadmit.EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loads == nil {
		t.loads = make(map[hitchfleet.EndpointID]hitchadmit.EndpointLoad)
	}
	for _, load := range loads {
		t.loads[load.Endpoint] = load
	}
}

// keep forgets the endpoints that are not listed.
func (t *loadTable) keep(listed map[hitchfleet.EndpointID]hitchfleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.loads, func(id hitchfleet.EndpointID, _ hitchadmit.EndpointLoad) bool {
		_, ok := listed[id]
		return !ok
	})
}

func (t *loadTable) snapshot() map[hitchfleet.EndpointID]hitchadmit.EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.loads)
}

// shareLoads spreads the loads of the endpoints that this router owns.
func (rt *Router) shareLoads() {
	digest := rt.Owners.Digest(rt.now())
	rt.loads.learn(digest.Loads)
	body, err := hitchadmit.Packet{Digest: &digest}.Encode()
	if err == nil {
		err = rt.Peers.share(TopicLoads, body)
	}
	if err != nil {
		rt.log().Warn("loads not shared", "Error", err)
	}
}

// LearnLoads takes the loads that another router shared.
func (rt *Router) LearnLoads(from hitchfleet.InstanceID, body []byte) {
	p, err := hitchadmit.DecodePacket(body)
	if err != nil || p.Digest == nil || p.Digest.From != from {
		return
	}
	rt.Owners.ApplyDigest(rt.now(), *p.Digest)
	rt.loads.learn(p.Digest.Loads)
}

// EndpointState is what the router knows of an endpoint.
type EndpointState struct {
	Owner hitchfleet.InstanceID
	Load  int64
	Cold  bool
	// Version is the model version that an engine says it serves, or "".
	Version string
	// Requests and Capacity count requests, if this router is the endpoint's owner.
	Requests int64
	Capacity int64
}

// Loads returns the state of each endpoint by the newest digests.
func (rt *Router) Loads() map[hitchfleet.EndpointID]EndpointState {
	p := rt.placement()
	loads, models := rt.loads.snapshot(), rt.models.snapshot()
	states := make(map[hitchfleet.EndpointID]EndpointState, len(p.endpoints))
	for id := range p.endpoints {
		load := loads[id]
		states[id] = EndpointState{Owner: p.owners[id].ID, Load: load.Load, Cold: load.Cold, Version: models[id].Version}
	}
	return states
}
