package hitchstore

import (
	"context"
	"errors"
	"fmt"
)

var errReceiptExpired = errors.New("the receipt of the write has expired")

// write is a compare-and-swap in progress.
type write struct {
	key      string
	expected Revision // of the key
	value    []byte
	stored   []byte // the value in its envelope; nil deletes the key
	lease    LeaseID
	writer   string
	id       string
	// isAmbiguous is set when the response to an attempt was lost, until it is certain
	// that this attempt had no effect and never will.
	isAmbiguous bool
}

// Swap writes a value if the key still has the expected revision; 0 means that the key
// doesn't exist. With a lease, the key is deleted when the lease expires.
//
// A nil error means that the write took effect exactly once. A *ConflictError, a
// *LeaseExpiredError or a *TooLargeError means that it didn't and never will. An
// *UnavailableError has a field for whether it may have taken effect.
func (c *Client) Swap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (entry Entry, err error) {
	l, err := c.acquireLane(ctx)
	if err != nil {
		return Entry{}, &UnavailableError{Key: key, Err: err}
	}
	defer c.releaseLane(l)
	w := write{key: key, expected: expected, value: value, lease: lease, writer: c.Writer, id: c.newWriteID()}
	w.stored, err = envelope{Writer: w.writer, WriteID: w.id, Value: value}.encode()
	if err != nil {
		return Entry{}, err
	}
	if len(w.stored) > MaxValueBytes {
		return Entry{}, &TooLargeError{Key: key, Size: len(w.stored), Limit: MaxValueBytes}
	}
	return c.write(ctx, l, &w)
}

// Delete deletes a key if it still has the expected revision, which must not be 0. It
// returns the same errors as Swap.
func (c *Client) Delete(ctx context.Context, key string, expected Revision) (err error) {
	if expected == 0 {
		return fmt.Errorf("delete %s: a key at revision 0 doesn't exist", key)
	}
	l, err := c.acquireLane(ctx)
	if err != nil {
		return &UnavailableError{Key: key, Err: err}
	}
	defer c.releaseLane(l)
	_, err = c.write(ctx, l, &write{key: key, expected: expected, writer: c.Writer, id: c.newWriteID()})
	return err
}

// write repeats attempts until one determines the result of the write.
func (c *Client) write(ctx context.Context, l *lane, w *write) (entry Entry, err error) {
	delays := newBackoff()
	for range maxAttempts {
		entry, err = c.attempt(ctx, l, w)
		var failed *callError
		if err == nil {
			return entry, nil
		}
		if !errors.As(err, &failed) {
			return Entry{}, err
		}
		w.isAmbiguous = w.isAmbiguous || failed.Ambiguous
		if failed.Final || !sleep(ctx, delays.NextBackOff()) {
			break
		}
	}
	return Entry{}, &UnavailableError{Key: w.key, MayHaveTakenEffect: w.isAmbiguous, Err: err}
}

// attempt sends the transaction of a write. After an error that wraps a *callError
// the attempt may be repeated. Any other return value is the final result of the
// write.
func (c *Client) attempt(ctx context.Context, l *lane, w *write) (entry Entry, err error) {
	for {
		if !w.isAmbiguous {
			if err := c.openLane(ctx, l); err != nil {
				return Entry{}, err
			}
		}
		var response wireTxnResponse
		err = c.call(ctx, pathTxn, w.transaction(l), &response)
		if isLeaseNotFound(err) {
			return c.resolveLeaseNotFound(ctx, l, w)
		}
		if err != nil {
			return Entry{}, err
		}
		if response.Succeeded {
			l.revision = Revision(response.Header.Revision)
			return w.entry(l.revision), nil
		}
		receipt := response.keyValue(1)
		if Revision(receipt.ModRevision) == l.revision {
			return c.resolveConflict(ctx, l, w, response.keyValue(0))
		}
		done, err := w.resync(l, receipt)
		if done || err != nil {
			return w.entry(l.revision), err
		}
	}
}

