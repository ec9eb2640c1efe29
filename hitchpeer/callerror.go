package hitchpeer

import (
	"errors"
	"fmt"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Kind is the kind of a request between routers. It selects the handler.
type Kind string

// Kinds of the requests that this package handles itself.
const (
	kindHello Kind = ""
	kindSync  Kind = "hitchpeer.Sync"
	kindPull  Kind = "hitchpeer.Pull"
)

var (
	// ErrUnknownInstance is returned if no address is known for a router.
	ErrUnknownInstance = errors.New("hitchpeer: no address is known for the instance")
	// ErrNoHandler is returned if the other router has no handler for the kind.
	ErrNoHandler = errors.New("hitchpeer: the instance has no handler for the kind")
	// ErrUnresponsive is returned if this router closed the connection because it
	// received nothing on it in time.
	ErrUnresponsive = errors.New("hitchpeer: the connection was closed because the instance stopped responding")
	// ErrTooLarge is returned if a message is larger than MaxMessageBytes, or a
	// shared value larger than MaxShareBytes.
	ErrTooLarge = errors.New("hitchpeer: the message is too large")
	// ErrStopped is returned if the Node isn't bound yet or has stopped.
	ErrStopped = errors.New("hitchpeer: the node is stopped")
)

// CallError is the error of a failed Call. It holds the cause and whether the other
// router may have received or handled the request.
//
//	var failed *hitchpeer.CallError
//	if errors.As(err, &failed) && failed.NotHandled {
//		// It is safe to send the request to another router.
//	}
type CallError struct {
	To   hitchfleet.InstanceID
	Kind Kind
	// Unsent is true only where no byte of the request can have reached the other
	// router.
	Unsent bool
	// NotHandled is true only where no handler can have seen the request: it was
	// unsent, or the other router rejected it before it ran a handler.
	NotHandled bool
	Err        error
}

// Error returns one line with the destination, the kind and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("hitchpeer: calling %s for %q (unsent %t, not handled %t): %v",
		e.To, e.Kind, e.Unsent, e.NotHandled, e.Err)
}

// Unwrap returns the cause of the failure.
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is an error that the handler of the other router returned.
type RemoteError struct{ Text string }

// Error returns the text of the handler's error.
func (e *RemoteError) Error() string { return e.Text }

// IncarnationError is returned if a request was meant for another incarnation than
// the running one. No handler saw the request.
type IncarnationError struct {
	Wanted  uint64
	Running uint64
}

// Error returns the text of the error, with both incarnations.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("the request is for incarnation %d, but incarnation %d is running", e.Wanted, e.Running)
}

// SupersededError is returned if another process runs with this router's InstanceID
// and a higher incarnation, so that this process must stop.
type SupersededError struct {
	ID          hitchfleet.InstanceID
	Incarnation uint64
}

// Error returns the text of the error, with the higher incarnation.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("hitchpeer: another process runs as %s with the higher incarnation %d", e.ID, e.Incarnation)
}
