package hitchrouter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchadmit"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchforward"
)

// newVersionRouter returns a router with four engines of one route, which has the
// given model versions. reportedVersions are the versions that the engines report;
// an empty name is an engine with no version loaded.
func newVersionRouter(versions []hitchconfig.ModelVersion, reportedVersions []string, cold ...hitchfleet.EndpointID) (*Router, hitchconfig.Route) {
	route := hitchconfig.Route{ID: "guide-llm", Kind: hitchconfig.EngineRoute, Versions: versions}
	rt := &Router{Self: hitchfleet.Instance{ID: "router-1", Region: "se-south"}}
	for i, version := range reportedVersions {
		rt.models.apply([]EngineModels{{Endpoint: hitchfleet.EndpointID(fmt.Sprint(i)), Version: version}})
	}
	for _, id := range cold {
		rt.loads.apply([]hitchadmit.EndpointLoad{{Endpoint: id, Cold: true}})
	}
	rt.SetView(&View{
		Index:       hitchconfig.Configuration{}.WithRevision(1).WithRoute(route).Index(),
		LiveRouters: []hitchfleet.Instance{rt.Self}, ValidUntil: time.Now().Add(time.Hour),
		Endpoints: lo.Times(4, func(i int) hitchfleet.Endpoint {
			return hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprint(i)), Region: "se-south", Route: route.ID}
		}),
	})
	return rt, route
}

// Chats must be split between the model versions by weight, and a version must get no
// chats while its engines can't serve them.
func TestChatsSplitByVersionWeights(t *testing.T) {
	one := []hitchconfig.ModelVersion{{Name: "v1", Weight: 1}}
	even := []hitchconfig.ModelVersion{{Name: "v1", Weight: 1}, {Name: "v2", Weight: 1}}
	tests := map[string]struct {
		versions         []hitchconfig.ModelVersion
		reportedVersions []string
		cold             []hitchfleet.EndpointID
		failedEndpoints  []hitchfleet.EndpointID
		fullVersions     []string
		// minChats and maxChats bound how many of 1000 chats v2 gets; v1 gets the rest.
		minChats, maxChats int
		noVersion          bool // no version is chosen
	}{
		"by weight":                                {even, []string{"v1", "v1", "v2", "v2"}, nil, nil, nil, 400, 600, false},
		"no engine serves v2":                      {even, []string{"v1", "v1", "v1", ""}, nil, nil, nil, 0, 0, false},
		"the engine of v2 is in cold start":        {even, []string{"v1", "v1", "v1", "v2"}, []hitchfleet.EndpointID{"3"}, nil, nil, 10, 60, false},
		"an attempt failed at the engine of v2":    {even, []string{"v1", "v1", "v1", "v2"}, nil, []hitchfleet.EndpointID{"3"}, nil, 0, 0, false},
		"the engine of v2 has no free slot":        {even, []string{"v1", "v1", "v1", "v2"}, nil, nil, []string{"v2"}, 0, 0, false},
		"engines report no version":                {one, nil, nil, nil, nil, 0, 0, false},
		"engines report no version, route has two": {even, nil, nil, nil, nil, 0, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rt, route := newVersionRouter(test.versions, test.reportedVersions, test.cold...)
			p, count := rt.placement(), 0
			for n := range 1000 {
				req := ChatRequest{Route: route, ID: fmt.Sprint(n)}.proxyRequest()
				req.isLocated, req.failedEndpoints, req.fullVersions = true, test.failedEndpoints, test.fullVersions
				found := rt.candidates(t.Context(), req, p)
				qt.Assert(t, len(found) > 0, qt.IsTrue)
				for _, id := range found {
					qt.Assert(t, p.matchesVersion(req, id), qt.IsTrue, qt.Commentf("chat %d: %s at %s", n, req.version, id))
				}
				header := req.withVersion(hitchforward.Call{}).Header.Get(VersionHeader)
				qt.Assert(t, header == "", qt.Equals, test.noVersion)
				if header == "v2" {
					count++
				}
			}
			qt.Assert(t, count >= test.minChats && count <= test.maxChats, qt.IsTrue, qt.Commentf("%d chats", count))
		})
	}
}

// The rest of a response that the caller has received in part must come from the same
// model version.
func TestVersionFixedOnceResponseStarted(t *testing.T) {
	even := []hitchconfig.ModelVersion{{Name: "v1", Weight: 1}, {Name: "v2", Weight: 1}}
	rt, route := newVersionRouter(even, []string{"v1", "v1", "v1", "v2"})
	req := ChatRequest{Route: route, ID: "1"}.proxyRequest()
	req.isLocated, req.version, req.isVersionFixed = true, "v2", true
	qt.Assert(t, rt.candidates(t.Context(), req, rt.placement()), qt.DeepEquals, []hitchfleet.EndpointID{"3"})
	req.version = "v3"
	qt.Assert(t, rt.candidates(t.Context(), req, rt.placement()), qt.HasLen, 0)
}

// Engine models must be shared only when they change, and a value from another router
// must not replace that of the engine's owner.
func TestModelsSharedOnlyOnChange(t *testing.T) {
	rt, _ := newVersionRouter([]hitchconfig.ModelVersion{{Name: "v1", Weight: 1}}, []string{"v1", "v1"})
	owned := func(hitchfleet.EndpointID) bool { return true }
	body, ok, err := rt.models.encodeIfChanged(owned)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok, _ = rt.models.encodeIfChanged(owned)
	qt.Assert(t, ok, qt.IsFalse)
	var other Router
	other.ApplyModels("router-1", body)
	qt.Assert(t, other.models.snapshot(), qt.DeepEquals, rt.models.snapshot())
	foreign, err := cbor.Marshal([]EngineModels{{Endpoint: "1", Version: "v9"}})
	qt.Assert(t, err, qt.IsNil)
	rt.ApplyModels("router-2", foreign)
	qt.Assert(t, rt.models.snapshot()["1"].Version, qt.Equals, "v1")
}
