package hitchrouter

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
)

// TopicModels spreads what the engines that a router owns hold. It is shared only
// when it changes.
var TopicModels = hitchpeer.Topic{Name: "Models", Regional: true}

// VersionHeader tells an engine which model version a chat wants.
const VersionHeader = "X-Model-Version"

// EngineModels is what an engine holds by its load report.
type EngineModels struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	// Version is the one that serves; empty if none does.
	Version  string
	Adapters []string
}

// modelTable holds what each engine holds. Engines that don't tell aren't in it.
// The zero value is empty.
type modelTable struct {
	mu     sync.Mutex
	models map[hitchfleet.EndpointID]EngineModels
	shared []byte // what was shared last
}

func (t *modelTable) learn(all []EngineModels) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.models == nil {
		t.models = make(map[hitchfleet.EndpointID]EngineModels)
	}
	for _, m := range all {
		t.models[m.Endpoint] = m
	}
}

func (t *modelTable) snapshot() map[hitchfleet.EndpointID]EngineModels {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.models)
}

// keep forgets the endpoints that are not listed.
func (t *modelTable) keep(listed map[hitchfleet.EndpointID]hitchfleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.models, func(id hitchfleet.EndpointID, _ EngineModels) bool {
		_, ok := listed[id]
		return !ok
	})
}

// news returns what the chosen engines hold, encoded, if it isn't what was shared
// last.
func (t *modelTable) news(isOwned func(hitchfleet.EndpointID) bool) (body []byte, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []EngineModels
	for id, m := range t.models {
		if isOwned(id) {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b EngineModels) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	if len(all) == 0 && t.shared == nil {
		return nil, false, nil
	}
	body, err = cbor.Marshal(all)
	if err != nil || bytes.Equal(body, t.shared) {
		return nil, false, err
	}
	t.shared = body
	return body, true, nil
}

// shareModels spreads what the engines that this router owns hold, if it has
// changed.
func (rt *Router) shareModels() {
	owners := rt.placement().owners
	body, ok, err := rt.models.news(func(id hitchfleet.EndpointID) bool { return owners[id].ID == rt.Self.ID })
	if err == nil && ok {
		err = rt.Peers.share(TopicModels, body)
	}
	if err != nil {
		rt.log().Warn("models not shared", "Error", err)
	}
}

// LearnModels takes what another router shared of the engines that it owns. Its
// word on an engine counts for less than that of the engine's owner.
func (rt *Router) LearnModels(from hitchfleet.InstanceID, body []byte) {
	var all []EngineModels
	if err := cbor.Unmarshal(body, &all); err != nil || from == rt.Self.ID {
		return
	}
	owners := rt.placement().owners
	known := rt.models.snapshot()
	rt.models.learn(slices.DeleteFunc(all, func(m EngineModels) bool {
		_, isKnown := known[m.Endpoint]
		return isKnown && owners[m.Endpoint].ID != from
	}))
}
