package hitchstore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// receiptSeconds is the time to live of the lease that receipts hang on, so
	// that those of processes that have gone disappear.
	receiptSeconds = 3600
	// receiptRenewal is how long before its end the lease is kept alive.
	receiptRenewal = 30 * time.Minute
	// receiptLanes is how many writes a client has under way at once.
	receiptLanes = 8
)

// receipts are the lanes in which a client writes.
type receipts struct {
	mu      sync.Mutex
	session string
	writes  uint64
	opened  int
	// idle are the lanes that no write uses, the last used one last.
	idle []*lane
	// slots bounds the writes under way.
	slots chan struct{}
	// lease holds the lease of the lanes. Whoever has taken it out may change it.
	lease chan Lease
}

// lane is a key that belongs to this client alone. Each write puts its ID into a
// lane in the same transaction, provided that the lane has the revision that the
// client knows. So a lane tells which of the writes took effect, and a write
// whose lane has moved on never will.
type lane struct {
	key string
	// revision is the lane's last known one; 0 if the lane isn't open.
	revision Revision
	lease    LeaseID
}

// prepare makes the zero value work.
func (r *receipts) prepare() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots != nil {
		return
	}
	r.session = newSessionID()
	r.slots = make(chan struct{}, receiptLanes)
	r.lease = make(chan Lease, 1)
	r.lease <- Lease{}
}

// takeLane waits for a free lane. It must be given back.
func (c *Client) takeLane(ctx context.Context) (*lane, error) {
	r := &c.receipts
	r.prepare()
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &callError{Err: ctx.Err()}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.idle); n > 0 {
		l := r.idle[n-1]
		r.idle = r.idle[:n-1]
		return l, nil
	}
	r.opened++
	prefix := cmp.Or(c.ReceiptPrefix, defaultReceiptPrefix)
	return &lane{key: fmt.Sprintf("%s%s/%s/%d", prefix, c.Writer, r.session, r.opened)}, nil
}

func (c *Client) giveBack(l *lane) {
	c.receipts.mu.Lock()
	defer c.receipts.mu.Unlock()
	c.receipts.idle = append(c.receipts.idle, l)
	<-c.receipts.slots
}

// newWriteID returns an ID that no other write has.
func (c *Client) newWriteID() string {
	r := &c.receipts
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	return fmt.Sprintf("%s-%d", r.session, r.writes)
}

// openLane creates the key of a lane that has none. Its errors have a
// *callError, and none leaves the write of the caller in doubt.
func (c *Client) openLane(ctx context.Context, l *lane) (err error) {
	defer func() {
		var failed *callError
		if errors.As(err, &failed) {
			failed.Ambiguous = false
		}
	}()
	lease, err := c.receiptLease(ctx)
	if err != nil || l.revision != 0 && l.lease == lease {
		return err
	}
	open := wireTxn{
		Compare: []wireCompare{compareMod(l.key, 0)},
		Success: []wireOp{opPut(l.key, nil, lease)},
		Failure: []wireOp{opRange(l.key)},
	}
	var answer wireTxnAnswer
	err = c.call(ctx, pathTxn, open, &answer)
	if isLeaseNotFound(err) {
		c.dropReceiptLease(lease)
		return &callError{Err: err}
	}
	if err != nil {
		return err
	}
	l.revision, l.lease = Revision(answer.Header.Revision), lease
	if !answer.Succeeded {
		l.revision = Revision(answer.record(0).ModRevision)
	}
	return nil
}

// receiptLease returns a lease that lasts for a while, and keeps it alive or
// grants a new one if need be.
func (c *Client) receiptLease(ctx context.Context) (id LeaseID, err error) {
	var lease Lease
	select {
	case lease = <-c.receipts.lease:
	case <-ctx.Done():
		return 0, &callError{Err: ctx.Err()}
	}
	defer func() { c.receipts.lease <- lease }()
	if lease.ID != 0 && c.now().Before(lease.Deadline.Add(-receiptRenewal)) {
		return lease.ID, nil
	}
	if lease.ID != 0 {
		renewed, err := c.renew(ctx, lease.ID, c.call)
		var lapsed *LeaseLapsedError
		if !errors.As(err, &lapsed) {
			if err == nil {
				lease = renewed
			}
			return lease.ID, err
		}
	}
	granted, err := c.grant(ctx, receiptSeconds, c.call)
	if err != nil {
		return 0, err
	}
	lease = granted
	return lease.ID, nil
}

// dropReceiptLease forgets a lease that the store doesn't know any more.
func (c *Client) dropReceiptLease(id LeaseID) {
	lease := <-c.receipts.lease
	if lease.ID == id {
		lease = Lease{}
	}
	c.receipts.lease <- lease
}
