package hitchconfig

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func engineRoute(id hitchfleet.RouteID, versions ...ModelVersion) Route {
	return Route{
		ID: id, Kind: EngineRoute, Versions: versions,
		TimeoutMilliseconds: 60_000, FirstByteMilliseconds: 1500, SilenceMilliseconds: 2000,
	}
}

func serviceRoute(id hitchfleet.RouteID, prefix string) Route {
	return Route{
		ID: id, Kind: ServiceRoute, TimeoutMilliseconds: 5000,
		Service: ServiceRules{
			PathPrefix: prefix, IdempotentMethods: []string{"GET", "HEAD"},
			Journal: JournalRequired, OutcomePath: prefix + "/outcomes/{key}",
		},
	}
}

func organisation(id string, routes ...hitchfleet.RouteID) Organisation {
	slices.Sort(routes)
	return Organisation{
		ID: hitchfleet.OrganisationID(id), Keys: []APIKey{{Hash: HashKey("key of " + id)}},
		ShareWeight: 1, PriorityCeiling: 5, Routes: routes,
	}
}

// smallConfiguration returns a configuration with an engine route, a service route, an
// organisation and an operator.
func smallConfiguration() Configuration {
	return Configuration{}.WithRevision(1).
		WithRoute(engineRoute("guide-llm", ModelVersion{"v1", 100})).
		WithRoute(serviceRoute("boxoffice-api", "/boxoffice")).
		WithOrganisation(organisation("aquarium-north", "guide-llm", "boxoffice-api")).
		WithOperator(Operator{Name: "maja", Keys: []APIKey{{Hash: HashKey("key of maja")}}}).
		WithEndpoint(EndpointRule{ID: "engine-1", ChecksFencing: true})
}

// largeConfiguration returns a configuration with 210 organisations, 6 models, 760
// endpoints, and 2 of 9 availability zones out of service.
func largeConfiguration() Configuration {
	c := Configuration{}.WithRevision(1)
	var routes []hitchfleet.RouteID
	for i := range 6 {
		r := engineRoute(hitchfleet.RouteID(fmt.Sprintf("model-%d", i)), ModelVersion{"v1", 95}, ModelVersion{"v2", 5})
		r.Adapters = []string{"adapter-1", "adapter-2", "adapter-3"}
		c, routes = c.WithRoute(r), append(routes, r.ID)
	}
	for i := range 210 {
		o := organisation(fmt.Sprintf("organisation-%03d", i), routes...)
		c = c.WithOrganisation(o.WithKeys(append(o.Keys, APIKey{HashKey(fmt.Sprint("old ", i)), start})))
	}
	for i := range 760 {
		c = c.WithEndpoint(EndpointRule{ID: hitchfleet.EndpointID(fmt.Sprintf("engine-%03d", i)), ChecksFencing: true})
	}
	return c.WithZoneOut("zone-1").WithZoneOut("zone-8")
}

func TestCheckReportsPath(t *testing.T) {
	tests := map[string]struct {
		change func(c Configuration) Configuration
		path   string
	}{
		"format":    {func(c Configuration) Configuration { c.Format = 2; return c }, "Format"},
		"no weight": {func(c Configuration) Configuration { return c.WithRoute(engineRoute("x", ModelVersion{"v1", 0})) }, "Routes[x].Versions"},
		"negative weight": {func(c Configuration) Configuration {
			return c.WithRoute(engineRoute("x", ModelVersion{"v1", -1}, ModelVersion{"v2", 3}))
		}, "Routes[x].Versions[v1].Weight"},
		"unsorted versions": {func(c Configuration) Configuration {
			return c.WithRoute(engineRoute("x", ModelVersion{"v2", 1}, ModelVersion{"v1", 1}))
		}, "Routes[x].Versions[v1]"},
		"duplicate prefix": {func(c Configuration) Configuration { return c.WithRoute(serviceRoute("x", "/boxoffice")) }, "Routes[x].Service.PathPrefix"},
		"prefix ends in /": {func(c Configuration) Configuration { return c.WithRoute(serviceRoute("x", "/x/")) }, "Routes[x].Service.PathPrefix"},
		"unknown route":    {func(c Configuration) Configuration { return c.WithoutRoute("guide-llm") }, "Organisations[aquarium-north].Routes"},
		"key with two owners": {func(c Configuration) Configuration {
			return c.WithOperator(Operator{Name: "z", Keys: []APIKey{{Hash: HashKey("key of maja")}}})
		}, "Operators[z].Keys"},
		"name with space": {func(c Configuration) Configuration { return c.WithZoneOut("a b") }, "ZonesOut[a b]"},
		"limit":           {func(c Configuration) Configuration { return c.WithLimits(Limits{LoadBoundPercent: 100}) }, "Limits.LoadBoundPercent"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := test.change(smallConfiguration()).Check()
			var check *CheckError
			qt.Assert(t, errors.As(err, &check), qt.IsTrue)
			qt.Assert(t, check.Violations[0].Path, qt.Equals, test.path, qt.Commentf("%v", err))
		})
	}
}

