package hitchconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// RevisionBoundKey is the key of the RevisionBound in the key-value service.
const RevisionBoundKey = "citronhitch/revision"

const maxBoundAttempts = 3

// RevisionBound is an upper bound on the revision of the head, stored under its
// own key. It is raised before the head is written, so the head's revision never
// exceeds it. A router whose revision equals the bound knows that the head is
// unchanged after reading a few bytes instead of the whole head.
type RevisionBound struct {
	Revision uint64
}

// IsUnchanged reports whether the head in the store is certain to be still at the
// given revision. It reads only the revision bound. False means that the head
// must be read to find out.
//
//	asOf := time.Now()
//	if ok, err := confirmer.IsUnchanged(ctx, revision); err == nil && ok {
//		tracker.Update(hitchconfig.Message{Kind: hitchconfig.StoreUnchanged, Revision: revision, AsOf: asOf}, time.Now())
//	}
func (c Confirmer) IsUnchanged(ctx context.Context, revision uint64) (ok bool, err error) {
	defer wrapError(&err, "read revision bound")
	b, _, exists, err := c.readRevisionBound(ctx)
	return exists && b.Revision == revision, err
}

func (c Confirmer) readRevisionBound(ctx context.Context) (b RevisionBound, storeRevision int64, exists bool, err error) {
	value, err := c.Store.Get(ctx, RevisionBoundKey)
	if err != nil || len(value.Data) == 0 {
		return RevisionBound{}, value.Revision, false, err
	}
	err = decodeStrict(value.Data, &b)
	return b, value.Revision, err == nil, err
}

// raiseRevisionBound raises the bound to the given revision unless it is already
// as high.
func (c Confirmer) raiseRevisionBound(ctx context.Context, revision uint64) (err error) {
	defer wrapError(&err, "raise revision bound to %d", revision)
	for range maxBoundAttempts {
		b, storeRevision, exists, err := c.readRevisionBound(ctx)
		if err != nil {
			return err
		}
		if exists && b.Revision >= revision {
			return nil
		}
		data, err := json.Marshal(RevisionBound{Revision: revision})
		if err != nil {
			return err
		}
		outcome, err := c.Store.Swap(ctx, RevisionBoundKey, storeRevision, data)
		switch outcome {
		case SwapDone:
			return nil
		case SwapNotDone, SwapUnknown:
			return fmt.Errorf("write not confirmed: %w", err)
		}
	}
	return errors.New("too many write conflicts")
}
