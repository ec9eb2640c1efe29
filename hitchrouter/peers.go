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

// TopicLoads spreads the loads of the endpoints that a router owns.
var TopicLoads = hitchpeer.Topic{Name: "Loads", Regional: true, Volatile: true}

// Limits of requests between routers.
const (
	askLimit    = 500 * time.Millisecond
	locateLimit = 100 * time.Millisecond
	tellLimit   = 2 * time.Second
)

// Peers is how a router reaches the others. The zero value reaches nobody.
type Peers struct {
	// Call sends a request to a router and returns its answer. Errors are of type
	// *hitchpeer.CallError.
	Call func(ctx context.Context, to hitchfleet.InstanceID, incarnation uint64, kind hitchpeer.Kind, body []byte) ([]byte, error)
	// Share spreads a value to the other routers.
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

// tell sends a request whose answer nobody waits for.
func (rt *Router) tell(to hitchfleet.InstanceID, kind hitchpeer.Kind, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellLimit)
		defer cancel()
		if _, err := rt.Peers.call(ctx, to, 0, kind, body); err != nil {
			rt.log().Debug("peer not told", "To", string(to), "Kind", string(kind), "Error", err)
		}
	}()
}

// Handlers returns what answers the requests of other routers.
func (rt *Router) Handlers() map[hitchpeer.Kind]hitchpeer.Handler {
	handlers := map[hitchpeer.Kind]hitchpeer.Handler{
		KindAdmit:  rt.handleAdmit,
		KindLocate: rt.handleLocate,
		KindServed: rt.handleServed,
	}
	if rt.Bookings != nil {
		handlers[KindBook] = rt.handleBook
		handlers[KindAdopt] = rt.handleAdopt
	}
	return handlers
}
