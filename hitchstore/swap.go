package hitchstore

import (
	"context"
	"errors"
	"fmt"
)

var errReceiptLost = errors.New("the receipt of the write has lapsed")

// write is one compare-and-swap on its way.
type write struct {
	key    string
	was    Revision
	value  []byte
	stored []byte // the value in its envelope; nil deletes the key
	lease  LeaseID
	writer string
	id     string
	// lost is set once the answer to an attempt was lost, and until that attempt
	// is known to have had no effect and never to have any.
	lost bool
}

// Swap writes a value if the key still has the revision was; 0 means that it
// doesn't exist. With a lease, the key is deleted when the lease ends.
//
// A nil error means that the write took effect exactly once. A *ConflictError
// means that it didn't and never will, and so does a *LeaseLapsedError or a
// *TooLargeError. An *UnavailableError says whether it may have.
func (c *Client) Swap(ctx context.Context, key string, was Revision, value []byte, lease LeaseID) (entry Entry, err error) {
	l, err := c.takeLane(ctx)
	if err != nil {
		return Entry{}, &UnavailableError{Key: key, Err: err}
	}
	defer c.giveBack(l)
	w := write{key: key, was: was, value: value, lease: lease, writer: c.Writer, id: c.newWriteID()}
	w.stored, err = envelope{Writer: w.writer, WriteID: w.id, Value: value}.encode()
	if err != nil {
		return Entry{}, err
	}
	if len(w.stored) > MaxValueBytes {
		return Entry{}, &TooLargeError{Key: key, Size: len(w.stored), Limit: MaxValueBytes}
	}
	return c.write(ctx, l, &w)
}

// Delete deletes a key if it still has the revision was, which isn't 0. Its
// errors are those of Swap.
func (c *Client) Delete(ctx context.Context, key string, was Revision) (err error) {
	if was == 0 {
		return fmt.Errorf("delete %s: a key at revision 0 doesn't exist", key)
	}
	l, err := c.takeLane(ctx)
	if err != nil {
		return &UnavailableError{Key: key, Err: err}
	}
	defer c.giveBack(l)
	_, err = c.write(ctx, l, &write{key: key, was: was, writer: c.Writer, id: c.newWriteID()})
	return err
}

// write repeats attempts until one tells what became of the write.
func (c *Client) write(ctx context.Context, l *lane, w *write) (entry Entry, err error) {
	pauses := newBackoff()
	for range maxAttempts {
		entry, err = c.attempt(ctx, l, w)
		var failed *callError
		if err == nil {
			return entry, nil
		}
		if !errors.As(err, &failed) {
			return Entry{}, err
		}
		w.lost = w.lost || failed.Ambiguous
		if failed.Final || !sleep(ctx, pauses.NextBackOff()) {
			break
		}
	}
	return Entry{}, &UnavailableError{Key: w.key, MayHaveTakenEffect: w.lost, Err: err}
}

// attempt sends the transaction of a write. The error of a call has a *callError,
// after which the attempt may be repeated; any other result is the truth about
// the write.
func (c *Client) attempt(ctx context.Context, l *lane, w *write) (entry Entry, err error) {
	for {
		if !w.lost {
			if err := c.openLane(ctx, l); err != nil {
				return Entry{}, err
			}
		}
		var answer wireTxnAnswer
		err = c.call(ctx, pathTxn, w.txn(l), &answer)
		if isLeaseNotFound(err) {
			return c.leaseNotFound(ctx, l, w)
		}
		if err != nil {
			return Entry{}, err
		}
		if answer.Succeeded {
			l.revision = Revision(answer.Header.Revision)
			return w.entry(l.revision), nil
		}
		receipt := answer.record(1)
		if Revision(receipt.ModRevision) == l.revision {
			return c.conflict(ctx, l, w, answer.record(0))
		}
		done, err := w.adopt(l, receipt)
		if done || err != nil {
			return w.entry(l.revision), err
		}
	}
}

// txn returns the transaction of a write: it needs the key and the lane to be as
// they are known, and changes both.
func (w *write) txn(l *lane) wireTxn {
	change := opDelete(w.key)
	if w.stored != nil {
		change = opPut(w.key, w.stored, w.lease)
	}
	return wireTxn{
		Compare: []wireCompare{compareMod(w.key, w.was), compareMod(l.key, l.revision)},
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

// adopt takes over a lane that has changed. Either an attempt of this write took
// effect, or an old write of this lane did, or the lane's lease has lapsed.
func (w *write) adopt(l *lane, receipt wireKeyValue) (done bool, err error) {
	l.revision = Revision(receipt.ModRevision)
	if l.revision == 0 && w.lost {
		return false, &UnavailableError{Key: w.key, MayHaveTakenEffect: true, Err: errReceiptLost}
	}
	// What carried the lane's old revision can't take effect any more.
	w.lost = false
	return string(receipt.Value) == w.id, nil
}

// conflict answers for a write whose lane is unchanged and whose key isn't at
// the expected revision. No attempt has taken effect so far. One that is still
// under way could do so only if the key got that revision again, and 0 is the
// one revision that can come back; so the lane is moved on first in that case.
func (c *Client) conflict(ctx context.Context, l *lane, w *write, now wireKeyValue) (Entry, error) {
	lost := &ConflictError{Now: Entry{Key: w.key}}
	if now.ModRevision != 0 {
		lost.Now = entryOf(now)
	}
	if !w.lost || w.was != 0 {
		return Entry{}, lost
	}
	fence := wireTxn{
		Compare: []wireCompare{compareMod(l.key, l.revision)},
		Success: []wireOp{opPut(l.key, []byte(c.newWriteID()), l.lease)},
		Failure: []wireOp{opRange(l.key)},
	}
	var answer wireTxnAnswer
	if err := c.call(ctx, pathTxn, fence, &answer); err != nil {
		return Entry{}, err
	}
	if answer.Succeeded {
		l.revision = Revision(answer.Header.Revision)
		return Entry{}, lost
	}
	done, err := w.adopt(l, answer.record(0))
	if done || err != nil {
		return w.entry(l.revision), err
	}
	return Entry{}, lost
}

// leaseNotFound finds out whether it is the lane's lease that has lapsed or the
// one that the write hangs on.
func (c *Client) leaseNotFound(ctx context.Context, l *lane, w *write) (Entry, error) {
	var answer wireRangeAnswer
	if err := c.call(ctx, pathRange, Key(l.key).wire(), &answer); err != nil {
		return Entry{}, err
	}
	if len(answer.KVs) > 0 {
		receipt := answer.KVs[0]
		if Revision(receipt.ModRevision) != l.revision {
			if done, err := w.adopt(l, receipt); done || err != nil {
				return w.entry(l.revision), err
			}
		}
		// A lane is always written with the lease that attempts carry, so its lease
		// lasts.
		return Entry{}, &LeaseLapsedError{Lease: w.lease}
	}
	l.revision = 0
	c.dropReceiptLease(l.lease)
	if w.lost {
		return Entry{}, &UnavailableError{Key: w.key, MayHaveTakenEffect: true, Err: errReceiptLost}
	}
	return Entry{}, &callError{Err: errReceiptLost}
}
