package hitchconfig

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// HeadKey is the key of the head in the key-value service.
const HeadKey = "citronhitch/configuration"

// maxConfirmAttempts limits the store calls of one Confirm: each attempt takes two
// for the head and two for the revision bound, and two more if it writes a page of
// history.
const maxConfirmAttempts = 4

// StoreValue is a value in the key-value service. Revision 0 means that the key
// doesn't exist.
type StoreValue struct {
	Data     []byte
	Revision int64
}

// SwapOutcome is the outcome of a compare-and-swap.
type SwapOutcome uint8

// The outcomes of a compare-and-swap. The zero value makes no assumption.
const (
	// SwapUnknown means that the write may have taken effect, or may still do so.
	SwapUnknown SwapOutcome = iota
	// SwapDone means that the value was written.
	SwapDone
	// SwapConflict means that the value had a different revision.
	SwapConflict
	// SwapNotDone means that the write has no effect and never will.
	SwapNotDone
)

// Store holds the operations of the key-value service that a Confirmer needs, to be
// provided by an adapter.
type Store struct {
	Get func(ctx context.Context, key string) (StoreValue, error)
	// Swap writes data if the value's revision still equals expectedRevision. The error
	// is the reason why the outcome isn't SwapDone.
	Swap func(ctx context.Context, key string, expectedRevision int64, data []byte) (SwapOutcome, error)
}

// Confirmer confirms plans: it writes the configuration that a plan results in to
// the store.
type Confirmer struct {
	Store Store
	Keys  Keyring
	Now   func() time.Time
	// MinRevision is the active revision of this router. A head with a lower revision
	// means that the store has lost writes; it is not changed.
	MinRevision uint64
}

// ConfirmResult is the result of confirming a plan.
type ConfirmResult struct {
	Change AcceptedChange
	// AlreadyAccepted is set if the plan was accepted before this call, or if the response
	// to its write was lost and the outcome was read from the store.
	AlreadyAccepted bool
	// Head is the head in the store. Its configuration may be newer than Change.
	Head Head
}

// StaleError reports that another change was accepted on the plan's base first.
type StaleError struct {
	Base uint64
	// Winner is the change that was accepted on the same base. It is zero if the
	// history no longer contains it.
	Winner AcceptedChange
	Head   uint64
}

// Error names the change that made the plan stale, its operator and its time.
func (e *StaleError) Error() string {
	cause := "by a change that is no longer in the history"
	if e.Winner.Revision > 0 {
		cause = fmt.Sprintf("by %s of %s, confirmed by %s at %s", e.Winner.Intent.Kind, e.Winner.Intent.Subject(),
			e.Winner.Operator, e.Winner.At.Format(time.RFC3339))
	}
	return fmt.Sprintf("hitchconfig: the plan is stale: its base revision %d was superseded %s; the current revision is %d: create a new plan",
		e.Base, cause, e.Head)
}

// StoreBehindError reports that the store holds an older revision than the routers, for
// example after it was restored from a backup. Repair writes the newer one back.
type StoreBehindError struct {
	Store  uint64
	Router uint64
}

// Error names both revisions.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("hitchconfig: the store holds revision %d, but routers already use revision %d: repair the store first",
		e.Store, e.Router)
}

// ExpiredError reports that a plan was confirmed after its deadline. It was not
// accepted, and no earlier attempt to confirm it can still take effect.
type ExpiredError struct {
	Deadline time.Time
}

// Error returns the plan's deadline.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("hitchconfig: the plan ended at %s: create a new plan", e.Deadline.Format(time.RFC3339))
}

// UndecidedError reports that it isn't known whether the plan was accepted.
// Confirming the same plan again is safe and returns the outcome.
type UndecidedError struct {
	Cause error
}

// Error returns the cause and asks the operator to confirm the plan again.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("hitchconfig: not known whether the plan was accepted (%v): confirm it again", e.Cause)
}

