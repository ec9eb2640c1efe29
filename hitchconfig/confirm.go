package hitchconfig

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// HeadKey is where the head stands in the key-value service.
const HeadKey = "citronhitch/configuration"

// maxConfirmAttempts bounds the store calls of one Confirm: two for the head and
// two for the beacon in each attempt, and two for a page of history.
const maxConfirmAttempts = 4

// StoreValue is a value of the key-value service. Revision 0 means that there
// is none.
type StoreValue struct {
	Data     []byte
	Revision int64
}

// SwapOutcome says what became of a compare-and-swap.
type SwapOutcome uint8

// The outcomes of a compare-and-swap. The zero value claims the least.
const (
	// SwapUnknown means that the write may or may not have taken effect, and
	// may still do so.
	SwapUnknown SwapOutcome = iota
	// SwapDone means that the value was written.
	SwapDone
	// SwapConflict means that the value had another revision.
	SwapConflict
	// SwapNotDone means that the write surely has no effect.
	SwapNotDone
)

// Store is the part of the key-value service that accepts need. Its functions
// are seams for an adapter.
type Store struct {
	Get func(ctx context.Context, key string) (StoreValue, error)
	// Swap writes data if the value's revision is still was. The error says why
	// the outcome isn't SwapDone.
	Swap func(ctx context.Context, key string, was int64, data []byte) (SwapOutcome, error)
}

// Confirmer accepts plans.
type Confirmer struct {
	Store Store
	Keys  Keyring
	Now   func() time.Time
	// Floor is the revision that this router has in force. A head below it
	// belongs to a store that has lost writes, and takes no change.
	Floor uint64
}

// Accepted is the answer to a confirmed plan.
type Accepted struct {
	Accept Accept
	// Already is set if the plan was accepted before this call, or if its answer
	// was lost and read back.
	Already bool
	// Head is what the store holds. Its configuration may be newer than Accept.
	Head Head
}

// StaleError says that another change was accepted first.
type StaleError struct {
	Base uint64
	// Winner is the change that was accepted on the same base. It is zero if
	// the history no longer tells.
	Winner Accept
	Head   uint64
}

// Error says by whose change and when the plan went stale.
func (e *StaleError) Error() string {
	by := "by a change that the history no longer tells"
	if e.Winner.Revision > 0 {
		by = fmt.Sprintf("by %s of %s, confirmed by %s at %s", e.Winner.Intent.Kind, e.Winner.Intent.Subject(),
			e.Winner.Operator, e.Winner.At.Format(time.RFC3339))
	}
	return fmt.Sprintf("hitchconfig: the plan is based on revision %d, which went stale %s; now is revision %d: plan again",
		e.Base, by, e.Head)
}

// BehindError says that the store holds an older revision than the routers, as
// if it was restored from a backup. Repair puts the newer one back.
type BehindError struct {
	Store  uint64
	Router uint64
}

// Error names both revisions.
func (e *BehindError) Error() string {
	return fmt.Sprintf("hitchconfig: the store holds revision %d, routers have %d in force: repair the store first",
		e.Store, e.Router)
}

// ExpiredError says that a plan was confirmed after its deadline. It was not
// accepted, and no earlier confirm of it can still take effect.
type ExpiredError struct {
	Deadline time.Time
}

// Error says when the plan ended.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("hitchconfig: the plan ended at %s: plan again", e.Deadline.Format(time.RFC3339))
}

// UndecidedError says that it isn't known whether the plan was accepted.
// Confirming the same plan again is safe and tells.
type UndecidedError struct {
	Cause error
}

// Error tells the operator what to do.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("hitchconfig: not known whether the plan was accepted (%v): confirm it again", e.Cause)
}

