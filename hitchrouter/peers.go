package hitchrouter

import (
	"context"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
	"citronhitch.example/citronhitch/hitchpeer"
)

// The kinds of requests between routers.
const (
	KindAdmit  hitchpeer.Kind = "Admit"
	KindLocate hitchpeer.Kind = "Locate"
	KindServed hitchpeer.Kind = "Served"
	KindBook   hitchpeer.Kind = "Book"
)

// TopicLoads is the topic on which a router shares the loads of the endpoints that it
// owns.
var TopicLoads = hitchpeer.Topic{Name: "Loads", Regional: true, Volatile: true}

// Timeouts of requests between routers.
const (
	slotRequestTimeout = 500 * time.Millisecond
	locateTimeout      = 100 * time.Millisecond
	asyncTimeout       = 2 * time.Second
)

// Peers sends requests and shared values to the other routers. With the zero value
// every request fails and nothing is shared.
type Peers struct {
	// Call sends a request to a router and returns the response. Errors are of type
	// *hitchpeer.CallError.
	Call func(ctx context.Context, to hitchfleet.InstanceID, incarnation uint64, kind hitchpeer.Kind, body []byte) ([]byte, error)
	// Share distributes a value to the other routers.
	Share func(topic hitchpeer.Topic, body []byte) error
}

func (p Peers) call(ctx context.Context, to hitchfleet.InstanceID, incarnation uint64, kind hitchpeer.Kind, body []byte) ([]byte, error) {
	if p.Call == nil {
		return nil, &hitchpeer.CallError{To: to, Kind: kind, Unsent: true, NotHandled: true, Err: hitchpeer.ErrStopped}
	}
	return p.Call(ctx, to, incarnation, kind, body)
}

func (p Peers) share(topic hitchpeer.Topic, body []byte) error {
	if p.Share == nil {
		return nil
	}
	return p.Share(topic, body)
}

// sendAsync sends a request in the background and ignores the response.
func (rt *Router) sendAsync(to hitchfleet.InstanceID, kind hitchpeer.Kind, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), asyncTimeout)
		defer cancel()
		if _, err := rt.Peers.call(ctx, to, 0, kind, body); err != nil {
			rt.log().Debug("asynchronous request to a peer failed", "To", string(to), "Kind", string(kind), "Error", err)
		}
	}()
}

// Handlers returns the handlers of requests from other routers, by kind.
func (rt *Router) Handlers() map[hitchpeer.Kind]hitchpeer.Handler {
	handlers := map[hitchpeer.Kind]hitchpeer.Handler{
		KindAdmit:  rt.handleAdmit,
		KindLocate: rt.handleLocate,
		KindServed: rt.handleServed,
		KindTurn:   rt.handleTurn,
		KindReach:  rt.handleReach,
		KindRelay:  rt.handleRelay,
	}
	if rt.Bookings != nil {
		handlers[KindBook] = rt.handleBook
		handlers[KindAdopt] = rt.handleAdopt
	}
	return handlers
}
