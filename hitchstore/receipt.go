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
	// receiptTTLSeconds is the time to live of the lease that receipts are attached
	// to. The lease makes the store delete the receipts of ended processes.
	receiptTTLSeconds = 3600
	// receiptRenewalMargin is how long before its deadline the lease is renewed.
	receiptRenewalMargin = 30 * time.Minute
	// maxLanes is the maximum number of concurrent writes of a client.
	maxLanes = 8
)

// receipts is the pool of lanes of a client.
type receipts struct {
	mu      sync.Mutex
	session string
	writes  uint64
	// created is the number of lanes so far, idle or in use.
	created int
	// idle are the unused lanes, the most recently used one last.
	idle []*lane
	// slots limits the concurrent writes.
	slots chan struct{}
	// lease holds the lease of the lanes. A goroutine that has received it from the
	// channel may change it, and sends it back.
	lease chan Lease
}

// lane is a key that only this client writes; its value is the receipt of the latest
// write. The transaction of each write also puts the ID of the write into a lane, on
// condition that the lane still has the revision that the client last saw. So the
// lane shows which write took effect, and a write that expects an older revision of
// its lane can no longer take effect.
type lane struct {
	key string
	// revision is the last known revision of the key; 0 if the lane isn't open.
	revision Revision
	lease    LeaseID
}

// initialize sets up the zero value at its first use.
func (r *receipts) initialize() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots != nil {
		return
	}
	r.session = newSessionID()
	r.slots = make(chan struct{}, maxLanes)
	r.lease = make(chan Lease, 1)
	r.lease <- Lease{}
}

// acquireLane waits for a free lane. The caller must release it by releaseLane.
func (c *Client) acquireLane(ctx context.Context) (*lane, error) {
	r := &c.receipts
	r.initialize()
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
	r.created++
	prefix := cmp.Or(c.ReceiptPrefix, defaultReceiptPrefix)
	return &lane{key: fmt.Sprintf("%s%s/%s/%d", prefix, c.Writer, r.session, r.created)}, nil
}

func (c *Client) releaseLane(l *lane) {
	c.receipts.mu.Lock()
	defer c.receipts.mu.Unlock()
	c.receipts.idle = append(c.receipts.idle, l)
	<-c.receipts.slots
}

// newWriteID returns a unique ID for a write.
func (c *Client) newWriteID() string {
	r := &c.receipts
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	return fmt.Sprintf("%s-%d", r.session, r.writes)
}

// openLane creates the key of a lane if it has none under the current lease. Its
// errors wrap a *callError that is never ambiguous, since the caller's write hasn't
// been sent yet.
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
	var response wireTxnResponse
	err = c.call(ctx, pathTxn, open, &response)
	if isLeaseNotFound(err) {
		c.discardReceiptLease(lease)
		return &callError{Err: err}
	}
	if err != nil {
		return err
	}
	l.revision, l.lease = Revision(response.Header.Revision), lease
	if !response.Succeeded {
		l.revision = Revision(response.keyValue(0).ModRevision)
	}
	return nil
}

// receiptLease returns the lease for receipts. It renews the lease if it expires
// soon, and requests a new one if it has expired.
func (c *Client) receiptLease(ctx context.Context) (id LeaseID, err error) {
	var lease Lease
	select {
	case lease = <-c.receipts.lease:
	case <-ctx.Done():
		return 0, &callError{Err: ctx.Err()}
	}
	defer func() { c.receipts.lease <- lease }()
	if lease.ID != 0 && c.now().Before(lease.Deadline.Add(-receiptRenewalMargin)) {
		return lease.ID, nil
	}
	if lease.ID != 0 {
		renewed, err := c.renew(ctx, lease.ID, c.call)
		var expired *LeaseExpiredError
		if !errors.As(err, &expired) {
			if err == nil {
				lease = renewed
			}
			return lease.ID, err
		}
	}
	granted, err := c.grant(ctx, receiptTTLSeconds, c.call)
	if err != nil {
		return 0, err
	}
	lease = granted
	return lease.ID, nil
}

// discardReceiptLease discards a lease that no longer exists in the store.
func (c *Client) discardReceiptLease(id LeaseID) {
	lease := <-c.receipts.lease
	if lease.ID == id {
		lease = Lease{}
	}
	c.receipts.lease <- lease
}
