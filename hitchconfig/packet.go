package hitchconfig

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
)

// peerPacket is the CBOR encoding of a message between routers. It is an array without
// field names, which keeps an announcement, sent by each router every second, below two
// hundred bytes.
type peerPacket struct {
	_            struct{} `cbor:",toarray"`
	Kind         MessageKind
	Revision     uint64
	Ready        bool
	Started      bool
	SnapshotOnly bool
	Sum          []byte
	KeyID        string
	MAC          []byte
	Mark         markPacket
	// Body is the Snapshot or the Delta in JSON.
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

// EncodeMessage encodes a message to a peer. It fails for kinds that aren't sent
// between peers.
func EncodeMessage(m Message) (data []byte, err error) {
	defer wrapError(&err, "encode message")
	p := peerPacket{Kind: m.Kind, Revision: m.Revision, SnapshotOnly: m.SnapshotOnly}
	switch m.Kind {
	case PeerAnnounced:
		a := m.Announcement
		p.Revision, p.Ready, p.Started, p.Mark = a.Revision, a.Ready, a.Started, a.Mark.toPacket()
		p.KeyID, p.MAC = a.Proof.KeyID, a.Proof.MAC
		p.Sum, err = hex.DecodeString(string(a.Checksum))
	case PeerSentSnapshot:
		p.Body, err = json.Marshal(m.Snapshot)
	case PeerSentDelta:
		p.Body, err = json.Marshal(m.Delta)
	case PeerRequested:
	default:
		err = fmt.Errorf("kind %d isn't sent between peers", m.Kind)
	}
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(p)
}

// DecodeMessage decodes a message from the given peer.
func DecodeMessage(data []byte, from hitchfleet.InstanceID) (m Message, err error) {
	defer wrapError(&err, "decode message")
	var p peerPacket
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Message{}, err
	}
	m = Message{Kind: p.Kind, From: from}
	switch p.Kind {
	case PeerAnnounced:
		m.Announcement = Announcement{
			Revision: p.Revision, Checksum: Checksum(hex.EncodeToString(p.Sum)), Proof: Proof{KeyID: p.KeyID, MAC: p.MAC},
			Ready: p.Ready, Started: p.Started, Mark: p.Mark.toMark(),
		}
	case PeerSentSnapshot:
		err = decodeStrict(p.Body, &m.Snapshot)
	case PeerSentDelta:
		err = decodeStrict(p.Body, &m.Delta)
	case PeerRequested:
		m.Revision, m.SnapshotOnly = p.Revision, p.SnapshotOnly
	default:
		err = fmt.Errorf("kind %d isn't sent between peers", p.Kind)
	}
	if err != nil {
		return Message{}, err
	}
	return m, nil
}

func (m FreshnessMark) toPacket() markPacket {
	p := markPacket{Revision: m.Revision, By: string(m.By), KeyID: m.Proof.KeyID, MAC: m.Proof.MAC}
	if !m.At.IsZero() {
		p.At = m.At.UnixNano()
	}
	return p
}

func (p markPacket) toMark() FreshnessMark {
	m := FreshnessMark{Revision: p.Revision, By: hitchfleet.InstanceID(p.By), Proof: Proof{KeyID: p.KeyID, MAC: p.MAC}}
	if p.At != 0 {
		m.At = time.Unix(0, p.At).UTC()
	}
	return m
}
