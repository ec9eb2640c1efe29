package hitchorigin

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfleet"
)

// instances returns n instances, whose zones are given by zone.
func instances(n int, zone func(i int) int) (out []hitchfleet.Instance) {
	for i := range n {
		out = append(out, hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprint("n", i)), Zone: hitchfleet.AvailabilityZone(fmt.Sprint(zone(i)))})
	}
	return out
}

// TestAskedHomesHaveTheOrigin checks that the instance that a caller returns to asks at
// least two of the stream's homes, wherever the stream began and whichever of the others
// is gone by then.
func TestAskedHomesHaveTheOrigin(t *testing.T) {
	tests := map[string]struct {
		instances []hitchfleet.Instance
		homes     int
	}{
		"one instance":        {instances(1, func(int) int { return 0 }), 0},
		"two instances":       {instances(2, func(i int) int { return i }), 1},
		"three instances":     {instances(3, func(i int) int { return i }), 2},
		"four instances":      {instances(4, func(i int) int { return i % 2 }), 3},
		"all but one asked":   {instances(10, func(i int) int { return i % 3 }), 3},
		"one zone":            {instances(9, func(int) int { return 0 }), 3},
		"two zones":           {instances(9, func(i int) int { return i % 2 }), 3},
		"one outside":         {instances(40, func(i int) int { return i / 39 }), 3},
		"three zones of many": {instances(60, func(i int) int { return i % 3 }), 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for n := range 40 {
				stream := StreamKey(fmt.Sprint("stream", n))
				from := test.instances[n%len(test.instances)]
				homes := Homes(stream, test.instances, from.ID)
				qt.Assert(t, homes, qt.HasLen, test.homes)
				qt.Assert(t, slices.Contains(homes, from), qt.IsFalse)
				for _, self := range test.instances {
					if self == from || slices.Contains(homes, self) {
						continue
					}
					known := 0
					for _, asked := range AskedHomes(stream, test.instances, self.ID) {
						if slices.Contains(homes, asked) {
							known++
						}
					}
					qt.Assert(t, known >= 2, qt.IsTrue, qt.Commentf("%d", known))
				}
			}
		})
	}
}

// TestHomesAreInSeveralZones checks that no single zone has all homes of a stream.
func TestHomesAreInSeveralZones(t *testing.T) {
	all := instances(40, func(i int) int { return i / 38 }) // 38 in one zone, 2 in the other
	for n := range 200 {
		homes := Homes(StreamKey(fmt.Sprint(n)), all, "n0")
		qt.Assert(t, slices.ContainsFunc(homes, func(i hitchfleet.Instance) bool { return i.Zone != homes[0].Zone }), qt.IsTrue)
	}
}
