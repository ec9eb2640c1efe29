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
	// datagramOverheadBytes is the overhead of an additional datagram: the headers of
	// IP, UDP and QUIC, and an acknowledgement.
	datagramOverheadBytes = 120
)

type packetKind uint8

const (
	// packetRumour only carries records and entries.
	packetRumour packetKind = iota
	// packetPing requests a packetAck with the same Seq.
	packetPing
	packetAck
	// packetPingRequest asks the receiver to probe Target.
	packetPingRequest
	// packetIndirectAck reports that Target answered the probe of a
	// packetPingRequest.
	packetIndirectAck
	// packetEcho tests a connection. The receiver replies with packetEchoReply.
	packetEcho
	packetEchoReply
)

// Packet is one datagram between two routers.
type Packet struct {
	_      struct{} `cbor:",toarray"`
	Kind   packetKind
	Seq    uint32
	Target hitchfleet.InstanceID
	// MemberSum and ShareSum are checksums of the sender's membership table and
	// shared values, for anti-entropy.
	MemberSum uint32
	ShareSum  uint32
	Records   []Record
	Entries   []Entry
}

func (p Packet) carriesSums() bool { return p.Kind == packetPing || p.Kind == packetAck }

// hello is the first message on a connection, and the reply to it.
type hello struct {
	_      struct{} `cbor:",toarray"`
	Sender Record
	// ReceiverRecord is the record that the sender has of the receiver. A receiver
	// that is recorded as dead refutes that in its reply.
	ReceiverRecord Record
	// OpenedAt is when the dialling router opened the connection, in Unix
	// nanoseconds. Both ends use the connection with the highest value.
	OpenedAt int64
}

type request struct {
	_ struct{} `cbor:",toarray"`
	// Kind is empty for a hello.
	Kind Kind
	// Incarnation is the only incarnation that may handle the request; zero means
	// any.
	Incarnation uint64
	Body        []byte
}

type responseCode uint8

const (
	responseOK responseCode = iota
	// responseFailed is sent if the handler returned an error or the response is too
	// large.
	responseFailed
	// responseOtherIncarnation and responseNoHandler are sent without running a
	// handler.
	responseOtherIncarnation
	responseNoHandler
)

type response struct {
	_    struct{} `cbor:",toarray"`
	Code responseCode
	Text string
	// Incarnation is the running incarnation, with responseOtherIncarnation.
	Incarnation uint64
	Body        []byte
}

// syncRequest asks for the receiver's records and entries in the buckets whose
// checksums differ.
type syncRequest struct {
	_          struct{} `cbor:",toarray"`
	MemberSums bucketSums
	ShareSums  bucketSums
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
		// All messages are plain structs of this package; encoding them can't fail.
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
