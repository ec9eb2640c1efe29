package hitchrouter

import (
	"context"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchplace"
)

// servedMessage tells a chat's home which endpoint served it.
type servedMessage struct {
	_        struct{} `cbor:",toarray"`
	Chat     hitchfleet.Key
	Endpoint hitchfleet.EndpointID
	Tokens   int64
}

// locate asks the chat's home which endpoint served the chat last. Without an
// answer in time the chat is placed as a new one.
func (rt *Router) locate(ctx context.Context, p *placement, chat hitchfleet.Key) hitchplace.Entry {
	home, ok := p.routers.Home(chat, rt.Self.Region)
	if !ok || home.ID == rt.Self.ID {
		entry, _ := rt.directory.Get(rt.now(), chat)
		return entry
	}
	ctx, cancel := context.WithTimeout(ctx, locateLimit)
	defer cancel()
	reply, err := rt.Peers.call(ctx, home.ID, 0, KindLocate, binary.BigEndian.AppendUint64(nil, uint64(chat)))
	if err != nil {
		return hitchplace.Entry{}
	}
	var entry hitchplace.Entry
	if err := cbor.Unmarshal(reply, &entry); err != nil {
		return hitchplace.Entry{}
	}
	return entry
}

func (rt *Router) handleLocate(_ context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
	var entry hitchplace.Entry
	if len(body) == 8 {
		entry, _ = rt.directory.Get(rt.now(), hitchfleet.Key(binary.BigEndian.Uint64(body)))
	}
	return cbor.Marshal(entry)
}

// remember tells the chat's home that an endpoint has served it.
func (rt *Router) remember(j *job, endpoint hitchfleet.EndpointID) {
	home, ok := rt.placement().routers.Home(j.key, rt.Self.Region)
	if !ok || home.ID == rt.Self.ID {
		rt.directory.Put(rt.now(), j.key, endpoint, j.cost)
		return
	}
	body, err := cbor.Marshal(servedMessage{Chat: j.key, Endpoint: endpoint, Tokens: j.cost})
	if err != nil {
		return
	}
	rt.tell(home.ID, KindServed, body)
}

func (rt *Router) handleServed(_ context.Context, _ hitchfleet.Instance, body []byte) (_ []byte, err error) {
	var m servedMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	rt.directory.Put(rt.now(), m.Chat, m.Endpoint, m.Tokens)
	return nil, nil
}
