package hitchconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// BeaconKey is where the Beacon stands in the key-value service.
const BeaconKey = "citronhitch/revision"

const maxBeaconAttempts = 3

// Beacon is a small value next to the head. It is raised before the head is
// written, so that the head's revision is never above it. Whoever holds that
// revision learns from a few bytes that the head hasn't moved.
type Beacon struct {
	Revision uint64
}

// Unchanged tells whether the store's head is surely still at a revision. It
// reads the beacon alone. False means that the head must be read to know.
//
//	asOf := time.Now()
//	if ok, err := confirmer.Unchanged(ctx, revision); err == nil && ok {
//		tracker.Update(hitchconfig.Message{Kind: hitchconfig.StoreUnchanged, Revision: revision, AsOf: asOf}, time.Now())
//	}
func (f Confirmer) Unchanged(ctx context.Context, revision uint64) (ok bool, err error) {
	defer annotate(&err, "read beacon")
	b, _, exists, err := f.beacon(ctx)
	return exists && b.Revision == revision, err
}

func (f Confirmer) beacon(ctx context.Context) (b Beacon, was int64, exists bool, err error) {
	value, err := f.Store.Get(ctx, BeaconKey)
	if err != nil || len(value.Data) == 0 {
		return Beacon{}, value.Revision, false, err
	}
	err = decodeStrict(value.Data, &b)
	return b, value.Revision, err == nil, err
}

// raiseBeacon makes the beacon at least a revision.
func (f Confirmer) raiseBeacon(ctx context.Context, revision uint64) (err error) {
	defer annotate(&err, "raise beacon to revision %d", revision)
	for range maxBeaconAttempts {
		b, was, exists, err := f.beacon(ctx)
		if err != nil {
			return err
		}
		if exists && b.Revision >= revision {
			return nil
		}
		data, err := json.Marshal(Beacon{Revision: revision})
		if err != nil {
			return err
		}
		outcome, err := f.Store.Swap(ctx, BeaconKey, was, data)
		switch outcome {
		case SwapDone:
			return nil
		case SwapNotDone, SwapUnknown:
			return fmt.Errorf("beacon not known to be written: %w", err)
		}
	}
	return errors.New("too many conflicts")
}
