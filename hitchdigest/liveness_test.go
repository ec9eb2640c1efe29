package hitchdigest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

func TestAHubKnowsWhoIsSilent(t *testing.T) {
	all := fleet(5, 1, 0)
	tests := map[string]struct {
		heard []int // instances that report every 200 ms
		after time.Duration
		want  []hitchfleet.InstanceID
	}{
		"all report":                      {[]int{0, 1, 2, 3, 4}, 3 * time.Second, nil},
		"one froze":                       {[]int{0, 1, 2, 4}, 1200 * time.Millisecond, []hitchfleet.InstanceID{"router-3"}},
		"not for long yet":                {[]int{0, 1, 2, 4}, 1000 * time.Millisecond, nil},
		"the hub is cut off from most":    {[]int{0, 1}, 3 * time.Second, nil},
		"two of five lost power together": {[]int{0, 1, 2}, 3 * time.Second, []hitchfleet.InstanceID{"router-3", "router-4"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var h Hearing
			// Nobody is silent who was never heard, as this hub may be new.
			qt.Assert(t, h.Silent(start, all), qt.HasLen, 0)
			for d := time.Duration(0); d <= test.after; d += 200 * time.Millisecond {
				for _, i := range test.heard {
					h.Hear(start.Add(d), all[i].ID)
				}
			}
			qt.Assert(t, h.Silent(start.Add(test.after), all), qt.DeepEquals, test.want)
		})
	}
}

func TestAnInstanceIsSilentIfAllHubsSaySo(t *testing.T) {
	const id = "router-3"
	silent := []hitchfleet.InstanceID{id}
	tests := map[string]struct {
		heads []Head
		at    time.Duration
		want  bool
	}{
		"nobody says anything":         {nil, 0, false},
		"the only hub":                 {[]Head{{From: "h1", Silent: silent}}, 0, true},
		"both hubs":                    {[]Head{{From: "h1", Silent: silent}, {From: "h2", Silent: silent}}, 0, true},
		"one hub is cut off from it":   {[]Head{{From: "h1", Silent: silent}, {From: "h2"}}, 0, false},
		"it is back":                   {[]Head{{From: "h1", Silent: silent}, {From: "h1"}}, 0, false},
		"the hubs haven't been heard":  {[]Head{{From: "h1", Silent: silent}}, wordLife, false},
		"another instance":             {[]Head{{From: "h1", Silent: []hitchfleet.InstanceID{"router-4"}}}, 0, false},
		"an old word of the other hub": {[]Head{{From: "h2"}, {From: "h1", Silent: silent}}, wordLife, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l Liveness
			for _, h := range test.heads {
				l.Learn(start, h)
			}
			qt.Assert(t, l.IsSilent(start.Add(test.at), id), qt.Equals, test.want)
		})
	}
}
