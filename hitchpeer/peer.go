// Package hitchpeer maintains the membership of the routers of a fleet and carries
// messages between them over QUIC with mutual TLS.
//
// Members detects which routers are alive, with SWIM-style probes, indirect probes,
// suspicions and incarnations, and merges the platform's list of routers, which may
// be out of date. Gossip decides what to send so that the newest value of each
// origin reaches all routers. Both are state machines without goroutines, sockets
// or clocks. Node runs them over the network:
//
//	n := &hitchpeer.Node{Self: self, Listen: "10.0.0.1:7000", Keys: keys.Current, Seeds: seeds}
//	n.Handle("Slot", grantSlot)
//	go n.Run(ctx)
//	resp, err := n.Call(ctx, "router-2", "Slot", body)
package hitchpeer