// transaction returns the transaction of a write: it changes the key and the lane if
// both have the expected revisions.
func (w *write) transaction(l *lane) wireTxn {
	change := opDelete(w.key)
	if w.stored != nil {
		change = opPut(w.key, w.stored, w.lease)
	}
	return wireTxn{
		Compare: []wireCompare{compareMod(w.key, w.expected), compareMod(l.key, l.revision)},
		Success: []wireOp{change, opPut(l.key, []byte(w.id), l.lease)},
		Failure: []wireOp{opRange(w.key), opRange(l.key)},
	}
}

func (w *write) entry(at Revision) Entry {
	return Entry{
		Key: w.key, Value: w.value, Revision: at, Exists: w.stored != nil,
		Lease: w.lease, Writer: w.writer, WriteID: w.id,
	}
}

// resync updates the known revision of a lane that has changed, and returns whether
// this write took effect. The lane changed because an attempt of this write took
// effect, or an earlier write of this lane did, or the lane's lease has expired.
func (w *write) resync(l *lane, receipt wireKeyValue) (done bool, err error) {
	l.revision = Revision(receipt.ModRevision)
	if l.revision == 0 && w.isAmbiguous {
		return false, &UnavailableError{Key: w.key, MayHaveTakenEffect: true, Err: errReceiptExpired}
	}
	// Attempts that expect the lane's old revision can no longer take effect.
	w.isAmbiguous = false
	return string(receipt.Value) == w.id, nil
}

// resolveConflict returns the result of a write whose lane is unchanged and whose key
// doesn't have the expected revision. No attempt has taken effect so far. One that is
// still in flight could do so only if the key got the expected revision again. Only
// revision 0 can recur, when the key is deleted; in that case the lane is changed
// first, so that the attempt can't succeed.
func (c *Client) resolveConflict(ctx context.Context, l *lane, w *write, current wireKeyValue) (Entry, error) {
	conflict := &ConflictError{Current: Entry{Key: w.key}}
	if current.ModRevision != 0 {
		conflict.Current = decodeEntry(current)
	}
	if !w.isAmbiguous || w.expected != 0 {
		return Entry{}, conflict
	}
	fence := wireTxn{
		Compare: []wireCompare{compareMod(l.key, l.revision)},
		Success: []wireOp{opPut(l.key, []byte(c.newWriteID()), l.lease)},
		Failure: []wireOp{opRange(l.key)},
	}
	var response wireTxnResponse
	if err := c.call(ctx, pathTxn, fence, &response); err != nil {
		return Entry{}, err
	}
	if response.Succeeded {
		l.revision = Revision(response.Header.Revision)
		return Entry{}, conflict
	}
	done, err := w.resync(l, response.keyValue(0))
	if done || err != nil {
		return w.entry(l.revision), err
	}
	return Entry{}, conflict
}

// resolveLeaseNotFound determines whether the lane's lease has expired or the lease of
// the written key.
func (c *Client) resolveLeaseNotFound(ctx context.Context, l *lane, w *write) (Entry, error) {
	var response wireRangeResponse
	if err := c.call(ctx, pathRange, Key(l.key).request(), &response); err != nil {
		return Entry{}, err
	}
	if len(response.KVs) > 0 {
		receipt := response.KVs[0]
		if Revision(receipt.ModRevision) != l.revision {
			if done, err := w.resync(l, receipt); done || err != nil {
				return w.entry(l.revision), err
			}
		}
		// The lane still exists, and it was written with the lease that the attempts
		// use for it, so the lane's lease is valid.
		return Entry{}, &LeaseExpiredError{Lease: w.lease}
	}
	l.revision = 0
	c.discardReceiptLease(l.lease)
	if w.isAmbiguous {
		return Entry{}, &UnavailableError{Key: w.key, MayHaveTakenEffect: true, Err: errReceiptExpired}
	}
	return Entry{}, &callError{Err: errReceiptExpired}
}
