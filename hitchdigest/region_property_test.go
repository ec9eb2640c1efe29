package hitchdigest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"citronhitch.example/citronhitch/hitchfleet"
)

// TestRegionRecoversFromRandomFaults plays random series of faults: zones that can't
// reach each other, and instances that lose power and get it back. Once the network is
// whole again, all instances that are up agree on the hubs and on which ones are down.
func TestRegionRecoversFromRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(rt, "zones")
		r := newSimRegion(rapid.IntRange(zones, 30).Draw(rt, "instances"), zones)
		r.run(3 * time.Second)
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			r.applyFault(rt, zones)
			r.run(time.Duration(rapid.IntRange(1, 10).Draw(rt, "seconds")) * time.Second)
		}
		r.isCut = nil
		if !slices.ContainsFunc(r.instances, func(i *simInstance) bool { return !i.isDown }) {
			return
		}
		r.run(30 * time.Second)
		r.checkAgreement(rt)
	})
}

// applyFault applies a random fault.
func (r *simRegion) applyFault(rt *rapid.T, zones int) {
	zone := func(label string) hitchfleet.AvailabilityZone {
		return hitchfleet.AvailabilityZone(fmt.Sprintf("zone-%d", rapid.IntRange(0, zones-1).Draw(rt, label)))
	}
	switch rapid.SampledFrom([]string{"cut two zones", "cut off a zone", "whole network", "power off", "power on"}).Draw(rt, "fault") {
	case "cut two zones":
		r.isCut = cutBetween(zone("from"), zone("to"))
	case "cut off a zone":
		alone := zone("zone")
		r.isCut = func(from, to hitchfleet.AvailabilityZone) bool { return (from == alone) != (to == alone) }
	case "whole network":
		r.isCut = nil
	case "power off":
		percent := rapid.IntRange(1, 100).Draw(rt, "percent")
		r.down(func(*simInstance) bool { return rapid.IntRange(0, 99).Draw(rt, "die") < percent })
	case "power on":
		r.restartAll()
	}
}

// restartAll powers on the instances that are down, which have lost their state.
func (r *simRegion) restartAll() {
	for n, i := range r.instances {
		if i.isDown {
			r.instances[n] = &simInstance{Instance: i.Instance, heardAt: r.now}
		}
	}
}

// checkAgreement checks that all instances that are up agree on the hubs and on which
// instances are down.
func (r *simRegion) checkAgreement(rt *rapid.T) {
	up := slices.DeleteFunc(slices.Clone(r.ranked), func(i hitchfleet.Instance) bool { return r.byID(i.ID).isDown })
	for _, i := range r.instances {
		if i.isDown {
			continue
		}
		if want := Hubs(up); !slices.Equal(i.roles.Hubs, want) {
			rt.Fatalf("%s takes %v for hubs, not %v", i.ID, i.roles.Hubs, want)
		}
		for _, other := range r.instances {
			if i.liveness.IsSilent(r.now, other.ID) != other.isDown {
				rt.Fatalf("%s as seen by %s: silent is %v", other.ID, i.ID, !other.isDown)
			}
		}
	}
}