func TestDecodeIsStrict(t *testing.T) {
	data, err := smallConfiguration().Encode()
	qt.Assert(t, err, qt.IsNil)
	got, err := Decode(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, smallConfiguration())
	tests := map[string]string{
		"unknown field":  `{"Surprise":1,` + string(data[1:]),
		"repeated field": `{"Format":1,` + string(data[1:]),
		"missing field":  `{"Format":1}`,
		"two values":     string(data) + "{}",
		"truncated":      string(data[:len(data)-1]),
		"empty":          "",
	}
	for name, input := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(input))
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, _ := smallConfiguration().Encode()
	f.Add(data)
	f.Add([]byte(`{"Format":1,"Revision":1,"Routes":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		again, err := c.Encode()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(again), qt.Equals, string(data))
	})
}

func TestWithReturnsCopies(t *testing.T) {
	before := smallConfiguration()
	_ = before.WithRoute(engineRoute("guide-llm", ModelVersion{"v9", 1})).WithoutRoute("boxoffice-api").
		WithZoneOut("z").WithoutOrganisation("aquarium-north").WithEndpoint(EndpointRule{ID: "engine-1"})
	qt.Assert(t, before, qt.DeepEquals, smallConfiguration())
}

func TestIndex(t *testing.T) {
	retired := organisation("retired", "guide-llm").WithKeys([]APIKey{{HashKey("old"), start}, {Hash: HashKey("new")}})
	x := smallConfiguration().WithRoute(serviceRoute("refunds", "/boxoffice/refunds")).WithOrganisation(retired).WithZoneOut("se-south-b").Index()
	paths := map[string]struct {
		path string
		want hitchfleet.RouteID
	}{
		"prefix itself":   {"/boxoffice", "boxoffice-api"},
		"below":           {"/boxoffice/slots", "boxoffice-api"},
		"longest wins":    {"/boxoffice/refunds/1", "refunds"},
		"whole segments":  {"/boxofficer", ""},
		"whole segments2": {"/boxoffice/refundsx", "boxoffice-api"},
		"none":            {"/", ""},
	}
	for name, test := range paths {
		t.Run(name, func(t *testing.T) {
			r, _ := x.RouteForPath(test.path)
			qt.Assert(t, r.ID, qt.Equals, test.want)
		})
	}
	keys := map[string]struct {
		key  string
		now  time.Time
		want hitchfleet.OrganisationID
	}{
		"known":           {"key of aquarium-north", start, "aquarium-north"},
		"operator's":      {"key of maja", start, ""},
		"old, in time":    {"old", start.Add(-time.Second), "retired"},
		"old, at its end": {"old", start, ""},
		"new":             {"new", start, "retired"},
		"empty":           {"", start, ""},
	}
	for name, test := range keys {
		t.Run(name, func(t *testing.T) {
			o, _ := x.OrganisationByKey(test.key, test.now)
			qt.Assert(t, o.ID, qt.Equals, test.want)
		})
	}
	qt.Assert(t, x.IsZoneOut("se-south-b"), qt.IsTrue)
	qt.Assert(t, x.InService(hitchfleet.Endpoint{ID: "e", Zone: "se-south-b"}), qt.IsFalse)
	qt.Assert(t, (&Index{}).IsZoneOut("se-south-b"), qt.IsFalse)
	qt.Assert(t, (&Index{}).Limits().LoadBoundPercent, qt.Equals, 200)
}

func TestVersionForFollowsWeights(t *testing.T) {
	const chats = 20_000
	before := engineRoute("m", ModelVersion{"v1", 95}, ModelVersion{"v2", 5})
	after := before.WithVersion(ModelVersion{"v2", 20})
	canary, moved := 0, 0
	for i := range chats {
		key := hitchfleet.KeyOf(fmt.Sprint("chat ", i))
		was, _ := before.VersionFor(key)
		is, _ := after.VersionFor(key)
		if was == "v2" {
			canary++
			qt.Assert(t, is, qt.Equals, "v2")
			still, _ := after.VersionAmong(key, func(v string) bool { return v == "v1" })
			qt.Assert(t, still, qt.Equals, "v1")
		}
		if was != is {
			moved++
		}
	}
	qt.Assert(t, canary > chats*4/100 && canary < chats*6/100, qt.IsTrue, qt.Commentf("%d", canary))
	qt.Assert(t, moved < chats*15/100, qt.IsTrue, qt.Commentf("%d", moved))
}

func TestLargeConfigurationFits(t *testing.T) {
	data, err := largeConfiguration().Encode()
	qt.Assert(t, err, qt.IsNil)
	t.Logf("210 organisations, 6 models, 760 endpoints: %d bytes", len(data))
	qt.Assert(t, len(data) < MaxBytes, qt.IsTrue)
}
