package hitchedge

import (
	"fmt"
	"testing"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchroute"
	"citronhitch.example/citronhitch/hitchview"
)

// BenchmarkSnapshotBytes measures the snapshot that each instance pulls from a hub after
// the store came back from an older copy.
func BenchmarkSnapshotBytes(b *testing.B) {
	for _, n := range []int{30, 100, 390} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			update := snapshotOf(n, 2*n)
			var body []byte
			for b.Loop() {
				var err error
				if body, err = encodePeerUpdate(update); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
			b.ReportMetric(float64(len(body))/float64(3*n), "bytes/entry")
		})
	}
}

// snapshotOf returns a snapshot of a fleet without a configuration's routes.
func snapshotOf(instances, endpoints int) hitchview.PeerUpdate {
	cfg := hitchroute.Config{Version: 3}
	update := hitchview.PeerUpdate{Revision: hitchfleet.NewRevision(2, 900), IsSnapshot: true, Config: &cfg}
	for i := range instances {
		update.Instances = append(update.Instances, hitchview.InstanceMsg{
			Revision: hitchfleet.NewRevision(2, int64(i)),
			Instance: hitchfleet.Instance{ID: hitchfleet.InstanceID(fmt.Sprintf("edge-zone-%d-%d", i%9, i)), Addr: fmt.Sprintf("10.%d.0.%d:8227", i%9, i%250), PeerAddr: fmt.Sprintf("10.%d.0.%d:8229", i%9, i%250), Zone: hitchfleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%9)), LinkMegabits: 1000},
		})
	}
	for i := range endpoints {
		update.Endpoints = append(update.Endpoints, hitchview.EndpointUpdate{
			Revision: hitchfleet.NewRevision(2, int64(i)),
			Endpoint: hitchfleet.Endpoint{ID: hitchfleet.EndpointID(fmt.Sprintf("i-%08x", uint32(i)*2654435761)), Service: "volo44a", Addr: fmt.Sprintf("10.%d.64.%d:8080", i%9, i%250), Zone: hitchfleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%9)), Slots: 128, Sequence: int64(1000 + i%37), Born: 1764831600000 + int64(i)*997},
		})
	}
	return update
}
