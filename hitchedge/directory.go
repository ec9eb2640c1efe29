package hitchedge

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// directoryTTLSeconds is how long callers may cache a directory response. It limits
// how long they use an instance that has left.
const directoryTTLSeconds = 2.0

// directoryAddrs returns the addresses of the instances for a caller and how many
// seconds to cache them. Instances in the caller's zone come first; silent instances,
// and those that are cut off from endpoints, are omitted. If there are more than MaxAddresses, each response contains a random
// selection, so that callers spread evenly.
func (e *Edge) directoryAddrs(_ hitchfleet.Region, zone hitchfleet.AvailabilityZone) ([]string, float64) {
	if e.gateway.View().Table == nil {
		return nil, 0
	}
	instances := e.gateway.View().Instances()
	self := e.Settings.Self
	now := time.Now()
	instances = slices.DeleteFunc(instances, func(i hitchfleet.Instance) bool {
		return i.ID == self.ID || e.liveness.IsSilent(now, i.ID)
	})
	if e.gateway.IsReady() {
		instances = append(instances, self)
	}
	instances = e.withoutCutOff(now, instances)
	if len(instances) > hitchplatform.MaxAddresses {
		rand.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
		instances = instances[:hitchplatform.MaxAddresses]
	}
	slices.SortFunc(instances, func(a, b hitchfleet.Instance) int {
		if inA, inB := a.Zone == zone, b.Zone == zone; inA != inB {
			if inA {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	addrs := make([]string, len(instances))
	for n, i := range instances {
		addrs[n] = i.Addr
	}
	ttl := directoryTTLSeconds
	if maxTTL := e.Settings.Bounds.DirectoryTTLSeconds; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return addrs, ttl
}
