package hitchorigin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
)

// TestRestartsKeepKnowledge covers a fleet whose instances are restarted one after the
// other, faster than the horizon passes. Each new one starts with what another one knows.
func TestRestartsKeepKnowledge(t *testing.T) {
	tests := map[string]struct {
		// before are the versions of the endpoints before the restarts, and now during them.
		before, now []string
		want        Answer
	}{
		"one version":                    {[]string{"v1"}, []string{"v1"}, Answer{Knowledge: KnowsOnly, Version: "v1"}},
		"a release just before":          {[]string{"v1", "v2"}, []string{"v2"}, Answer{Knowledge: KnowsSeveral}},
		"two versions":                   {[]string{"v1"}, []string{"v1", "v2"}, Answer{Knowledge: KnowsSeveral}},
		"all endpoints gone for a while": {[]string{"v1"}, nil, Answer{Knowledge: KnowsOnly, Version: "v1"}},
	}
	table := hitchroute.NewTable(hitchroute.Config{Routes: []hitchroute.Route{{Name: "r", Splits: []hitchroute.Split{{Service: "s", Weight: 1}}}}})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			last := &Tracker{}
			last.SetFleet(now, endpointsOf(test.before), table)
			for range 8 {
				now = now.Add(time.Second)
				last.SetFleet(now, endpointsOf(test.now), table)
				next := &Tracker{}
				next.RecordGap(now)
				next.SetFleet(now, endpointsOf(test.now), table)
				qt.Assert(t, next.IsComplete(now), qt.IsFalse)
				_, ok := next.Recent(now)
				qt.Assert(t, ok, qt.IsFalse)
				recent, ok := last.Recent(now)
				qt.Assert(t, ok, qt.IsTrue)
				next.Inherit(now, recent)
				last = next
			}
			qt.Assert(t, last.Answer(now, 7, "r"), qt.Equals, test.want)
		})
	}
}

// endpointsOf returns an endpoint of the service s for each version.
func endpointsOf(versions []string) (out []hitchfleet.Endpoint) {
	for _, v := range versions {
		out = append(out, hitchfleet.Endpoint{ID: hitchfleet.EndpointID(v), Service: "s", Version: v})
	}
	return out
}
