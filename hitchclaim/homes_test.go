package hitchclaim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

func newFleet(regions, zones, perZone int) []hitchfleet.Instance {
	var all []hitchfleet.Instance
	for r := range regions {
		for z := range zones {
			for i := range perZone {
				all = append(all, hitchfleet.Instance{
					ID:     hitchfleet.InstanceID(fmt.Sprintf("router-%d-%d-%d", r, z, i)),
					Region: hitchfleet.Region(fmt.Sprintf("region-%d", r)),
					Zone:   hitchfleet.AvailabilityZone(fmt.Sprintf("zone-%d-%d", r, z)),
				})
			}
		}
	}
	return all
}

func TestHomes(t *testing.T) {
	tests := map[string]struct {
		live     []hitchfleet.Instance
		homes    int
		interval time.Duration
	}{
		"none":                         {nil, 0, 100 * time.Millisecond},
		"two routers":                  {newFleet(1, 2, 1), 2, 100 * time.Millisecond},
		"9 routers":                    {newFleet(1, 3, 3), 3, 100 * time.Millisecond},
		"387 routers, the design size": {newFleet(3, 3, 43), 36, 180 * time.Millisecond},
		"3870 routers, ten times the design size": {newFleet(3, 3, 430), 108, 540 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			homes := Homes(test.live)
			qt.Assert(t, homes, qt.HasLen, test.homes)
			qt.Assert(t, CommitInterval(len(homes)), qt.Equals, test.interval)
			perZone := make(map[hitchfleet.AvailabilityZone]int)
			for _, home := range homes {
				perZone[home.Zone]++
			}
			for zone, n := range perZone {
				qt.Assert(t, n <= test.homes/len(perZone)+1, qt.IsTrue, qt.Commentf("%s has %d", zone, n))
			}
		})
	}
}

func TestHomesExcludesLeavingRouters(t *testing.T) {
	live := newFleet(1, 3, 3)
	first := Homes(live)[0].ID
	for i := range live {
		live[i].Leaving = live[i].ID == first
	}
	for _, home := range Homes(live) {
		qt.Assert(t, home.ID, qt.Not(qt.Equals), first)
	}
	home, ok := PickHome(Homes(live), "region-0", 1)
	qt.Assert(t, ok && home.Region == "region-0", qt.IsTrue)
	_, ok = PickHome(nil, "region-0", 1)
	qt.Assert(t, ok, qt.IsFalse)
}
