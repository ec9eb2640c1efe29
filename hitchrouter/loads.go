package hitchrouter

import (
	"maps"
	"sync"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchfleet"
)

// loadTable holds the latest known load of each endpoint. The zero value is empty.
type loadTable struct {
	mu    sync.Mutex
	loads map[hitchfleet.EndpointID]hitchadmit.EndpointLoad
}

func (t *loadTable) apply(loads []hitchadmit.EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loads == nil {
		t.loads = make(map[hitchfleet.EndpointID]hitchadmit.EndpointLoad)
	}
	for _, load := range loads {
		t.loads[load.Endpoint] = load
	}
}

// removeUnlisted removes the endpoints that are not in listed.
func (t *loadTable) removeUnlisted(listed map[hitchfleet.EndpointID]hitchfleet.Endpoint) {
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

// shareLoads shares the loads of the endpoints that this router owns.
func (rt *Router) shareLoads() {
	digest := rt.Admission.Digest(rt.now())
	rt.loads.apply(digest.Loads)
	body, err := hitchadmit.Packet{Digest: &digest}.Encode()
	if err == nil {
		err = rt.Peers.share(TopicLoads, body)
	}
	if err != nil {
		rt.log().Warn("endpoint loads could not be shared", "Error", err)
	}
}

// ApplyLoads applies a load digest shared by another router. It ignores a digest that
// names a different router as its sender.
func (rt *Router) ApplyLoads(from hitchfleet.InstanceID, body []byte) {
	p, err := hitchadmit.DecodePacket(body)
	if err != nil || p.Digest == nil || p.Digest.From != from {
		return
	}
	rt.Admission.ApplyDigest(rt.now(), *p.Digest)
	rt.loads.apply(p.Digest.Loads)
}

// EndpointState is the state of an endpoint as this router knows it.
type EndpointState struct {
	Owner hitchfleet.InstanceID
	Load  int64
	Cold  bool
	// Version is the model version that an engine reports to serve, or "".
	Version string
	// Requests and Capacity are numbers of requests. EndpointStates leaves them 0, as
	// the digests don't contain them.
	Requests int64
	Capacity int64
}

// EndpointStates returns the state of each endpoint by the latest digests and model reports.
func (rt *Router) EndpointStates() map[hitchfleet.EndpointID]EndpointState {
	p := rt.placement()
	loads, models := rt.loads.snapshot(), rt.models.snapshot()
	states := make(map[hitchfleet.EndpointID]EndpointState, len(p.endpoints))
	for id := range p.endpoints {
		load := loads[id]
		states[id] = EndpointState{Owner: p.owners[id].ID, Load: load.Load, Cold: load.Cold, Version: models[id].Version}
	}
	return states
}
