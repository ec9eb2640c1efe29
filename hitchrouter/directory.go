package hitchrouter

import (
	"context"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchplace"
)

// servedMessage reports to a chat's home router which endpoint served the chat, and
// the estimated length in tokens of the chat's prefix there.
type servedMessage struct {
	_        struct{} `cbor:",toarray"`
	Chat     hitchfleet.Key
	Endpoint hitchfleet.EndpointID
	Tokens   int64
}

// locate returns the entry of the chat's home router for the endpoint that served the
// chat last. Without a response within locateTimeout the entry is empty, and the chat
// is placed like a new one.
func (rt *Router) locate(ctx context.Context, p *placement, chat hitchfleet.Key) hitchplace.Entry {
	home, ok := p.routers.Home(chat, rt.Self.Region)
	if !ok || home.ID == rt.Self.ID {
		entry, _ := rt.directory.Get(rt.now(), chat)
		return entry
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	responseBody, err := rt.Peers.call(ctx, home.ID, 0, KindLocate, binary.BigEndian.AppendUint64(nil, uint64(chat)))
	if err != nil {
		return hitchplace.Entry{}
	}
	var entry hitchplace.Entry
	if err := cbor.Unmarshal(responseBody, &entry); err != nil {
		return hitchplace.Entry{}
	}
	return entry
}

// handleLocate serves another router's lookup of a chat in the directory.
func (rt *Router) handleLocate(_ context.Context, _ hitchfleet.Instance, body []byte) ([]byte, error) {
	var entry hitchplace.Entry
	if len(body) == 8 {
		entry, _ = rt.directory.Get(rt.now(), hitchfleet.Key(binary.BigEndian.Uint64(body)))
	}
	return cbor.Marshal(entry)
}

// recordServed reports to the chat's home router that an endpoint served the chat.
func (rt *Router) recordServed(req *proxyRequest, endpoint hitchfleet.EndpointID) {
	home, ok := rt.placement().routers.Home(req.key, rt.Self.Region)
	if !ok || home.ID == rt.Self.ID {
		rt.directory.Put(rt.now(), req.key, endpoint, req.cost)
		return
	}
	body, err := cbor.Marshal(servedMessage{Chat: req.key, Endpoint: endpoint, Tokens: req.cost})
	if err != nil {
		return
	}
	rt.sendAsync(home.ID, KindServed, body)
}

// handleServed stores the endpoint that served a chat in the directory.
func (rt *Router) handleServed(_ context.Context, _ hitchfleet.Instance, body []byte) (_ []byte, err error) {
	var message servedMessage
	if err := cbor.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	rt.directory.Put(rt.now(), message.Chat, message.Endpoint, message.Tokens)
	return nil, nil
}
