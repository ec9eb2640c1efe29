package hitchdigest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestUnlistedInstances covers planned stops of all instances in turn: each removes its
// entry and then has requests in flight for seconds.
func TestUnlistedInstances(t *testing.T) {
	tests := map[string]struct {
		listed  []hitchfleet.Instance
		elapsed time.Duration
		want    []hitchfleet.Instance
	}{
		"stopping instance":  {fleet(3, 1, 0), 0, []hitchfleet.Instance{{ID: "stopping", DatagramAddr: "10.0.0.9:81"}}},
		"stopped instance":   {fleet(3, 1, 0), reportTTL, nil},
		"listed once again":  {[]hitchfleet.Instance{{ID: "stopping", DatagramAddr: "10.0.0.9:81"}}, 0, nil},
		"nothing was listed": {nil, 0, []hitchfleet.Instance{{ID: "stopping", DatagramAddr: "10.0.0.9:81"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var u Unlisted
			u.RecordReport(start, "stopping", "10.0.0.9:81")
			qt.Assert(t, u.Instances(start.Add(test.elapsed), test.listed), qt.DeepEquals, test.want)
		})
	}
}
