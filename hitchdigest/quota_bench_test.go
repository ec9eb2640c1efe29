package hitchdigest

import (
	"fmt"
	"testing"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchquota"
)

// BenchmarkQuotaBytes reports the sizes of the messages about quotas.
func BenchmarkQuotaBytes(b *testing.B) {
	now := time.Now()
	notices := make([]hitchquota.Notice, 80)
	for n := range notices {
		notices[n] = hitchquota.Notice{Run: hitchfleet.RunIDOf(hitchfleet.EndpointID(fmt.Sprint(n)), now.UnixMilli()), PerSecond: 2.4, IsLimited: true, AgeMilliseconds: 1500}
	}
	permit := hitchquota.Permit{AvailableAt: now.Add(time.Second), ReturnAt: now.Add(2 * time.Second)}
	reply := permit.Reply(now, 1<<20)
	packets := map[string]Packet{
		"1notice":       {Quotas: &hitchquota.NoticesMsg{From: "edge-se-south-a-1", Notices: notices[:1]}},
		"80notices":     {Quotas: &hitchquota.NoticesMsg{From: "edge-se-south-a-1", Notices: notices}},
		"permitRequest": {PermitRequest: &hitchquota.PermitRequestMsg{ID: 1 << 20, From: "edge-se-south-a-1", Notice: notices[0]}},
		"permitReply":   {PermitReply: &reply},
	}
	for name, packet := range packets {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				encoded, err := packet.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
