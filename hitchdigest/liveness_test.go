package hitchdigest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

func TestHubDetectsSilentInstances(t *testing.T) {
	all := fleet(5, 1, 0)
	tests := map[string]struct {
		reporting []int // indexes of the instances that report every 200 ms
		elapsed   time.Duration
		want      []hitchfleet.InstanceID
	}{
		"all instances report":                           {[]int{0, 1, 2, 3, 4}, 3 * time.Second, nil},
		"one instance hangs":                             {[]int{0, 1, 2, 4}, 1200 * time.Millisecond, []hitchfleet.InstanceID{"router-3"}},
		"one instance is silent for exactly the timeout": {[]int{0, 1, 2, 4}, 1000 * time.Millisecond, nil},
		"hub is cut off from most instances":             {[]int{0, 1}, 3 * time.Second, nil},
		"two of five instances lose power together":      {[]int{0, 1, 2}, 3 * time.Second, []hitchfleet.InstanceID{"router-3", "router-4"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var tracker ReportTracker
			// An instance that never reported is not silent, because this hub may
			// have just started.
			qt.Assert(t, tracker.SilentInstances(start, all), qt.HasLen, 0)
			for d := time.Duration(0); d <= test.elapsed; d += 200 * time.Millisecond {
				for _, i := range test.reporting {
					tracker.RecordReport(start.Add(d), all[i].ID)
				}
			}
			qt.Assert(t, tracker.SilentInstances(start.Add(test.elapsed), all), qt.DeepEquals, test.want)
		})
	}
}

func TestInstanceIsSilentIfAllHubsReportIt(t *testing.T) {
	const id = "router-3"
	silent := []hitchfleet.InstanceID{id}
	tests := map[string]struct {
		statuses []HubStatus
		elapsed  time.Duration
		want     bool
	}{
		"no hub status":                      {nil, 0, false},
		"the only hub lists it":              {[]HubStatus{{From: "h1", SilentInstances: silent}}, 0, true},
		"both hubs list it":                  {[]HubStatus{{From: "h1", SilentInstances: silent}, {From: "h2", SilentInstances: silent}}, 0, true},
		"one of two hubs lists it":           {[]HubStatus{{From: "h1", SilentInstances: silent}, {From: "h2"}}, 0, false},
		"hub no longer lists it":             {[]HubStatus{{From: "h1", SilentInstances: silent}, {From: "h1"}}, 0, false},
		"hub status has expired":             {[]HubStatus{{From: "h1", SilentInstances: silent}}, silenceListTTL, false},
		"hub lists another instance":         {[]HubStatus{{From: "h1", SilentInstances: []hitchfleet.InstanceID{"router-4"}}}, 0, false},
		"statuses of both hubs have expired": {[]HubStatus{{From: "h2"}, {From: "h1", SilentInstances: silent}}, silenceListTTL, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l Liveness
			for _, status := range test.statuses {
				l.RecordHubStatus(start, status)
			}
			qt.Assert(t, l.IsSilent(start.Add(test.elapsed), id), qt.Equals, test.want)
		})
	}
}
