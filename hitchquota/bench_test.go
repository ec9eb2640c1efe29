package hitchquota

import (
	"fmt"
	"testing"

	"citronhitch.example/citronhitch/hitchfleet"
)

// BenchmarkOwners measures the search of an endpoint's owner in a fleet.
func BenchmarkOwners(b *testing.B) {
	var instances []hitchfleet.Instance
	for n := range 390 {
		instances = append(instances, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprintf("edge-se-south-a-%d", n))})
	}
	run := hitchfleet.RunID(0)
	b.ReportAllocs()
	for b.Loop() {
		run++
		Owners(run, instances, 2)
	}
}
