package hitchrouter

import (
	"net/http"
	"slices"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchplace"
)

// versionOf returns what an engine holds. One that doesn't tell is taken to serve
// the version of its route if there is only one.
func versionOf(index *hitchconfig.Index, e hitchfleet.Endpoint, models map[hitchfleet.EndpointID]EngineModels) EngineModels {
	if m, ok := models[e.ID]; ok {
		return m
	}
	route, _ := index.Route(e.Route)
	if len(route.Versions) != 1 {
		return EngineModels{}
	}
	return EngineModels{Version: route.Versions[0].Name, Adapters: route.Adapters}
}

// choose picks the model version of a request by the route's weights and then the
// endpoints to ask for, best first. A version whose engines take no work now, as
// those in cold start, leaves its chats to the others.
func (rt *Router) choose(j *job, p *placement, pool *hitchplace.Pool, r hitchplace.Request) []hitchplace.Candidate {
	if j.isVersionFixed {
		r.Version = j.version
		return pool.Choose(nil, r, rt.now())
	}
	tried := slices.Clone(j.full)
	for {
		version, ok := j.route.VersionAmong(j.key, func(name string) bool {
			return !slices.Contains(tried, name) && p.holds(j, name)
		})
		if !ok {
			break
		}
		j.version, r.Version = version, version
		if found := pool.Choose(nil, r, rt.now()); len(found) > 0 {
			return found
		}
		tried = append(tried, version)
	}
	if len(tried) > 0 {
		return nil
	}
	j.version, r.Version = "", ""
	return pool.Choose(nil, r, rt.now())
}

// holds tells whether an engine of a request's route that no attempt failed at
// serves a version.
func (p *placement) holds(j *job, version string) bool {
	return slices.ContainsFunc(p.holders[routeVersion{j.route.ID, version}], func(id hitchfleet.EndpointID) bool {
		return !j.hasFailed(id)
	})
}

// routeVersion names a model version of a route.
type routeVersion struct {
	route   hitchfleet.RouteID
	version string
}

// isVersion tells whether an endpoint serves the version that was chosen for a
// request.
func (p *placement) isVersion(j *job, id hitchfleet.EndpointID) bool {
	return j.version == "" || p.versions[id] == j.version
}

// adapter returns the adapter that a request needs. Adapters are loaded next to
// every version of a route, and the first one stands for all.
func (j *job) adapter() string {
	if len(j.route.Adapters) == 0 {
		return ""
	}
	return j.route.Adapters[0]
}

// withVersion returns the call with the name of the model version that was chosen.
func (j *job) withVersion(call hitchforward.Call) hitchforward.Call {
	if j.version == "" {
		return call
	}
	call.Header = call.Header.Clone()
	if call.Header == nil {
		call.Header = make(http.Header)
	}
	call.Header.Set(VersionHeader, j.version)
	return call
}
