package hitchnode

import (
	"context"
	"encoding/json"
	"errors"

	"citronhitch.example/citronhitch/hitchorder"
	"citronhitch.example/citronhitch/hitchstore"
)

// callStore makes a store call for the holder and returns the message with its result.
// ok is false if the holder ignores the result.
func (l *orderLoop) callStore(ctx context.Context, a hitchorder.Action) (m hitchorder.Message, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, orderStoreTimeout)
	defer cancel()
	m, err := l.execute(ctx, a)
	if err == nil {
		return m, a.Kind != hitchorder.RevokeLease
	}
	l.log.Debug("store call for the order lease failed", "Error", err)
	var expired *hitchstore.LeaseExpiredError
	switch {
	case a.Kind == hitchorder.RevokeLease:
		return m, false
	case a.Kind == hitchorder.RenewLease && errors.As(err, &expired):
		return hitchorder.Message{Kind: hitchorder.LeaseExpired, Lease: a.Lease}, true
	case a.Kind == hitchorder.RenewLease:
		return hitchorder.Message{Kind: hitchorder.RenewFailed, Lease: a.Lease}, true
	default:
		return hitchorder.Message{Kind: hitchorder.CallFailed}, true
	}
}

// execute makes the store call of an action.
func (l *orderLoop) execute(ctx context.Context, a hitchorder.Action) (m hitchorder.Message, err error) {
	switch a.Kind {
	case hitchorder.ReadHolder:
		entry, err := l.store.Get(ctx, hitchorder.HolderKey)
		return hitchorder.Message{Kind: hitchorder.HolderRead, Exists: entry.Exists}, err
	case hitchorder.GrantLease:
		lease, err := l.store.GrantLease(ctx, a.Deadline)
		return leaseMessage(hitchorder.LeaseGranted, lease), err
	case hitchorder.ClaimHolder:
		_, err := l.store.Swap(ctx, hitchorder.HolderKey, 0, []byte(l.self), hitchstore.LeaseID(a.Lease))
		return hitchorder.Message{Kind: hitchorder.HolderClaimed}, err
	case hitchorder.ReadFence:
		return l.readFence(ctx)
	case hitchorder.WriteFence:
		data, err := json.Marshal(a.Fence)
		if err == nil {
			_, err = l.store.Swap(ctx, hitchorder.FenceKey, hitchstore.Revision(a.Revision), data, 0)
		}
		return hitchorder.Message{Kind: hitchorder.FenceWritten}, err
	case hitchorder.RenewLease:
		lease, err := l.store.KeepAlive(ctx, hitchstore.LeaseID(a.Lease))
		return leaseMessage(hitchorder.LeaseRenewed, lease), err
	default:
		return m, l.store.Revoke(ctx, hitchstore.LeaseID(a.Lease))
	}
}

func leaseMessage(kind hitchorder.MessageKind, lease hitchstore.Lease) hitchorder.Message {
	return hitchorder.Message{Kind: kind, Lease: int64(lease.ID), Deadline: lease.Deadline}
}

// readFence reads the latest fencing number.
func (l *orderLoop) readFence(ctx context.Context) (m hitchorder.Message, err error) {
	entry, err := l.store.Get(ctx, hitchorder.FenceKey)
	m = hitchorder.Message{Kind: hitchorder.FenceRead, Revision: int64(entry.Revision)}
	if err == nil && entry.Exists {
		err = json.Unmarshal(entry.Value, &m.Fence)
	}
	return m, err
}
