package hitchpath

import "citronhitch.example/citronhitch/hitchfleet"

// RequestMsg asks another instance whether it reaches endpoints.
type RequestMsg struct {
	_    struct{} `cbor:",toarray"`
	ID   uint32
	From hitchfleet.InstanceID
	// NeedsAnswer is set if an endpoint must have answered a question of the other instance: those
	// at the asking one accept connections.
	NeedsAnswer bool
}

// ReplyMsg is the answer to the RequestMsg with the same ID.
type ReplyMsg struct {
	_    struct{} `cbor:",toarray"`
	ID   uint32
	From hitchfleet.InstanceID
	// ReachesEndpoints is set if the instance reaches endpoints and accepts callers.
	ReachesEndpoints bool
}
