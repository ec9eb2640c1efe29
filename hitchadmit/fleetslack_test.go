package hitchadmit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSlackIsSharedAmongAllSeenLately covers instances that list few others for a while.
func TestSlackIsSharedAmongAllSeenLately(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	type listed struct {
		at        time.Duration
		instances int
	}
	tests := map[string]struct {
		listed []listed
		at     time.Duration
		want   float64
	}{
		"nothing is listed":             {nil, 0, 80},
		"the fleet grows":               {[]listed{{0, 4}, {time.Second, 40}}, time.Second, 2},
		"leases have lapsed":            {[]listed{{0, 40}, {time.Second, 4}, {2 * time.Second, 5}}, 3 * time.Second, 2},
		"they are back":                 {[]listed{{0, 40}, {time.Second, 4}, {2 * time.Second, 40}}, 3 * time.Second, 2},
		"the fleet is smaller for long": {[]listed{{0, 40}, {time.Second, 4}}, time.Second + fleetSizeTTL, 20},
		"it shrinks in steps":           {[]listed{{0, 40}, {time.Second, 20}, {2 * time.Second, 4}}, time.Second + fleetSizeTTL, 4},
		"itself only":                   {[]listed{{0, 0}}, time.Second, 80},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := FleetSlack{Retries: 80}
			for _, l := range test.listed {
				s = s.WithInstances(start.Add(l.at), l.instances)
			}
			qt.Assert(t, s.Share(start.Add(test.at)), qt.Equals, test.want)
		})
	}
}

// TestInstanceThatHasJustStartedHasLittleSlack covers the first window after a start.
func TestInstanceThatHasJustStartedHasLittleSlack(t *testing.T) {
	start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	s := FleetSlack{Retries: 80, FullFrom: start.Add(RetryWindow)}.WithInstances(start, 40)
	qt.Assert(t, s.Share(start.Add(RetryWindow-time.Millisecond)), qt.Equals, startShare*2.0)
	qt.Assert(t, s.Share(start.Add(RetryWindow)), qt.Equals, 2.0)
}
