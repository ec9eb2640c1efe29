package hitchorder

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// OrderKind says what an engine shall do.
type OrderKind string

// The kinds of orders. Each may be repeated without harm.
const (
	LoadVersion   OrderKind = "LoadVersion"
	UnloadVersion OrderKind = "UnloadVersion"
	LoadAdapter   OrderKind = "LoadAdapter"
	UnloadAdapter OrderKind = "UnloadAdapter"
	ChangeRole    OrderKind = "ChangeRole"
	// HoldNumber tells an engine that checks numbers the new number, and changes
	// nothing. For engines without such an order, the adapter sends ChangeRole with
	// the role that they have.
	HoldNumber OrderKind = "HoldNumber"
)

// Order is what an engine is told to do.
type Order struct {
	// Number is the holder's fencing number.
	Number   uint64
	Endpoint hitchfleet.EndpointID
	URL      string
	Kind     OrderKind
	Route    hitchfleet.RouteID
	// Name is the version, the adapter or the role.
	Name string
	// ChecksFencing says that the engine refuses an old number.
	ChecksFencing bool
	// Deadline is when the sender must give up.
	Deadline time.Time
}

// String returns the order as a line of a log.
func (o Order) String() string {
	return fmt.Sprintf("%s %s on %s (number %d)", o.Kind, o.Name, o.Endpoint, o.Number)
}

// loads tells whether the order makes the engine read from the weight store.
func (o Order) loads() bool { return o.Kind == LoadVersion || o.Kind == LoadAdapter }

// AnswerKind says what became of an order.
type AnswerKind uint8

// The kinds of answers.
const (
	// OrderUnknown means that the engine's answer was lost. The engine's state is
	// read again before anything else is ordered.
	OrderUnknown AnswerKind = iota
	// OrderTaken means that the engine carries the order out.
	OrderTaken
	// OrderLater means that the engine or the weight store is busy until RetryAt.
	OrderLater
	// OrderRefused means that the engine can't.
	OrderRefused
	// OrderFenced means that the engine knows a higher number; the Holder is to
	// be told too.
	OrderFenced
)

// Answer is what became of an order.
type Answer struct {
	Order   Order
	Kind    AnswerKind
	RetryAt time.Time
}
