package hitchorder

import (
	"fmt"
	"time"

	"citronhitch.example/citronhitch/hitchfleet"
)

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders. All are idempotent.
const (
	LoadVersion   OrderKind = "LoadVersion"
	UnloadVersion OrderKind = "UnloadVersion"
	LoadAdapter   OrderKind = "LoadAdapter"
	UnloadAdapter OrderKind = "UnloadAdapter"
	ChangeRole    OrderKind = "ChangeRole"
	// SetNumber sets the fencing number of an engine that checks it, and changes
	// nothing else. For engines without such an order, the adapter sends ChangeRole
	// with their current role.
	SetNumber OrderKind = "HoldNumber"
)

// Order is an operation that an engine should carry out.
type Order struct {
	// Number is the holder's fencing number.
	Number   uint64
	Endpoint hitchfleet.EndpointID
	URL      string
	Kind     OrderKind
	Route    hitchfleet.RouteID
	// Name is the version, the adapter or the role.
	Name string
	// ChecksFencing is set if the engine rejects outdated fencing numbers.
	ChecksFencing bool
	// Deadline is when the sender must give up.
	Deadline time.Time
}

// String formats the order for logs.
func (o Order) String() string {
	return fmt.Sprintf("%s %s on %s (number %d)", o.Kind, o.Name, o.Endpoint, o.Number)
}

// isLoad reports whether the order makes the engine read from the weight store.
func (o Order) isLoad() bool { return o.Kind == LoadVersion || o.Kind == LoadAdapter }

// ResultKind is the outcome of an order.
type ResultKind uint8

// The outcomes of an order.
const (
	// OrderUnknown means that no response arrived. The engine's state is read again
	// before it gets another order.
	OrderUnknown ResultKind = iota
	// OrderAccepted means that the engine carries the order out.
	OrderAccepted
	// OrderDeferred means that the engine or the weight store is busy until RetryAt.
	OrderDeferred
	// OrderRefused means that the engine can't carry the order out.
	OrderRefused
	// OrderFenced means that the engine has received a higher fencing number. The
	// caller must also send the Holder a Fenced message.
	OrderFenced
)

// Result is the result of sending an order.
type Result struct {
	Order   Order
	Kind    ResultKind
	RetryAt time.Time
}
