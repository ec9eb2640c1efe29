package hitchstore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"citronhitch.example/citronhitch/hitchfake"
)

// watchRecorder collects the entries that a watch reports.
type watchRecorder struct {
	mu      sync.Mutex
	entries []Entry
}

func (w *watchRecorder) add(entry Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, entry)
	return nil
}

// values returns the values so far; a deleted key is listed as "-" and its name.
func (w *watchRecorder) values() (values []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.entries {
		if !entry.Exists {
			values = append(values, "-"+entry.Key)
			continue
		}
		values = append(values, string(entry.Value))
	}
	return values
}

func TestWatch(t *testing.T) {
	want := []string{"one", "two", "three", "-c/gone", "four"}
	tests := map[string]func(r *rig){
		"no fault":          func(*rig) {},
		"connection broken": func(r *rig) { r.store.BreakWatches() },
		"connection silent": func(r *rig) { r.network.StallConnections("store-1:80") },
		"store unavailable": func(r *rig) {
			r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable, Path: pathWatch, Times: 3})
		},
		"watch without response": func(r *rig) {
			r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultHang, Path: pathWatch, Times: 1})
		},
		"connections refused": func(r *rig) {
			r.network.RefuseConnections("store-1:80", true)
			r.store.BreakWatches()
		},
	}
	for name, disrupt := range tests {
		t.Run(name, func(t *testing.T) {
			withRig(t, func(t *testing.T, r *rig) {
				ctx, cancel := context.WithCancel(t.Context())
				c, writer, seen := r.client, r.newClient("router-2"), &watchRecorder{}
				a := mustSwap(t, writer, "c/a", 0, "one")
				ended := make(chan error, 1)
				go func() { ended <- c.Watch(ctx, Prefix("c/"), 0, seen.add) }()
				synctest.Wait()
				b := mustSwap(t, writer, "c/gone", 0, "two")
				mustSwap(t, writer, "d/other", 0, "unwatched")
				time.Sleep(time.Second)
				disrupt(r)
				a = mustSwap(t, writer, "c/a", a.Revision, "three")
				qt.Assert(t, writer.Delete(t.Context(), "c/gone", b.Revision), qt.IsNil)
				time.Sleep(30 * time.Second)
				mustSwap(t, writer, "c/a", a.Revision, "four")
				synctest.Wait()
				qt.Assert(t, seen.values(), qt.DeepEquals, want)
				cancel()
				qt.Assert(t, kindOf(<-ended), qt.Equals, "cancelled")
			})
		})
	}
}

// A watch whose next events were compacted must report the present state, including
// deletions.
func TestWatchAfterCompaction(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		writer, seen := r.newClient("router-2"), &watchRecorder{}
		a := mustSwap(t, writer, "c/a", 0, "one")
		b := mustSwap(t, writer, "c/gone", 0, "two")
		mustSwap(t, writer, "c/same", 0, "same")
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.client.Watch(ctx, Prefix("c/"), 0, seen.add) }()
		synctest.Wait()
		r.store.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultUnavailable, Path: pathWatch})
		r.store.BreakWatches()
		a = mustSwap(t, writer, "c/a", a.Revision, "missed")
		mustSwap(t, writer, "c/a", a.Revision, "three")
		qt.Assert(t, writer.Delete(t.Context(), "c/gone", b.Revision), qt.IsNil)
		r.store.Compact()
		r.store.Faults.Set()
		time.Sleep(10 * time.Second)
		qt.Assert(t, seen.values(), qt.DeepEquals, []string{"one", "two", "same", "three", "-c/gone"})
		cancel()
		<-ended
	})
}

func TestWatchReportsExpiredLease(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		lease, err := r.client.GrantLease(t.Context(), time.Now().Add(5*time.Second))
		qt.Assert(t, err, qt.IsNil)
		entry, err := r.client.Swap(t.Context(), "holder", 0, []byte("me"), lease.ID)
		qt.Assert(t, err, qt.IsNil)
		errExpired := errors.New("expired")
		err = r.client.Watch(t.Context(), Key("holder"), entry.Revision+1, func(entry Entry) error {
			qt.Check(t, entry.Exists, qt.IsFalse)
			return errExpired
		})
		qt.Assert(t, err, qt.Equals, errExpired)
		qt.Assert(t, time.Now().Equal(lease.Deadline), qt.IsTrue)
	})
}

// A watch without events makes one call and reconnects about three times a minute.
func TestWatchCallCount(t *testing.T) {
	withRig(t, func(t *testing.T, r *rig) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		err := r.client.Watch(ctx, Prefix(""), 0, func(Entry) error { return nil })
		qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		calls := r.client.Calls()
		qt.Assert(t, calls.Range, qt.Equals, uint64(1))
		qt.Assert(t, calls.Watch >= 24 && calls.Watch <= 41, qt.IsTrue, qt.Commentf("%d watches", calls.Watch))
	})
}
