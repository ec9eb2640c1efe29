package hitchbalance

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// versions returns a fleet with one engine of each version.
func versions(list ...string) Fleet {
	f := fleet(1, len(list))
	for i, version := range list {
		f.Endpoints[i].Version = version
	}
	return f
}

func TestPickKeepsTheVersion(t *testing.T) {
	tests := map[string]struct {
		versions []string
		only     VersionConstraint
		tried    []hitchfleet.EndpointID
		want     hitchfleet.EndpointID
		refusal  Refusal
	}{
		"one endpoint of the version":        {[]string{"v1", "v2", "v1.1"}, OnlyVersion("v2"), nil, "engine-1", NotRefused},
		"the empty version is one":           {[]string{"v1", "", "v1"}, OnlyVersion(""), nil, "engine-1", NotRefused},
		"other versions only":                {[]string{"v1", "v1"}, OnlyVersion("v2"), nil, "", OtherVersions},
		"no endpoint at all":                 {nil, OnlyVersion("v2"), nil, "", NoEndpoint},
		"all of the version tried":           {[]string{"v1", "v2"}, OnlyVersion("v2"), []hitchfleet.EndpointID{"engine-1"}, "", AllTried},
		"no version":                         {[]string{"v1", ""}, NoVersion(), nil, "", OtherVersions},
		"any version":                        {[]string{"v1"}, VersionConstraint{}, nil, "engine-0", NotRefused},
		"any version, all of them tried":     {[]string{"v1"}, VersionConstraint{}, []hitchfleet.EndpointID{"engine-0"}, "", AllTried},
		"next one of the version":            {[]string{"v1", "v2", "v1"}, OnlyVersion("v1"), []hitchfleet.EndpointID{"engine-0"}, "engine-2", NotRefused},
		"other version isn't in its place":   {[]string{"v1", "v2", "v2"}, OnlyVersion("v1"), []hitchfleet.EndpointID{"engine-0"}, "", AllTried},
		"version text is compared as it is":  {[]string{"v1 ", "V1"}, OnlyVersion("v1"), nil, "", OtherVersions},
		"part of a version isn't the same":   {[]string{"v1.1"}, OnlyVersion("v1"), nil, "", OtherVersions},
		"last of many endpoints is the only": {[]string{"v2", "v2", "v2", "v2", "v1"}, OnlyVersion("v1"), nil, "engine-4", NotRefused},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, p := range []Prompt{{}, prompt(7)} {
				b := balancers(versions(test.versions...))[0]
				got, refusal := b.Pick(start, Request{Service: "llm", Prompt: p, IsRetrySafe: true, Version: test.only, Tried: test.tried})
				qt.Assert(t, refusal, qt.Equals, test.refusal)
				qt.Assert(t, got.Endpoint.ID, qt.Equals, test.want)
			}
		})
	}
}

// TestMeanCoversAllVersions checks that a request for one version is held to the load bound
// of the whole service.
func TestMeanCoversAllVersions(t *testing.T) {
	b := balancers(versions("v1", "v2", "v2", "v2"))[0]
	for range 8 {
		_, refusal := b.Pick(start, Request{Service: "llm", Version: OnlyVersion("v1")})
		qt.Assert(t, refusal, qt.Equals, NotRefused)
	}
	for _, only := range []VersionConstraint{{}, OnlyVersion("v1"), OnlyVersion("v2")} {
		got, _ := b.Pick(start, Request{Service: "llm", Version: only})
		qt.Assert(t, got.MeanLoad, qt.Equals, 2.0)
		b.Finish(start, got, ResultOK)
	}
}

// TestEndpointOfNewVersionIsAnother covers an endpoint whose entry changes its version.
func TestEndpointOfNewVersionIsAnother(t *testing.T) {
	b := balancers(versions("v1"))[0]
	old := pick(t, b, start, Prompt{})
	b.SetFleet(at(10), versions("v2"))
	qt.Assert(t, pick(t, b, at(20), Prompt{}).Load, qt.Equals, 0.0)
	b.Finish(at(30), old, ResultConnectionLost) // says nothing about the new one
	qt.Assert(t, pick(t, b, at(40), Prompt{}).Tier, qt.Equals, TierHealthy)
}
