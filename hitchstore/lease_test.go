package hitchstore

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

func TestLeaseExpires(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		c := r.client
		lease, err := c.GrantLease(t.Context(), time.Now().Add(10*time.Second))
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Swap(t.Context(), "holder", 0, []byte("me"), lease.ID)
		qt.Assert(t, err, qt.IsNil)

		waitUntil(t, lease.Deadline.Add(-time.Second))
		lease, err = c.KeepAlive(t.Context(), lease.ID)
		qt.Assert(t, err, qt.IsNil)
		waitUntil(t, lease.Deadline.Add(-time.Millisecond))
		qt.Assert(t, mustGet(t, c, "holder").Lease, qt.Equals, lease.ID)
		waitUntil(t, lease.Deadline)
		qt.Assert(t, mustGet(t, c, "holder").Exists, qt.IsFalse)

		_, err = c.KeepAlive(t.Context(), lease.ID)
		qt.Assert(t, kindOf(err), qt.Equals, "expired")
		_, err = c.Swap(t.Context(), "holder", 0, []byte("me"), lease.ID)
		qt.Assert(t, kindOf(err), qt.Equals, "expired")
		qt.Assert(t, c.Revoke(t.Context(), lease.ID), qt.IsNil)
		mustSwap(t, c, "holder", 0, "the lane still works after an expired lease")
	})
}

func TestRevokeDeletesKeys(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		lease, err := r.client.GrantLease(t.Context(), time.Now().Add(time.Minute))
		qt.Assert(t, err, qt.IsNil)
		_, err = r.client.Swap(t.Context(), "holder", 0, []byte("me"), lease.ID)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.client.Revoke(t.Context(), lease.ID), qt.IsNil)
		qt.Assert(t, mustGet(t, r.client, "holder").Exists, qt.IsFalse)
	})
}

// A client that was paused for longer than the lease of its receipts must create new
// receipts and continue to write. A client that writes from time to time must keep the
// lease.
func TestWritesContinueAfterReceiptLeaseExpires(t *testing.T) {
	tests := map[string]struct {
		pause  time.Duration
		grants uint64
	}{
		"kept alive": {40 * time.Minute, 1},
		"expired":    {3 * time.Hour, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				entry := mustSwap(t, r.client, "k", 0, "one")
				waitUntil(t, time.Now().Add(test.pause))
				entry = mustSwap(t, r.client, "k", entry.Revision, "two")
				r.store.Faults.Set(dropResponses(1))
				entry = mustSwap(t, r.client, "k", entry.Revision, "three")
				qt.Assert(t, mustGet(t, r.client, "k"), qt.DeepEquals, entry)
				qt.Assert(t, r.client.Calls().LeaseGrant, qt.Equals, test.grants)
			})
		})
	}
}

// The result of a write that is retried after its receipt was deleted must be unknown.
func TestExpiredReceiptMakesResultUnknown(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		entry := mustSwap(t, r.client, "k", 0, "one")
		lease := <-r.client.receipts.lease
		r.client.receipts.lease <- lease
		r.store.Faults.Set(dropResponses(1))
		go func() {
			time.Sleep(callTimeout / 2)
			qt.Check(t, r.client.Revoke(t.Context(), lease.ID), qt.IsNil)
		}()
		_, err := r.client.Swap(t.Context(), "k", entry.Revision, []byte("two"), 0)
		qt.Assert(t, kindOf(err), qt.Equals, "unknown")
		entry = mustGet(t, r.client, "k")
		mustSwap(t, r.client, "k", entry.Revision, "three")
	})
}

func TestRevokedReceiptLeaseIsReplaced(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		entry := mustSwap(t, r.client, "k", 0, "one")
		lease := <-r.client.receipts.lease
		r.client.receipts.lease <- lease
		qt.Assert(t, r.client.Revoke(t.Context(), lease.ID), qt.IsNil)
		mustSwap(t, r.client, "k", entry.Revision, "two")
	})
}

func TestLocalRateLimit(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.client.ReadsPerSecond = 10
		start := time.Now()
		for range 30 {
			mustGet(t, r.client, "k")
		}
		qt.Assert(t, time.Since(start).Round(time.Millisecond), qt.Equals, 2*time.Second)
	})
}

func TestCallCountsMatchTheStore(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		c := r.client
		entry := mustSwap(t, c, "k", 0, "one")
		r.store.Faults.Set(dropResponses(1))
		entry = mustSwap(t, c, "k", entry.Revision, "two")
		qt.Assert(t, c.Delete(t.Context(), "k", entry.Revision), qt.IsNil)
		_, err := c.List(t.Context(), "")
		qt.Assert(t, err, qt.IsNil)
		want := hitchfake.StoreCalls{Range: 1, Txn: 5, LeaseGrant: 1}
		qt.Assert(t, r.store.Calls(), qt.Equals, want)
		qt.Assert(t, c.Calls(), qt.Equals, Calls{Range: 1, Txn: 5, LeaseGrant: 1})
		qt.Assert(t, c.Calls().Total(), qt.Equals, uint64(7))
	})
}

func TestIsUnavailable(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		c := r.client
		qt.Assert(t, c.IsUnavailable(time.Now()), qt.IsFalse)
		mustGet(t, c, "k")
		lastSuccess := c.LastSuccess()
		qt.Assert(t, lastSuccess.IsZero(), qt.IsFalse)
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable})
		_, err := c.Get(t.Context(), "k")
		qt.Assert(t, kindOf(err), qt.Equals, "unavailable")
		qt.Assert(t, c.IsUnavailable(time.Now()), qt.IsTrue)
		qt.Assert(t, c.LastSuccess(), qt.Equals, lastSuccess)
		r.store.Faults.Set()
		mustGet(t, c, "k")
		qt.Assert(t, c.IsUnavailable(time.Now()), qt.IsFalse)
	})
}
