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

// versionRouter returns a router with four engines, which hold these versions; an
// empty name is an engine that holds none.
func versionRouter(versions []hitchconfig.ModelVersion, held []string, cold ...hitchfleet.EndpointID) (*Router, hitchconfig.Route) {
	route := hitchconfig.Route{ID: "guide-llm", Kind: hitchconfig.EngineRoute, Versions: versions}
	rt := &Router{Self: hitchfleet.Instance{ID: "router-1", Region: "se-south"}}
	for i, version := range held {
		rt.models.learn([]EngineModels{{Endpoint: hitchfleet.EndpointID(fmt.Sprint(i)), Version: version}})
	}
	for _, id := range cold {
		rt.loads.learn([]hitchadmit.EndpointLoad{{Endpoint: id, Cold: true}})
	}
	rt.SetView(&View{
		Index: hitchconfig.Configuration{}.WithRevision(1).WithRoute(route).Index(),
		Live:  []hitchfleet.Instance{rt.Self}, Until: time.Now().Add(time.Hour),
		Endpoints: lo.Times(4, func(i int) hitchfleet.Endpoint {
			return hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprint(i)), Region: "se-south", Route: route.ID}
		}),
	})
	return rt, route
}

func TestVersionOfChats(t *testing.T) {
	one := []hitchconfig.ModelVersion{{Name: "v1", Weight: 1}}
	even := []hitchconfig.ModelVersion{{Name: "v1", Weight: 1}, {Name: "v2", Weight: 1}}
	tests := map[string]struct {
		versions []hitchconfig.ModelVersion
		held     []string
		cold     []hitchfleet.EndpointID
		failed   []hitchfleet.EndpointID
		full     []string
		// least and most are the chats of 1000 that v2 gets; v1 gets the others.
		least, most int
		none        bool // no version is named
	}{
		"by weight":                            {even, []string{"v1", "v1", "v2", "v2"}, nil, nil, nil, 400, 600, false},
		"nobody holds v2":                      {even, []string{"v1", "v1", "v1", ""}, nil, nil, nil, 0, 0, false},
		"the holder of v2 is in cold start":    {even, []string{"v1", "v1", "v1", "v2"}, []hitchfleet.EndpointID{"3"}, nil, nil, 10, 60, false},
		"an attempt failed at v2's holder":     {even, []string{"v1", "v1", "v1", "v2"}, nil, []hitchfleet.EndpointID{"3"}, nil, 0, 0, false},
		"v2's holder has no room":              {even, []string{"v1", "v1", "v1", "v2"}, nil, nil, []string{"v2"}, 0, 0, false},
		"engines that don't tell":              {one, nil, nil, nil, nil, 0, 0, false},
		"engines that don't tell, of versions": {even, nil, nil, nil, nil, 0, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rt, route := versionRouter(test.versions, test.held, test.cold...)
			p, count := rt.placement(), 0
			for n := range 1000 {
				j := Chat{Route: route, ID: fmt.Sprint(n)}.job()
				j.located, j.failed, j.full = true, test.failed, test.full
				found := rt.candidates(t.Context(), j, p)
				qt.Assert(t, len(found) > 0, qt.IsTrue)
				for _, id := range found {
					qt.Assert(t, p.isVersion(j, id), qt.IsTrue, qt.Commentf("chat %d: %s at %s", n, j.version, id))
				}
				header := j.withVersion(hitchforward.Call{}).Header.Get(VersionHeader)
				qt.Assert(t, header == "", qt.Equals, test.none)
				if header == "v2" {
					count++
				}
			}
			qt.Assert(t, count >= test.least && count <= test.most, qt.IsTrue, qt.Commentf("%d chats", count))
		})
	}
}

// A caller that has a part of an answer gets the rest from the same version.
func TestVersionStaysForAnAnswer(t *testing.T) {
	even := []hitchconfig.ModelVersion{{Name: "v1", Weight: 1}, {Name: "v2", Weight: 1}}
	rt, route := versionRouter(even, []string{"v1", "v1", "v1", "v2"})
	j := Chat{Route: route, ID: "1"}.job()
	j.located, j.version, j.isVersionFixed = true, "v2", true
	qt.Assert(t, rt.candidates(t.Context(), j, rt.placement()), qt.DeepEquals, []hitchfleet.EndpointID{"3"})
	j.version = "v3"
	qt.Assert(t, rt.candidates(t.Context(), j, rt.placement()), qt.HasLen, 0)
}

// What engines hold is shared when it changes, and the word of an engine's owner
// counts for more than that of another router.
func TestModelsAreShared(t *testing.T) {
	rt, _ := versionRouter([]hitchconfig.ModelVersion{{Name: "v1", Weight: 1}}, []string{"v1", "v1"})
	owned := func(hitchfleet.EndpointID) bool { return true }
	body, ok, err := rt.models.news(owned)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsTrue)
	_, ok, _ = rt.models.news(owned)
	qt.Assert(t, ok, qt.IsFalse)
	var other Router
	other.LearnModels("router-1", body)
	qt.Assert(t, other.models.snapshot(), qt.DeepEquals, rt.models.snapshot())
	stray, err := cbor.Marshal([]EngineModels{{Endpoint: "1", Version: "v9"}})
	qt.Assert(t, err, qt.IsNil)
	rt.LearnModels("router-2", stray)
	qt.Assert(t, rt.models.snapshot()["1"].Version, qt.Equals, "v1")
}
