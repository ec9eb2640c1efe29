package hitchpeer

import (
	"fmt"

	"citronhitch.example/citronhitch/hitchfleet"
	"github.com/fxamacker/cbor/v2"
)

// Sizes of packets, in bytes.
const (
	maxPacketBytes    = 1100
	packetHeaderBytes = 40
	// datagramOverheadBytes is what a packet of its own costs: headers of IP, UDP
	// and QUIC, and an acknowledgement.
	datagramOverheadBytes = 120
)

type packetKind uint8

const (
	// packetRumour carries records and entries alone.
	packetRumour packetKind = iota
	// packetPing asks for a packetAck with the same Seq.
	packetPing
	packetAck
	// packetPingRequest asks the receiver to probe About.
	packetPingRequest
	// packetIndirectAck says that About answered the probe of a packetPingRequest.
	packetIndirectAck
	// packetEcho tests one connection; it is answered by packetEchoReply.
	packetEcho
	packetEchoReply
)

// Packet is one datagram between two routers.
type Packet struct {
	_     struct{} `cbor:",toarray"`
	Kind  packetKind
	Seq   uint32
	About hitchfleet.InstanceID
	// MemberSum and ShareSum are checksums of the sender's view, for anti-entropy.
	MemberSum uint32
	ShareSum  uint32
	Records   []Record
	Entries   []Entry
}

func (p Packet) carriesSums() bool { return p.Kind == packetPing || p.Kind == packetAck }

// hello is the first message on a connection, and its answer.
type hello struct {
	_      struct{} `cbor:",toarray"`
	Sender Record
	// Opinion is what the sender believes of the receiver; a router that is taken
	// for dead refutes it by its answer.
	Opinion Record
	// Born orders the connections between two routers, in Unix nanoseconds.
	Born int64
}

type request struct {
	_ struct{} `cbor:",toarray"`
	// Kind is empty for a hello.
	Kind Kind
	// Incarnation is the only incarnation that may handle the request; zero is any.
	Incarnation uint64
	Body        []byte
}

type responseCode uint8

const (
	responseOK responseCode = iota
	// responseFailed says that the handler returned an error.
	responseFailed
	// responseOtherIncarnation and responseNoHandler are sent before any handler
	// saw the request.
	responseOtherIncarnation
	responseNoHandler
)

type response struct {
	_    struct{} `cbor:",toarray"`
	Code responseCode
	Text string
	// Incarnation is the one that answers.
	Incarnation uint64
	Body        []byte
}

// syncRequest asks for what the receiver knows in the buckets whose checksums
// differ.
type syncRequest struct {
	_          struct{} `cbor:",toarray"`
	MemberSums buckets
	ShareSums  buckets
	Joining    bool
}

type syncResponse struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
	Entries []Entry
}

func encode[T any](v T) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		// All messages are plain structs of this package, which always encode.
		panic(fmt.Sprintf("hitchpeer: encoding %T: %v", v, err))
	}
	return data
}

func decode[T any](data []byte) (v T, err error) {
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("hitchpeer: decoding %T: %w", v, err)
	}
	return v, nil
}
