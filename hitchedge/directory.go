package hitchedge

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	hitchplatform "citronhitch.example/citronhitch/platform"
)

// answerSeconds is how long callers keep an answer. It bounds how long they use
// an instance that is gone.
const answerSeconds = 2.0

// instancesFor returns the addresses of the instances for a caller, those in its
// zone first, without those that are silent. Where there are more than callers take, each answer names others, so
// that all get as many callers.
func (e *Edge) instancesFor(_ hitchfleet.Region, zone hitchfleet.AvailabilityZone) ([]string, float64) {
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
	ttl := answerSeconds
	if most := e.Settings.Bounds.AnswerTTLSeconds; most > 0 {
		ttl = min(ttl, most)
	}
	return addrs, ttl
}
