package hitchconfig

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// packet is a peer's message as it goes between routers, in CBOR. An array
// without field names keeps an announcement, which each router sends every
// second, at less than two hundred bytes.
type packet struct {
	_        struct{} `cbor:",toarray"`
	Kind     MessageKind
	Revision uint64
	Ready    bool
	Started  bool
	Whole    bool
	Sum      []byte
	KeyID    string
	MAC      []byte
	Mark     markPacket
	// Body is the Offer or the Delta in JSON.
	Body []byte
}

type markPacket struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	At       int64 // nanoseconds since 1970; 0 is the zero time
	By       string
	KeyID    string
	MAC      []byte
}

// EncodeMessage returns the bytes of a message from a peer. It fails for the
// kinds that don't come from peers.
func EncodeMessage(m Message) (data []byte, err error) {
	defer annotate(&err, "encode message")
	p := packet{Kind: m.Kind, Revision: m.Revision, Whole: m.Whole}
	switch m.Kind {
	case PeerAnnounced:
		a := m.Announcement
		p.Revision, p.Ready, p.Started, p.Mark = a.Revision, a.Ready, a.Started, a.Mark.packet()
		p.KeyID, p.MAC = a.Proof.KeyID, a.Proof.MAC
		p.Sum, err = hex.DecodeString(string(a.Checksum))
	case PeerOffered:
		p.Body, err = json.Marshal(m.Offer)
	case PeerSentDelta:
		p.Body, err = json.Marshal(m.Delta)
	case PeerAsked:
	default:
		err = fmt.Errorf("kind %d isn't a peer's", m.Kind)
	}
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(p)
}

// DecodeMessage reads a message from a peer. From is who sent it.
func DecodeMessage(data []byte, from hitchfleet.InstanceID) (m Message, err error) {
	defer annotate(&err, "decode message")
	var p packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Message{}, err
	}
	m = Message{Kind: p.Kind, From: from}
	switch p.Kind {
	case PeerAnnounced:
		m.Announcement = Announcement{
			Revision: p.Revision, Checksum: Checksum(hex.EncodeToString(p.Sum)), Proof: Proof{KeyID: p.KeyID, MAC: p.MAC},
			Ready: p.Ready, Started: p.Started, Mark: p.Mark.mark(),
		}
	case PeerOffered:
		err = decodeStrict(p.Body, &m.Offer)
	case PeerSentDelta:
		err = decodeStrict(p.Body, &m.Delta)
	case PeerAsked:
		m.Revision, m.Whole = p.Revision, p.Whole
	default:
		err = fmt.Errorf("kind %d isn't a peer's", p.Kind)
	}
	if err != nil {
		return Message{}, err
	}
	return m, nil
}

func (m Mark) packet() markPacket {
	p := markPacket{Revision: m.Revision, By: string(m.By), KeyID: m.Proof.KeyID, MAC: m.Proof.MAC}
	if !m.At.IsZero() {
		p.At = m.At.UnixNano()
	}
	return p
}

func (p markPacket) mark() Mark {
	m := Mark{Revision: p.Revision, By: hitchfleet.InstanceID(p.By), Proof: Proof{KeyID: p.KeyID, MAC: p.MAC}}
	if p.At != 0 {
		m.At = time.Unix(0, p.At).UTC()
	}
	return m
}
