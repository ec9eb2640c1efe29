package hitchpeer

import "citronhitch.example/citronhitch/hitchfleet"

// The messages that Members.Update and Gossip.Update accept. Each ignores the
// messages that don't concern it.
type (
	// Tick triggers what is due by time. It must be sent every TickInterval.
	Tick struct{}

	// PacketReceived is a packet from another router.
	PacketReceived struct {
		From   hitchfleet.InstanceID
		Packet Packet
	}

	// HandshakeCompleted reports a new connection to a router whose identity was
	// verified. ReceiverRecord is the record that the other router has of this one.
	HandshakeCompleted struct {
		Sender         Record
		ReceiverRecord Record
	}

	// ListReceived is the platform's list of routers.
	ListReceived struct{ Instances []hitchfleet.Instance }

	// SyncCompleted is the response to an anti-entropy request to another router.
	SyncCompleted struct {
		From    hitchfleet.InstanceID
		Records []Record
		Entries []Entry
	}

	// LeaveStarted marks this router as leaving. It goes on to answer requests.
	LeaveStarted struct{}
	// LeaveDone marks this router as having left; it stops now.
	LeaveDone struct{}
)

// Send is a packet to send to a router.
type Send struct {
	To     hitchfleet.InstanceID
	Packet Packet
}

// Dial is a connection to open to a router.
type Dial struct {
	To hitchfleet.Instance
	// Fresh asks for a new connection from a new UDP port, as an existing connection
	// may no longer work.
	Fresh bool
}

// Effects are the actions that the caller of Members.Update must take.
type Effects struct {
	Sends []Send
	Dials []Dial
	// Syncs are the routers whose tables differ from this router's.
	Syncs []hitchfleet.InstanceID
	// Changed holds the records that are new or replaced others.
	Changed []Record
	// Superseded is the higher incarnation of another process with this router's
	// InstanceID, or zero.
	Superseded uint64
}
