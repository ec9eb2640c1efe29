package hitchdigest

import (
	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchdispatch"
	"citronhitch.example/citronhitch/hitchfleet"
)

// SlotMsg holds what two instances tell each other about the slots of services that have few of
// them. It is a datagram of its own, so that all others are as in fleets without such services.
type SlotMsg struct {
	_ struct{} `cbor:",toarray"`
	// Decisions are answers of the owner From of a service's queue. Several of them go into one
	// datagram.
	From      hitchfleet.InstanceID
	Decisions []hitchdispatch.DecisionMsg
	// Request asks the owner for a slot, Results are those of attempts whose slots are free, and
	// Withdrawals end requests without one.
	Request     *hitchdispatch.RequestMsg
	Results     []hitchdispatch.ResultMsg
	Withdrawals []hitchdispatch.WithdrawMsg
	// Holding tells the owner what an instance uses. HoldingsOf is the service of which a new
	// owner asks that; empty if it doesn't.
	Holding    *hitchdispatch.HoldingMsg
	HoldingsOf hitchfleet.ServiceID
}

// slotHeader is the first byte of an encoded SlotMsg: a CBOR array of its number of fields, in
// which it differs from a Packet.
const slotHeader = 0x80 | 7

// encodeSlot returns the CBOR encoding of a message.
func encodeSlot(m *SlotMsg) ([]byte, error) { return cbor.Marshal(m) }

// decodeSlot parses a message. It returns nil if the datagram is of another kind.
func decodeSlot(b []byte) (*SlotMsg, error) {
	if len(b) == 0 || b[0] != slotHeader {
		return nil, nil
	}
	m := &SlotMsg{}
	return m, cbor.Unmarshal(b, m)
}
