package hitchadmit

import (
	"fmt"
	"testing"

	"citronhitch.example/citronhitch/hitchfleet"
)

// BenchmarkHeartbeats reports the packets and bytes of one round of heartbeats
// of a router whose requests are distributed over the 254 endpoints of its
// region.
//
//	go test -run '^$' -bench Heartbeats ./hitchadmit
func BenchmarkHeartbeats(b *testing.B) {
	const endpoints, owners = 254, 130
	all := routers(owners)
	for _, held := range []int{20, 80, 160, 320} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			h := &HeldSlots{Self: "router-0"}
			index := make(map[hitchfleet.EndpointID]int)
			for i := range endpoints {
				index[engineID(i)] = i
			}
			for i := range held {
				req := benchRequest(GrantID(i), int(hitchfleet.KeyOf(fmt.Sprint(i))%endpoints))
				h.Add(req, all[index[req.Endpoint]%owners])
			}
			ownerOf := func(id hitchfleet.EndpointID) (hitchfleet.Instance, bool) { return all[index[id]%owners], true }
			var packets, bytes int
			for b.Loop() {
				packets, bytes = encodeHeartbeats(b, h, ownerOf)
			}
			b.ReportMetric(float64(packets), "packets")
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

// encodeHeartbeats encodes one round of heartbeats.
func encodeHeartbeats(b *testing.B, h *HeldSlots, ownerOf func(hitchfleet.EndpointID) (hitchfleet.Instance, bool)) (packets, bytes int) {
	for _, beat := range h.Heartbeats(ownerOf) {
		body, err := Packet{Heartbeats: beat.Heartbeats}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		packets++
		bytes += len(body)
	}
	return packets, bytes
}
