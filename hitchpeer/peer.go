// Package hitchpeer keeps the membership of the routers of a fleet and carries
// messages among them over QUIC with mutual TLS.
//
// Members decides who is alive: SWIM-style probes with suspicion, incarnations
// and indirect probes, merged with the platform's lagging list. Gossip decides
// what to send so that the newest value of each origin reaches all routers. Both
// are plain values without goroutines, sockets or clocks. Node drives them over
// the network:
//
//	n := &hitchpeer.Node{Self: self, Listen: "10.0.0.1:7000", Keys: keys.Current, Seeds: seeds}
//	n.Handle("Slot", grantSlot)
//	go n.Run(ctx)
//	answer, err := n.Call(ctx, "router-2", "Slot", body)
package hitchpeer
