package hitchnode

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"citronhitch.example/citronhitch/hitchclaim"
	"citronhitch.example/citronhitch/hitchconfig"
	"citronhitch.example/citronhitch/hitchstore"
)

// claimStore adapts the client of the key-value service to the store of bookings.
func claimStore(client *hitchstore.Client) hitchclaim.Store {
	return hitchclaim.Store{
		List: func(ctx context.Context, prefix string) ([]hitchclaim.StoredValue, hitchclaim.StoreStatus) {
			entries, err := client.List(ctx, prefix)
			return lo.Map(entries, toStored), storeStatus(err)
		},
		Swap: func(ctx context.Context, name string, expected uint64, value []byte, expiry time.Time) (uint64, hitchclaim.StoreStatus) {
			var lease hitchstore.Lease
			var err error
			if !expiry.IsZero() {
				lease, err = client.GrantLease(ctx, expiry)
			}
			if err != nil {
				return 0, hitchclaim.StoreFailed
			}
			entry, err := client.Swap(ctx, name, hitchstore.Revision(expected), value, lease.ID)
			return uint64(entry.Revision), storeStatus(err)
		},
		Delete: func(ctx context.Context, name string, expected uint64) hitchclaim.StoreStatus {
			return storeStatus(client.Delete(ctx, name, hitchstore.Revision(expected)))
		},
	}
}

func toStored(e hitchstore.Entry, _ int) hitchclaim.StoredValue {
	return hitchclaim.StoredValue{Name: e.Key, Revision: uint64(e.Revision), Value: e.Value}
}

// storeStatus converts the error of a store call to its status.
func storeStatus(err error) hitchclaim.StoreStatus {
	var conflict *hitchstore.ConflictError
	var unavailable *hitchstore.UnavailableError
	var tooLarge *hitchstore.TooLargeError
	switch {
	case err == nil:
		return hitchclaim.StoreDone
	case errors.As(err, &conflict):
		return hitchclaim.StoreConflict
	case errors.As(err, &unavailable) && !unavailable.MayHaveTakenEffect, errors.As(err, &tooLarge):
		return hitchclaim.StoreFailed
	default:
		return hitchclaim.StoreUnknown
	}
}

// configStore adapts the client of the key-value service to the store of
// configurations.
func configStore(client *hitchstore.Client) hitchconfig.Store {
	return hitchconfig.Store{
		Get: func(ctx context.Context, key string) (hitchconfig.StoreValue, error) {
			entry, err := client.Get(ctx, key)
			return hitchconfig.StoreValue{Data: entry.Value, Revision: int64(entry.Revision)}, err
		},
		Swap: func(ctx context.Context, key string, expected int64, data []byte) (hitchconfig.SwapOutcome, error) {
			_, err := client.Swap(ctx, key, hitchstore.Revision(expected), data, 0)
			return swapOutcome(err), err
		},
	}
}

// swapOutcome converts the error of a compare-and-swap to its outcome.
func swapOutcome(err error) hitchconfig.SwapOutcome {
	switch storeStatus(err) {
	case hitchclaim.StoreDone:
		return hitchconfig.SwapDone
	case hitchclaim.StoreConflict:
		return hitchconfig.SwapConflict
	case hitchclaim.StoreFailed:
		return hitchconfig.SwapNotDone
	default:
		return hitchconfig.SwapUnknown
	}
}
