package hitchclaim

import (
	"context"
	"time"
)

// StoreVerb says what a command does in the key-value service.
type StoreVerb uint8

// The verbs.
const (
	// StoreList reads all values whose names start with the command's name, at
	// one revision.
	StoreList StoreVerb = iota
	// StoreSwap writes a value if the name's revision is the command's. Revision
	// 0 means that the name doesn't exist.
	StoreSwap
	// StoreDelete removes a value if the name's revision is the command's.
	StoreDelete
)

// StoreCommand is one call that a decision value asks for.
type StoreCommand struct {
	// ID is the command's number within its decision value, for the answer.
	ID    uint64
	Verb  StoreVerb
	Name  string
	Was   uint64
	Value []byte
	// Expiry lets the store drop the value afterwards. Zero means never.
	Expiry time.Time
	// Deadline is when to give the call up as StoreLost.
	Deadline time.Time
}

// StoreStatus says how a command ended.
type StoreStatus uint8

// The statuses. The zero value is the one that claims the least.
const (
	// StoreLost means that the command may have taken effect.
	StoreLost StoreStatus = iota
	// StoreFailed means that the command has not taken effect and never will.
	StoreFailed
	// StoreConflict means that the revision was another one.
	StoreConflict
	// StoreDone means that the command took effect.
	StoreDone
)

// Stored is a value with its name and revision.
type Stored struct {
	Name     string
	Revision uint64
	Value    []byte
}

// StoreAnswer is the end of a command.
type StoreAnswer struct {
	ID     uint64
	Status StoreStatus
	// Revision is the value's new one after StoreSwap.
	Revision uint64
	// Values is what StoreList read, in order of names.
	Values []Stored
}

// Store carries out commands by the functions of a client of the key-value
// service.
//
//	store := hitchclaim.Store{List: client.List, Swap: client.Swap, Delete: client.Delete}
//	answer := store.Do(ctx, command)
//	step := journal.Stored(now, answer)
type Store struct {
	// List reads all values whose names start with prefix, at one revision, in
	// order of names. It must not read from a replica that lags.
	List func(ctx context.Context, prefix string) ([]Stored, StoreStatus)
	// Swap writes value if name's revision is was, and returns the new revision.
	Swap func(ctx context.Context, name string, was uint64, value []byte, expiry time.Time) (uint64, StoreStatus)
	// Delete removes name if its revision is was.
	Delete func(ctx context.Context, name string, was uint64) StoreStatus
}

// Do carries out one command. It blocks until the command's deadline at most, as
// far as the functions heed their context.
func (s Store) Do(ctx context.Context, c StoreCommand) StoreAnswer {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	answer := StoreAnswer{ID: c.ID}
	switch c.Verb {
	case StoreSwap:
		answer.Revision, answer.Status = s.Swap(ctx, c.Name, c.Was, c.Value, c.Expiry)
	case StoreDelete:
		answer.Status = s.Delete(ctx, c.Name, c.Was)
	default:
		answer.Values, answer.Status = s.List(ctx, c.Name)
	}
	return answer
}
