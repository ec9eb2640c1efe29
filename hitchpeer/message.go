package hitchpeer

import "citronhitch.example/citronhitch/hitchfleet"

// The messages that Members and Gossip understand. Update takes any of them.
type (
	// Tick says that time has passed. It is due every TickInterval.
	Tick struct{}

	// Received is a packet from another router.
	Received struct {
		From   hitchfleet.InstanceID
		Packet Packet
	}

	// Greeted says that a new connection was made and that the router at its other
	// end proved its identity.
	Greeted struct {
		Sender  Record
		Opinion Record
	}

	// Listed is the platform's list of routers.
	Listed struct{ Instances []hitchfleet.Instance }

	// Synced is an answer to a synchronisation with another router.
	Synced struct {
		From    hitchfleet.InstanceID
		Records []Record
		Entries []Entry
	}

	// LeaveStarted marks the router itself as leaving; LeaveDone as gone.
	LeaveStarted struct{}
	// LeaveDone says that the router stops now.
	LeaveDone struct{}
)

// Send is a packet that is due to a router.
type Send struct {
	To     hitchfleet.InstanceID
	Packet Packet
}

// Dial is a connection that is due to a router.
type Dial struct {
	To hitchfleet.Instance
	// Fresh asks for a new connection from a new port, as an old one may have
	// gone silent.
	Fresh bool
}

// Effects is what Members asks for after an Update.
type Effects struct {
	Sends []Send
	Dials []Dial
	// Syncs names routers whose tables seem to differ from ours.
	Syncs []hitchfleet.InstanceID
	// Changed are records that are new or overrode others.
	Changed []Record
	// Superseded is the higher incarnation of this very InstanceID that another
	// process runs as, or zero.
	Superseded uint64
}
