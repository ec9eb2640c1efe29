package hitchrouter

import (
	"net/http"
	"slices"

	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
	"citronhitch.example/citronhitch/hitchplace"
)

// modelsOf returns the models of an engine. An engine that doesn't report them is
// assumed to serve the version of its route, if the route has only one.
func modelsOf(index *hitchconfig.Index, e hitchfleet.Endpoint, models map[hitchfleet.EndpointID]EngineModels) EngineModels {
	if m, ok := models[e.ID]; ok {
		return m
	}
	route, _ := index.Route(e.Route)
	if len(route.Versions) != 1 {
		return EngineModels{}
	}
	return EngineModels{Version: route.Versions[0].Name, Adapters: route.Adapters}
}

// chooseCandidates chooses the model version of a request by the route's weights, and
// returns the endpoints of that version to request a slot at, best first. If no engine
// of a version can be used now, for example during a cold start, it chooses among the
// other versions.
func (rt *Router) chooseCandidates(req *proxyRequest, p *placement, pool *hitchplace.Pool, request hitchplace.Request) []hitchplace.Candidate {
	if req.isVersionFixed {
		request.Version = req.version
		return pool.Choose(nil, request, rt.now())
	}
	tried := slices.Clone(req.fullVersions)
	for {
		version, ok := req.route.VersionAmong(req.key, func(name string) bool {
			return !slices.Contains(tried, name) && p.hasEngineFor(req, name)
		})
		if !ok {
			break
		}
		req.version, request.Version = version, version
		if found := pool.Choose(nil, request, rt.now()); len(found) > 0 {
			return found
		}
		tried = append(tried, version)
	}
	if len(tried) > 0 {
		return nil
	}
	req.version, request.Version = "", ""
	return pool.Choose(nil, request, rt.now())
}

// hasEngineFor reports whether the route of a request has an engine that serves a
// version and at which no attempt has failed.
func (p *placement) hasEngineFor(req *proxyRequest, version string) bool {
	return slices.ContainsFunc(p.enginesByVersion[routeVersion{req.route.ID, version}], func(id hitchfleet.EndpointID) bool {
		return !req.hasFailed(id)
	})
}

// routeVersion identifies a model version of a route.
type routeVersion struct {
	route   hitchfleet.RouteID
	version string
}

// matchesVersion reports whether an endpoint serves the version that was chosen for a
// request, or no version was chosen.
func (p *placement) matchesVersion(req *proxyRequest, id hitchfleet.EndpointID) bool {
	return req.version == "" || p.versionByEndpoint[id] == req.version
}

// adapter returns the adapter that a request needs, or an empty string. All adapters
// of a route are loaded with every version, so it is enough to check for the first.
func (req *proxyRequest) adapter() string {
	if len(req.route.Adapters) == 0 {
		return ""
	}
	return req.route.Adapters[0]
}

// withVersion returns the call with VersionHeader set to the chosen model version, or
// unchanged if none was chosen.
func (req *proxyRequest) withVersion(call hitchforward.Call) hitchforward.Call {
	if req.version == "" {
		return call
	}
	call.Header = call.Header.Clone()
	if call.Header == nil {
		call.Header = make(http.Header)
	}
	call.Header.Set(VersionHeader, req.version)
	return call
}