// Unwrap returns the store's error.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// Confirm accepts a plan by one compare-and-swap on the head. It is idempotent:
// a plan on revision N can only become revision N+1, and the accept of N+1 names
// its plan, so whoever asks again reads the truth.
//
//	accepted, err := confirmer.Confirm(ctx, token, "maja")
//	var stale *hitchconfig.StaleError
//	if errors.As(err, &stale) { ... plan again ... }
func (f Confirmer) Confirm(ctx context.Context, t Token, operator string) (result Accepted, err error) {
	defer annotate(&err, "confirm plan %s", t.ID)
	if !t.verify(f.Keys) {
		return Accepted{}, ErrTokenInvalid
	}
	late := f.Now().After(t.Deadline)
	var unknown error
	for range maxConfirmAttempts {
		head, was, err := f.Head(ctx)
		if err != nil {
			return Accepted{}, undecided(unknown, err)
		}
		if n := head.Configuration.Revision; n < f.Floor {
			return Accepted{}, undecided(unknown, &BehindError{Store: n, Router: f.Floor})
		}
		if head.Configuration.Revision != t.Base {
			return f.settled(ctx, t, head, unknown != nil)
		}
		outcome, next, err := f.attempt(ctx, t, operator, head, was, late)
		switch outcome {
		case SwapDone:
			accept := next.Accepts[len(next.Accepts)-1]
			return Accepted{Accept: accept, Head: next}, nil
		case SwapNotDone:
			return Accepted{}, undecided(unknown, err)
		case SwapUnknown:
			unknown = errors.Join(errors.New("the store's answer was lost"), err)
		}
	}
	return Accepted{}, undecided(unknown, errors.New("too many conflicts"))
}

// undecided wraps an error if an earlier write may have taken effect.
func undecided(unknown, err error) error {
	if unknown == nil {
		return err
	}
	return &UndecidedError{Cause: err}
}

// Head reads the head and its revision in the store.
func (f Confirmer) Head(ctx context.Context) (h Head, was int64, err error) {
	defer annotate(&err, "read head")
	value, err := f.Store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	h, err = DecodeHead(value.Data, f.Keys)
	return h, value.Revision, err
}

// attempt writes the next head once, or ends a plan that was confirmed late.
func (f Confirmer) attempt(ctx context.Context, t Token, operator string, h Head, was int64, late bool) (SwapOutcome, Head, error) {
	if late {
		return f.expire(ctx, t, h, was)
	}
	h, err := f.archive(ctx, h)
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	next, err := h.with(t, operator, f.Now(), f.Keys)
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	data, err := next.Encode()
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	if err := f.raiseBeacon(ctx, next.Configuration.Revision); err != nil {
		return SwapNotDone, Head{}, err
	}
	outcome, err := f.Store.Swap(ctx, HeadKey, was, data)
	return outcome, next, err
}

// expire writes the head again as it is. A write of the same plan that is still
// under way then has no effect, so that ExpiredError is final.
func (f Confirmer) expire(ctx context.Context, t Token, h Head, was int64) (SwapOutcome, Head, error) {
	sum, err := h.Configuration.Checksum()
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	h.Proof = signRevision(f.Keys, h.Configuration.Revision, sum)
	data, err := h.Encode()
	if err != nil {
		return SwapNotDone, Head{}, err
	}
	outcome, err := f.Store.Swap(ctx, HeadKey, was, data)
	if outcome == SwapDone {
		return SwapNotDone, Head{}, &ExpiredError{Deadline: t.Deadline}
	}
	return outcome, Head{}, err
}

// settled answers for a plan whose base is no longer the head's revision.
func (f Confirmer) settled(ctx context.Context, t Token, h Head, repeat bool) (Accepted, error) {
	next := t.Base + 1
	accept, ok := acceptOf(h.Accepts, next)
	if !ok && next <= h.Configuration.Revision {
		var err error
		if accept, ok, err = f.archived(ctx, next); err != nil {
			return Accepted{}, undecided(errors.New("history unread"), err)
		}
	}
	if ok && accept.PlanID == t.ID {
		return Accepted{Accept: accept, Already: true, Head: h}, nil
	}
	if !ok && repeat {
		return Accepted{}, &UndecidedError{Cause: errors.New("the history no longer tells")}
	}
	return Accepted{}, &StaleError{Base: t.Base, Winner: accept, Head: h.Configuration.Revision}
}
