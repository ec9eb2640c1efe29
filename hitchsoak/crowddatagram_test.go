package hitchsoak

import (
	"fmt"
	"net"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchdigest"
	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchorigin"
	"citronhitch.example/citronhitch/hitchquarantine"
	"citronhitch.example/citronhitch/hitchquota"
)

// crowdDatagrams is how many datagrams a crowd sends.
const crowdDatagrams = 1_000_000

// datagramCrowds are datagrams of instances, endpoints and requests that don't exist, each with other IDs.
var datagramCrowds = map[string]func(n int) hitchdigest.Packet{
	"reports": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Report: &hitchdigest.Report{From: strangerID(n), IsCutOff: true, Loads: []hitchdigest.Load{{Endpoint: hitchdigest.EndpointRef(n), InFlight: 1}}}}
	},
	"statuses of hubs": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Digest: &hitchdigest.Digest{From: strangerID(n), HubStatus: &hitchdigest.HubStatus{From: strangerID(n), Zone: "a"}}}
	},
	"questions for permits": func(n int) hitchdigest.Packet {
		notice := hitchquota.Notice{Run: hitchfleet.RunID(n), PerSecond: 1, IsLimited: true, MaxInFlight: 1}
		return hitchdigest.Packet{PermitRequest: &hitchquota.PermitRequestMsg{ID: uint32(n), From: strangerID(n), Notice: notice}}
	},
	"holdings": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Holding: &hitchquota.HoldingMsg{From: strangerID(n), Run: hitchfleet.RunID(n)}}
	},
	"questions for turns": func(n int) hitchdigest.Packet {
		suspicion := hitchquarantine.Suspicion{Trait: hitchquarantine.Trait{ID: uint64(n)}, Crashes: []hitchfleet.RunID{hitchfleet.RunID(n)}}
		return hitchdigest.Packet{TurnRequest: &hitchquarantine.TurnRequestMsg{ID: uint32(n), From: strangerID(n), Suspicion: suspicion}}
	},
	"origins": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Origins: []hitchorigin.Origin{{Stream: hitchfleet.Key(n), Service: hitchfleet.ServiceID(strangerID(n)), Version: string(strangerID(n))}}}
	},
	"questions for slots": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Slot: &hitchdigest.SlotMsg{Request: &hitchdispatch.RequestMsg{
			Service: hitchfleet.ServiceID(strangerID(n)), From: strangerID(n), ID: hitchdispatch.RequestID(n), DeadlineMilliseconds: 60_000,
		}}}
	},
	"questions for slots of a service": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Slot: &hitchdigest.SlotMsg{Request: &hitchdispatch.RequestMsg{
			Service: "shop", From: strangerID(n), ID: hitchdispatch.RequestID(n), DeadlineMilliseconds: 60_000,
		}}}
	},
	"uses of slots": func(n int) hitchdigest.Packet {
		return hitchdigest.Packet{Slot: &hitchdigest.SlotMsg{From: strangerID(n), HoldingsOf: hitchfleet.ServiceID(strangerID(n)), Holding: &hitchdispatch.HoldingMsg{Service: "shop", From: strangerID(n)}}}
	},
}

func strangerID(n int) hitchfleet.InstanceID {
	return hitchfleet.InstanceID(fmt.Sprintf("stranger-%d", n))
}

// TestCrowdOfDatagrams guards against datagrams with many made-up IDs that make an instance run out of memory.
func TestCrowdOfDatagrams(t *testing.T) {
	program := buildProgram(t)
	for name, packet := range datagramCrowds {
		t.Run(name, func(t *testing.T) {
			f := startCrowdFleet(t, program)
			socket, err := net.Dial("udp", net.JoinHostPort(f.instances[0].ip, strconv.Itoa(impostorPort)))
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = socket.Close() }()
			for n := range crowdDatagrams {
				p := packet(n)
				data, err := p.Encode()
				qt.Assert(t, err, qt.IsNil)
				_, _ = socket.Write(data)
			}
			f.awaitServing("after")
			f.checkLimits(t)
		})
	}
}
