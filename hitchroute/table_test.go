package hitchroute

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func newTestTable() *Table {
	return NewTable(Config{
		Version: 7,
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/"},
			{Name: "guide", Host: "a.example", PathPrefix: "/guide/"},
			{Name: "guide-v2", Host: "a.example", PathPrefix: "/guide/v2/", IsPublic: true},
			{Name: "other", Host: "b.example", PathPrefix: "/guide/"},
		},
		Organisations: []Organisation{{ID: "schools", Keys: []string{"k1", "k2"}}},
		Services:      []Service{{ID: "engines", Slots: 8}},
	})
}

func TestRouteMatchesLongestPrefixOfHost(t *testing.T) {
	tests := map[string]struct {
		host, path string
		want       string
	}{
		"root":               {"a.example", "/x", "all"},
		"longer prefix":      {"a.example", "/guide/1", "guide"},
		"longest prefix":     {"a.example", "/guide/v2/1", "guide-v2"},
		"without a slash":    {"a.example", "/guide", "all"},
		"other host":         {"b.example", "/guide/1", "other"},
		"no matching prefix": {"b.example", "/x", ""},
		"unknown host":       {"c.example", "/guide/1", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := newTestTable().Route(test.host, test.path)
			qt.Assert(t, ok, qt.Equals, test.want != "")
			if ok {
				qt.Assert(t, r.Name, qt.Equals, test.want)
			}
		})
	}
}

func TestAPIKeysAndPublicRoutes(t *testing.T) {
	table := newTestTable()
	o, ok := table.Organisation("k2")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, string(o.ID), qt.Equals, "schools")
	_, ok = table.Organisation("")
	qt.Assert(t, ok, qt.IsFalse)
	public, _ := table.Route("a.example", "/guide/v2/1")
	qt.Assert(t, table.RequiresAPIKey(public), qt.IsFalse)
	private, _ := table.Route("a.example", "/x")
	qt.Assert(t, table.RequiresAPIKey(private), qt.IsTrue)
	qt.Assert(t, NewTable(Config{}).RequiresAPIKey(private), qt.IsFalse)
}

func TestServiceIsDrawnByWeight(t *testing.T) {
	r := Route{Splits: []Split{{"old", 90}, {"off", 0}, {"new", 10}}}
	tests := map[string]struct {
		draw float64
		want ServiceID
	}{
		"zero": {0, "old"}, "just below the boundary": {0.899, "old"}, "at the boundary": {0.9, "new"}, "just below one": {0.9999, "new"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := r.PickService(test.draw)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
	_, ok := (&Route{}).PickService(0.5)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestOnlyRepeatableKindsAreRetrySafe(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"zero value":       {Route{}, false},
		"non-idempotent":   {Route{Kind: NonIdempotent, IsResumable: true}, false},
		"idempotent":       {Route{Kind: Idempotent}, true},
		"stream":           {Route{Kind: Streaming}, false},
		"resumable stream": {Route{Kind: Streaming, IsResumable: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.route.IsRetrySafe(), qt.Equals, test.want) })
	}
}
