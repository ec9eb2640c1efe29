package hitchclaim

import (
	"context"
	"time"
)

// StoreOp is an operation of the key-value service.
type StoreOp uint8

// The operations.
const (
	// StoreList reads all values whose names have the command's name as a prefix,
	// at one revision of the store.
	StoreList StoreOp = iota
	// StoreSwap is a compare-and-swap: it writes the value if the current revision
	// of the name is ExpectedRevision. Revision 0 means that the name doesn't exist.
	StoreSwap
	// StoreDelete deletes the value if the current revision of the name is
	// ExpectedRevision.
	StoreDelete
)

// StoreCommand is a request to the key-value service, returned by a Journal, a
// Binding or a Fencing for its caller to run.
type StoreCommand struct {
	// ID is copied to the response. It is unique within the Journal, Binding or
	// Fencing that returned the command.
	ID               uint64
	Op               StoreOp
	Name             string
	ExpectedRevision uint64
	Value            []byte
	// Expiry is when the store may delete the value. Zero means never.
	Expiry time.Time
	// Deadline is when the request times out and ends as StoreUnknown.
	Deadline time.Time
}

// StoreStatus is the result of a command.
type StoreStatus uint8

// The results of commands. The zero value is the uncertain one.
const (
	// StoreUnknown means that the response was lost: the command may have taken effect,
	// or may still do so.
	StoreUnknown StoreStatus = iota
	// StoreFailed means that the command has not taken effect and never will.
	StoreFailed
	// StoreConflict means that the current revision isn't the expected one.
	StoreConflict
	// StoreDone means that the command took effect.
	StoreDone
)

// StoredValue is a stored value with its name and revision.
type StoredValue struct {
	Name     string
	Revision uint64
	Value    []byte
}

// StoreResponse is the response to a command.
type StoreResponse struct {
	ID     uint64
	Status StoreStatus
	// Revision is the new revision of the value after StoreSwap.
	Revision uint64
	// Values are the results of StoreList, ordered by name.
	Values []StoredValue
}

// Store runs commands with the functions of a key-value client.
//
//	store := hitchclaim.Store{List: client.List, Swap: client.Swap, Delete: client.Delete}
//	response := store.Do(ctx, command)
//	step := journal.HandleStoreResponse(now, response)
type Store struct {
	// List reads all values whose names start with prefix, at one revision of the
	// store, ordered by name. It must not read from a stale replica.
	List func(ctx context.Context, prefix string) ([]StoredValue, StoreStatus)
	// Swap writes value if the current revision of name is expected, and returns the
	// new revision.
	Swap func(ctx context.Context, name string, expected uint64, value []byte, expiry time.Time) (uint64, StoreStatus)
	// Delete deletes name if its current revision is expected.
	Delete func(ctx context.Context, name string, expected uint64) StoreStatus
}

// Do runs one command. It blocks at most until the command's deadline, provided that
// the functions respect context cancellation.
func (s Store) Do(ctx context.Context, c StoreCommand) StoreResponse {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	response := StoreResponse{ID: c.ID}
	switch c.Op {
	case StoreSwap:
		response.Revision, response.Status = s.Swap(ctx, c.Name, c.ExpectedRevision, c.Value, c.Expiry)
	case StoreDelete:
		response.Status = s.Delete(ctx, c.Name, c.ExpectedRevision)
	default:
		response.Values, response.Status = s.List(ctx, c.Name)
	}
	return response
}
