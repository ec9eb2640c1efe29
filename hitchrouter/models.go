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

// TopicModels is the topic on which a router shares the model versions and adapters
// that are loaded in the engines it owns. It shares them only when they change.
var TopicModels = hitchpeer.Topic{Name: "Models", Regional: true}

// VersionHeader is the request header that names the model version for an engine to
// use.
const VersionHeader = "X-Model-Version"

// EngineModels is the model version and the adapters loaded in an engine, by the
// engine's load report.
type EngineModels struct {
	_        struct{} `cbor:",toarray"`
	Endpoint hitchfleet.EndpointID
	// Version is the version that is ready to serve; empty if none is.
	Version  string
	Adapters []string
}

// modelTable holds the models of each engine. Engines that don't report their models
// aren't in it. The zero value is empty.
type modelTable struct {
	mu     sync.Mutex
	models map[hitchfleet.EndpointID]EngineModels
	// lastShared is the encoded value that this router shared last.
	lastShared []byte
}

func (t *modelTable) apply(models []EngineModels) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.models == nil {
		t.models = make(map[hitchfleet.EndpointID]EngineModels)
	}
	for _, m := range models {
		t.models[m.Endpoint] = m
	}
}

func (t *modelTable) snapshot() map[hitchfleet.EndpointID]EngineModels {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.models)
}

// removeUnlisted removes the endpoints that are not in listed.
func (t *modelTable) removeUnlisted(listed map[hitchfleet.EndpointID]hitchfleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.models, func(id hitchfleet.EndpointID, _ EngineModels) bool {
		_, ok := listed[id]
		return !ok
	})
}

// encodeIfChanged encodes the models of the owned engines and stores the result as
// shared. It returns false if they are the same as those shared last.
func (t *modelTable) encodeIfChanged(isOwned func(hitchfleet.EndpointID) bool) (body []byte, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var models []EngineModels
	for id, m := range t.models {
		if isOwned(id) {
			models = append(models, m)
		}
	}
	slices.SortFunc(models, func(a, b EngineModels) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	if len(models) == 0 && t.lastShared == nil {
		return nil, false, nil
	}
	body, err = cbor.Marshal(models)
	if err != nil || bytes.Equal(body, t.lastShared) {
		return nil, false, err
	}
	t.lastShared = body
	return body, true, nil
}

// shareModels shares the models of the engines that this router owns, if they have
// changed.
func (rt *Router) shareModels() {
	owners := rt.placement().owners
	body, ok, err := rt.models.encodeIfChanged(func(id hitchfleet.EndpointID) bool { return owners[id].ID == rt.Self.ID })
	if err == nil && ok {
		err = rt.Peers.share(TopicModels, body)
	}
	if err != nil {
		rt.log().Warn("engine models could not be shared", "Error", err)
	}
}

// ApplyModels applies engine models shared by another router. If that router isn't
// the owner of an engine, its value is used only while no other one is known.
func (rt *Router) ApplyModels(from hitchfleet.InstanceID, body []byte) {
	var models []EngineModels
	if err := cbor.Unmarshal(body, &models); err != nil || from == rt.Self.ID {
		return
	}
	owners := rt.placement().owners
	snapshot := rt.models.snapshot()
	rt.models.apply(slices.DeleteFunc(models, func(m EngineModels) bool {
		_, isKnown := snapshot[m.Endpoint]
		return isKnown && owners[m.Endpoint].ID != from
	}))
}
