package hitchpeer

import (
	"errors"
	"fmt"

	"citronhitch.example/citronhitch/hitchfleet"
)

// Kind names a kind of request between routers.
type Kind string

// Kinds that the package itself uses.
const (
	kindHello Kind = ""
	kindSync  Kind = "hitchpeer.Sync"
	kindPull  Kind = "hitchpeer.Pull"
)

var (
	// ErrUnknownInstance says that no address is known for a router.
	ErrUnknownInstance = errors.New("hitchpeer: no address is known for the instance")
	// ErrNoHandler says that the other router has no handler for the kind.
	ErrNoHandler = errors.New("hitchpeer: the instance has no handler for the kind")
	// ErrSilent says that a connection was given up, as nothing came back on it.
	ErrSilent = errors.New("hitchpeer: the connection went silent")
	// ErrTooLarge says that a message is above MaxMessageBytes.
	ErrTooLarge = errors.New("hitchpeer: the message is too large")
	// ErrStopped says that the Node doesn't run.
	ErrStopped = errors.New("hitchpeer: the node is stopped")
)

// CallError says why a Call failed and what the other router can have seen.
//
//	var failed *hitchpeer.CallError
//	if errors.As(err, &failed) && failed.NotHandled {
//		// The request may be given to another router.
//	}
type CallError struct {
	To   hitchfleet.InstanceID
	Kind Kind
	// Unsent is true only where no byte of the request can have reached the other
	// router.
	Unsent bool
	// NotHandled is true only where no handler can have seen the request: it was
	// unsent, or the other router said so.
	NotHandled bool
	Err        error
}

// Error returns one line that names the call and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("hitchpeer: calling %s for %q (unsent %t, not handled %t): %v",
		e.To, e.Kind, e.Unsent, e.NotHandled, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is what the handler of the other router returned.
type RemoteError struct{ Text string }

// Error returns the text of the other router's error.
func (e *RemoteError) Error() string { return e.Text }

// IncarnationError says that a request was meant for an incarnation that isn't
// the one that runs. No handler saw the request.
type IncarnationError struct {
	Wanted  uint64
	Running uint64
}

// Error names both incarnations.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("incarnation %d is wanted and %d runs", e.Wanted, e.Running)
}

// SupersededError says that another process runs under this router's InstanceID
// with a higher incarnation, so that this one must stop.
type SupersededError struct {
	ID          hitchfleet.InstanceID
	Incarnation uint64
}

// Error names the incarnation that took over.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("hitchpeer: %s runs elsewhere as incarnation %d", e.ID, e.Incarnation)
}
