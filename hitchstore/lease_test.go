package hitchstore

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

func TestLeaseLapses(t *testing.T) {
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
		qt.Assert(t, kindOf(err), qt.Equals, "lapsed")
		_, err = c.Swap(t.Context(), "holder", 0, []byte("me"), lease.ID)
		qt.Assert(t, kindOf(err), qt.Equals, "lapsed")
		qt.Assert(t, c.Revoke(t.Context(), lease.ID), qt.IsNil)
		mustSwap(t, c, "holder", 0, "after a lapsed lease the lane still works")
	})
}

func TestRevokeDeletes(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		lease, err := r.client.GrantLease(t.Context(), time.Now().Add(time.Minute))
		qt.Assert(t, err, qt.IsNil)
		_, err = r.client.Swap(t.Context(), "holder", 0, []byte("me"), lease.ID)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.client.Revoke(t.Context(), lease.ID), qt.IsNil)
		qt.Assert(t, mustGet(t, r.client, "holder").Exists, qt.IsFalse)
	})
}

// A client that was paused for longer than the lease of its receipts opens new
// ones and goes on; a client that writes now and then keeps the lease.
func TestReceiptsOutliveTheirLease(t *testing.T) {
	tests := map[string]struct {
		pause  time.Duration
		grants uint64
	}{
		"kept alive": {40 * time.Minute, 1},
		"lapsed":     {3 * time.Hour, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				entry := mustSwap(t, r.client, "k", 0, "one")
				waitUntil(t, time.Now().Add(test.pause))
				entry = mustSwap(t, r.client, "k", entry.Revision, "two")
				r.store.Faults.Set(losing(1))
				entry = mustSwap(t, r.client, "k", entry.Revision, "three")
				qt.Assert(t, mustGet(t, r.client, "k"), qt.DeepEquals, entry)
				qt.Assert(t, r.client.Calls().LeaseGrant, qt.Equals, test.grants)
			})
		})
	}
}

// A write that is repeated after the receipts have gone is told as unknown.
func TestLapsedReceiptIsUnknown(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		entry := mustSwap(t, r.client, "k", 0, "one")
		lease := <-r.client.receipts.lease
		r.client.receipts.lease <- lease
		r.store.Faults.Set(losing(1))
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

func TestRevokedReceiptsAreOpenedAnew(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		entry := mustSwap(t, r.client, "k", 0, "one")
		lease := <-r.client.receipts.lease
		r.client.receipts.lease <- lease
		qt.Assert(t, r.client.Revoke(t.Context(), lease.ID), qt.IsNil)
		mustSwap(t, r.client, "k", entry.Revision, "two")
	})
}

func TestLocalRate(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		r.client.ReadsPerSecond = 10
		start := time.Now()
		for range 30 {
			mustGet(t, r.client, "k")
		}
		qt.Assert(t, time.Since(start).Round(time.Millisecond), qt.Equals, 2*time.Second)
	})
}

func TestCallsAreCountedAsTheStoreDoes(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		c := r.client
		entry := mustSwap(t, c, "k", 0, "one")
		r.store.Faults.Set(losing(1))
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

func TestOutAndBack(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		c := r.client
		qt.Assert(t, c.Out(time.Now()), qt.IsFalse)
		mustGet(t, c, "k")
		answered := c.LastSuccess()
		qt.Assert(t, answered.IsZero(), qt.IsFalse)
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable})
		_, err := c.Get(t.Context(), "k")
		qt.Assert(t, kindOf(err), qt.Equals, "unavailable")
		qt.Assert(t, c.Out(time.Now()), qt.IsTrue)
		qt.Assert(t, c.LastSuccess(), qt.Equals, answered)
		r.store.Faults.Set()
		mustGet(t, c, "k")
		qt.Assert(t, c.Out(time.Now()), qt.IsFalse)
	})
}