// Unwrap returns the store's error.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// Confirm accepts a plan by one compare-and-swap on the head. It is idempotent:
// a plan based on revision N can only become revision N+1, and the record of N+1
// contains the plan's ID, so that a repeated call finds the actual outcome.
//
//	result, err := confirmer.Confirm(ctx, token, "maja")
//	var stale *hitchconfig.StaleError
//	if errors.As(err, &stale) { ... create a new plan ... }
func (c Confirmer) Confirm(ctx context.Context, t Token, operator string) (result ConfirmResult, err error) {
	defer wrapError(&err, "confirm plan %s", t.ID)
	if !t.verify(c.Keys) {
		return ConfirmResult{}, ErrTokenInvalid
	}
	isExpired := c.Now().After(t.Deadline)
	var unknownErr error
	for range maxConfirmAttempts {
		head, storeRevision, err := c.ReadHead(ctx)
		if err != nil {
			return ConfirmResult{}, wrapUndecided(unknownErr, err)
		}
		if n := head.Configuration.Revision; n < c.MinRevision {
			return ConfirmResult{}, wrapUndecided(unknownErr, &StoreBehindError{Store: n, Router: c.MinRevision})
		}
		if head.Configuration.Revision != t.Base {
			return c.resultForNewerHead(ctx, t, head, unknownErr != nil)
		}
		outcome, next, err := c.swapHead(ctx, t, operator, head, storeRevision, isExpired)
		switch outcome {
		case SwapDone:
			change := next.Accepts[len(next.Accepts)-1]
			return ConfirmResult{Change: change, Head: next}, nil
		case SwapNotDone:
			return ConfirmResult{}, wrapUndecided(unknownErr, err)
		case SwapUnknown:
			unknownErr = errors.Join(errors.New("the store's response was lost"), err)
		}
	}
	return ConfirmResult{}, wrapUndecided(unknownErr, errors.New("too many write conflicts"))
}

// wrapUndecided returns err as an UndecidedError if an earlier write may have taken
// effect.
func wrapUndecided(unknownErr, err error) error {
	if unknownErr == nil {
		return err
	}
	return &UndecidedError{Cause: err}
}

// ReadHead reads the head and its revision in the store.
func (c Confirmer) ReadHead(ctx context.Context) (h Head, storeRevision int64, err error) {
	defer wrapError(&err, "read head")
	value, err := c.Store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	h, err = DecodeHead(value.Data, c.Keys)
	return h, value.Revision, err
}

// swapHead tries once to write the next head, or expires the plan if it was confirmed
// after its deadline.
func (c Confirmer) swapHead(ctx context.Context, t Token, operator string, h Head, storeRevision int64, isExpired bool) (SwapOutcome, Head, error) {
	if isExpired {
		return c.expire(ctx, t, h, storeRevision)
	}
	h, err := c.moveToPages(ctx, h)
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	next, err := h.accept(t, operator, c.Now(), c.Keys)
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	data, err := next.Encode()
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	if err := c.raiseRevisionBound(ctx, next.Configuration.Revision); err != nil {
		return SwapNotDone, Head{}, err
	}
	outcome, err := c.Store.Swap(ctx, HeadKey, storeRevision, data)
	return outcome, next, err
}

// expire writes the head again unchanged. That increments its revision in the store,
// so that a write of the same plan still in transit fails, and ExpiredError is final.
func (c Confirmer) expire(ctx context.Context, t Token, h Head, storeRevision int64) (SwapOutcome, Head, error) {
	sum, err := h.Configuration.Checksum()
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	h.Proof = signRevision(c.Keys, h.Configuration.Revision, sum)
	data, err := h.Encode()
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	outcome, err := c.Store.Swap(ctx, HeadKey, storeRevision, data)
	if outcome == SwapDone {
		return SwapNotDone, Head{}, &ExpiredError{Deadline: t.Deadline}
	}
	return outcome, Head{}, err
}

// resultForNewerHead returns the outcome of a plan whose base is no longer the head's
// revision.
func (c Confirmer) resultForNewerHead(ctx context.Context, t Token, h Head, hasUnknownWrite bool) (ConfirmResult, error) {
	next := t.Base + 1
	change, ok := findByRevision(h.Accepts, next)
	if !ok && next <= h.Configuration.Revision {
		var err error
		if change, ok, err = c.readArchivedChange(ctx, next); err != nil {
			return ConfirmResult{}, wrapUndecided(errors.New("history could not be read"), err)
		}
	}
	if ok && change.PlanID == t.ID {
		return ConfirmResult{Change: change, AlreadyAccepted: true, Head: h}, nil
	}
	if !ok && hasUnknownWrite {
		return ConfirmResult{}, &UndecidedError{Cause: errors.New("the change is no longer in the history")}
	}
	return ConfirmResult{}, &StaleError{Base: t.Base, Winner: change, Head: h.Configuration.Revision}
}
