package hitchadmit

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchquota"
)

// Packet is one message between routers about slots. The receiver handles each
// field that is set; a Release may come with its FirstToken. It is encoded as a
// CBOR array, as are the messages in it, so that a SlotRequest takes about 100
// bytes.
type Packet struct {
	_           struct{} `cbor:",toarray"`
	SlotRequest *SlotRequest
	Decision    *Decision
	Release     *Release
	Heartbeats  []Heartbeat
	FirstToken  *FirstTokenSample
	LoadReport  *LoadReport
	Digest      *Digest
	Handover    *Handover
	// Quota is what an endpoint that the receiver owns has named to the sender.
	Quota *hitchquota.Notice
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// maxElements is the largest number of elements in an array or map of a message
// from the network.
const maxElements = 1 << 16

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the packet in CBOR.
func (p Packet) Encode() (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchadmit: encoding a packet: %w", err)
		}
	}()
	return encoder.Marshal(p)
}

// DecodePacket reads a packet from CBOR.
func DecodePacket(data []byte) (p Packet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("hitchadmit: decoding a packet: %w", err)
		}
	}()
	err = decoder.Unmarshal(data, &p)
	return p, err
}
